import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as waves from "./waves.js";

const suite = uvu.suite("regions whose distance changes or that are cut off");

// A route between regions may become longer by several times. Prompts that overflow by the old distance come too late.
suite("a distance that changes from 12 to 100 ms costs less than without distances", () => {
  const change = { fromMs: 2_000, remoteMs: 100 };
  const lastsMs = 2 * waves.WAVE_MS;
  const figures = waves.simulate({ ...waves.describe(3, { change }), lastsMs });
  const before = waves.simulate({ ...waves.describe(3, { ...waves.WITHOUT, change }), lastsMs });
  if (process.env.FIGURES === "1") console.log(`${waves.textOf(figures)}; without distances ${waves.textOf(before)}`);
  assert.ok(figures.goodput > before.goodput, `${waves.textOf(figures)}; without distances ${waves.textOf(before)}`);
});

// No heartbeats arrive from a region that is cut off, so that its engines look idle while they are in their own wave.
suite("a region that is cut off in its wave is not flooded by the region that has its wave at the same time", () => {
  const cut = waves.describe(3, { cuts: [{ region: "b", fromMs: 0, untilMs: 2 * waves.WAVE_MS }] });
  const swings = cut.requests.map(({ name, dataCentre = "" }) => ({
    request: name,
    fromMs: 0,
    untilMs: 2 * waves.WAVE_MS,
    times: waves.regionOf(dataCentre) === "c" ? 1 : waves.WAVE_FACTOR,
  }));
  const lastsMs = 2 * waves.WAVE_MS;
  const figures = waves.simulate({ ...cut, lastsMs, swings });
  const heard = waves.simulate({ ...waves.describe(3), lastsMs, swings });
  if (process.env.FIGURES === "1") console.log(`${waves.textOf(figures)}; heard ${waves.textOf(heard)}`);
  assert.ok(figures.goodput > heard.goodput - 0.05, `${waves.textOf(figures)}; heard ${waves.textOf(heard)}`);
});

suite.run();
