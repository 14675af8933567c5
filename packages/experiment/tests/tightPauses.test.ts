import * as fs from "node:fs";
import * as serving from "@camphorcourse/serving";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as experiment from "../src/index.js";

const suite = uvu.suite("short prompts beside long streams, on engines that slow down");

const SHEET = new URL("../../sheets/tight-pauses.json", import.meta.url);
const SEEDS = [41, 42];
const LASTS_MS = 5_000;
const DAEMONS = 9;

/** Share of the late pauses that pacing has to avoid, by the number of daemons whose views are emulated. */
const MIN_AVOIDED: readonly (readonly [daemons: number, share: number])[] = [
  [9, 0.7],
  [69, 0.5],
  [690, 0.5],
];

/** Largest share of first events that pacing may make late in addition. */
const MAX_MORE_LATE = 0.01;

interface Shares {
  readonly pausedTooLong: number;
  readonly begunLate: number;
  readonly unanswered: number;
}

function sheet(): experiment.Description {
  const parsed = experiment.parseDescription(fs.readFileSync(SHEET, "utf8"));
  if (parsed.isErr()) throw new Error(parsed.error);
  return { ...parsed.value, lastsMs: LASTS_MS, daemons: DAEMONS };
}

function metricsOf(description: experiment.Description): experiment.OutcomeMetrics[] {
  return SEEDS.map((seed) => new experiment.Experiment(description, seed).run().statistics.overall());
}

/** Late pauses and first events as shares of the answers. */
function sharesOf(description: experiment.Description): Shares {
  const metrics = metricsOf(description);
  const sum = (of: (each: experiment.OutcomeMetrics) => number): number =>
    metrics.reduce((total, each) => total + of(each), 0);
  const answered = sum(({ inTime, late }) => inTime + late);
  return {
    pausedTooLong: sum((each) => each.pausedTooLong) / answered,
    begunLate: sum((each) => each.begunLate) / answered,
    unanswered: sum(({ refused, failed }) => refused + failed) / sum(({ requests }) => requests),
  };
}

// Guards against prefills that make streams pause for more than 150 ms, on an engine that is 2.5 times slower for 600 ms
// and beside other daemons' prefills that aren't known yet.
for (const [daemons, minAvoided] of MIN_AVOIDED) {
  suite(`with views as old as those of ${daemons} daemons, fewer streams pause too long and first events stay`, () => {
    const description = { ...sheet(), viewAgeMs: serving.heartbeatIntervalMs(daemons - 1) };
    const paced = sharesOf(description);
    const unpaced = sharesOf({ ...description, pacingOff: true });
    const figures = JSON.stringify({ paced, unpaced });
    assert.ok(paced.pausedTooLong <= unpaced.pausedTooLong * (1 - minAvoided), figures);
    assert.ok(paced.begunLate <= unpaced.begunLate + MAX_MORE_LATE, figures);
    assert.ok(paced.unanswered <= unpaced.unanswered + MAX_MORE_LATE, figures);
  });
}

// Guards against pacing on routes that don't call for it.
suite("routes with a limit on pauses above 150 ms are served exactly as without pacing", () => {
  const description = sheet();
  const requests = description.requests.map((kind) => ({ ...kind, pauseMs: 151 }));
  const paced = metricsOf({ ...description, requests });
  assert.equal(paced, metricsOf({ ...description, requests, pacingOff: true }));
});

suite.run();
