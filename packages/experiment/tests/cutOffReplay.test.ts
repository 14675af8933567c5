import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as experiment from "../src/index.js";

const SEED = 43;

/** Least share of first tries served at cut-off daemons, in relation to the others. */
const LEAST_SHARE = 2 / 3;

const suite = uvu.suite("daemons that are cut off from all endpoints, in fleets of several sizes");

function replay(
  daemons: number,
  endpoints: number,
  cutShare: number,
  reaction: experiment.CutOffReaction,
): experiment.CutOffOutcome {
  const heartbeatMs = experiment.heartbeatMsOf(daemons);
  const scenario = { daemons, dataCentres: 3, endpoints, cutShare, requestsPerSecondEach: 5, heartbeatMs, reaction };
  return new experiment.CutOffReplay(scenario, SEED).run();
}

for (const [daemons, endpoints] of [
  [9, 6],
  [69, 46],
  [690, 5_300],
] as const) {
  for (const cutShare of [1 / Math.ceil(daemons / 3), 0.8, 1]) {
    suite(`${daemons} daemons, ${cutShare.toFixed(2)} of a data centre cut off: their callers are served`, () => {
      const { servedAtCutOff, servedElsewhere, mostPassedOn } = replay(
        daemons,
        endpoints,
        cutShare,
        experiment.CutOffReaction.Both,
      );
      assert.ok(servedAtCutOff >= LEAST_SHARE * servedElsewhere, `${servedAtCutOff} and ${servedElsewhere}`);
      assert.ok(mostPassedOn <= 2, `${mostPassedOn} times its own requests passed on by one daemon`);
    });
  }
}

// Addresses are kept for seconds: taking them back alone leaves those that still come unserved.
suite("taking addresses back alone serves fewer of those who still come than passing their requests on", () => {
  const withdrawn = replay(69, 46, 1, experiment.CutOffReaction.Withdraw);
  const both = replay(69, 46, 1, experiment.CutOffReaction.Both);
  assert.ok(withdrawn.servedAtCutOff < LEAST_SHARE * withdrawn.servedElsewhere);
  assert.ok(both.servedAtCutOff > withdrawn.servedAtCutOff);
});

suite.run();
