import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as common from "@camphorcourse/common";
import * as serving from "../src/index.js";

const SEED = 97;

/** Interval at which engines are looked at, in milliseconds. */
const LOOK_MS = 50;

const suite = uvu.suite("which runs are moved off a slow engine");

const RUN: serving.SlowRun = {
  startedAt: 0,
  remainingMs: 20_000,
  events: 10,
  expectedEvents: 110,
  pauseMs: 50,
  isResumable: true,
  tokens: 1_000,
  isExcluded: false,
  isMoving: false,
  pauseLimitMs: 150,
  movedAt: undefined,
};

function lookSlow(engines: serving.SlowEngines, from: number, to: number, stepMs = LOOK_MS): void {
  for (let now = from; now <= to; now += stepMs) engines.note("e1", true, now);
}

suite("an engine that is slow for longer than a transient slowdown, without interruption", () => {
  const engines = new serving.SlowEngines();
  lookSlow(engines, 0, 700);
  assert.not.ok(engines.isLasting("e1", 700));
  engines.note("e1", true, 701);
  assert.ok(engines.isLasting("e1", 701));
  engines.note("e1", false, 750);
  lookSlow(engines, 800, 1_450);
  assert.not.ok(engines.isLasting("e1", 1_450), "it was not slow in between");
});

// A daemon whose process stood still has not seen whether the engine was slow meanwhile.
suite("a time in which nobody looked interrupts", () => {
  const engines = new serving.SlowEngines();
  lookSlow(engines, 0, 400);
  lookSlow(engines, 700, 900);
  assert.not.ok(engines.isLasting("e1", 900));
  lookSlow(engines, 950, 1_450);
  assert.ok(engines.isLasting("e1", 1_450));
  assert.not.ok(engines.isLasting("e1", 1_700), "it has not been seen lately");
  engines.removeUnseen(1_700);
  engines.note("e1", true, 1_700);
  assert.not.ok(engines.isLasting("e1", 1_700));
});

suite("one run at a time, the oldest", () => {
  const runs = [30, 10, 20].map((startedAt) => ({ ...RUN, startedAt }));
  assert.is(serving.chooseRunOffSlow(runs, 0)?.startedAt, 10);
  assert.is(serving.chooseRunOffSlow([...runs, { ...RUN, isMoving: true }], 0), undefined);
});

suite("none that may pause for longer, that ends soon, that was moved just now, or that can't go on", () => {
  const unsuited = [
    { ...RUN, pauseLimitMs: 151 },
    { ...RUN, events: 101 },
    { ...RUN, remainingMs: 499 },
    { ...RUN, movedAt: 1 },
    { ...RUN, isResumable: false },
    { ...RUN, isExcluded: true },
  ];
  for (const run of unsuited) assert.is(serving.chooseRunOffSlow([run], 2_000), undefined, JSON.stringify(run));
  assert.ok(serving.chooseRunOffSlow([{ ...RUN, movedAt: 0 }], 2_000));
});

/** When an engine is slow, in milliseconds. */
type SlowAt = (now: number) => boolean;

/**
 * One stream at an engine for a minute: an event each 47 ms, or each 118 ms while the engine is slow.
 *
 * @returns instants at which its run would be moved, in milliseconds
 */
function replay(slowAt: SlowAt): number[] {
  const tracker = new serving.PauseTracker();
  const stream = tracker.beginStream("e1", "s", 150);
  const engines = new serving.SlowEngines();
  const moves: number[] = [];
  let progress = 0;
  for (let now = 0; now < 60_000; now++) {
    progress += slowAt(now) ? 1 / 118 : 1 / 47;
    if (progress >= 1) {
      progress -= 1;
      tracker.recordEvent(stream, 47, now);
    }
    if (now % LOOK_MS !== 0) continue;
    engines.note("e1", tracker.gapsOf("e1", 47, now)?.isSlow === true, now);
    const movedAt = moves.at(-1);
    const run = { ...RUN, movedAt };
    if (engines.isLasting("e1", now) && serving.chooseRunOffSlow([run], now) !== undefined) moves.push(now);
  }
  return moves;
}

suite("short slowdowns in 15 of 100 spans move nothing, one that lasts moves a run within a second", () => {
  const random = new common.SeededRandom(SEED);
  for (let engine = 0; engine < 20; engine++) {
    const spans: boolean[] = [];
    // Two such spans in a row are a slowdown of 1,200 ms, which is worth a move.
    for (let span = 0; span < 100; span++) spans.push(spans.at(-1) !== true && random.next() < 0.15);
    assert.equal(
      replay((now) => spans[Math.floor(now / 600)] === true),
      [],
    );
  }
  const [first, second] = replay((now) => now >= 10_000 && now < 16_000);
  assert.ok(first !== undefined && first > 10_700 && first < 11_000, `moved at ${first}`);
  assert.ok(second !== undefined && second - first >= 2_000, "not again within 2 s");
});

suite.run();
