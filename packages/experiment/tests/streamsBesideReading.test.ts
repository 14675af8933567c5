import * as fs from "node:fs";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as experiment from "../src/index.js";

const suite = uvu.suite("prefill on engines that decode streams");

const SHEET = new URL("../../sheets/hundreds.json", import.meta.url);
const SEEDS = [41, 42];
const LASTS_MS = 6_000;
const DAEMON_SETUP: experiment.DaemonSetup = { daemons: 15, viewAgeMs: 84 };

/** Minimum gain of goodput that justifies the pause limit in placement. */
const MIN_GAIN = 0.02;

function sheet(): experiment.Description {
  const parsed = experiment.parseDescription(fs.readFileSync(SHEET, "utf8"));
  if (parsed.isErr()) throw new Error(parsed.error);
  return { ...parsed.value, lastsMs: LASTS_MS };
}

// Guards against prefill that delays streams. At 2.5 times the usual load, prompts are prefilled on engines that decode
// streams. If they are placed only by the time to their own first event, prompts of some thousand tokens make these
// streams late.
suite("goodput is higher if placement limits the pauses of streams on the same engine", () => {
  const description = sheet();
  const withPauseLimit = experiment.meanGoodput(experiment.simulateRow(description, DAEMON_SETUP, 2.5, SEEDS));
  const withoutPauseLimit = experiment.meanGoodput(
    experiment.simulateRow({ ...description, pausesIgnored: true }, DAEMON_SETUP, 2.5, SEEDS),
  );
  assert.ok(
    withPauseLimit >= withoutPauseLimit + MIN_GAIN,
    `${withPauseLimit.toFixed(3)}, without ${withoutPauseLimit.toFixed(3)}`,
  );
});

suite.run();
