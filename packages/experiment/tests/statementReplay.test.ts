import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as experiment from "../src/index.js";

const SEED = 46;

/** Most requests of one daemon within a rest. */
const MOST_IN_REST = 2;

const suite = uvu.suite("endpoints that leave or rest, in fleets of several sizes");

function replay(
  daemons: number,
  endpoints: number,
  shares: { readonly leavingShare: number; readonly restingShare: number },
  reaction = experiment.StatementReaction.Served,
): experiment.StatementOutcome {
  const heartbeatMs = experiment.heartbeatMsOf(daemons);
  const scenario = { daemons, endpoints, requestsPerSecondEach: 10, heartbeatMs, ...shares, reaction };
  return new experiment.StatementReplay(scenario, SEED).run();
}

for (const [daemons, endpoints] of [
  [9, 6],
  [69, 46],
  [690, 530],
  [690, 46],
] as const) {
  // A store that is silent tells nobody; each daemon has only the answers that it gets, and its peers.
  suite(`${daemons} daemons, ${endpoints} endpoints, a third leaves: nobody who was told sends to one`, () => {
    const shares = { leavingShare: 1 / 3, restingShare: 0 };
    const served = replay(daemons, endpoints, shares);
    assert.is(served.sentToLeaving, 0);
    const ignored = replay(daemons, endpoints, shares, experiment.StatementReaction.Ignore);
    assert.ok(served.requestsEachLeaving < ignored.requestsEachLeaving);
  });

  // A burst that half of the endpoints turn away, with a rest.
  suite(`${daemons} daemons, ${endpoints} endpoints, half of them rest: the rest is kept, callers are served`, () => {
    const { sentInRest, servedShare } = replay(daemons, endpoints, { leavingShare: 0, restingShare: 0.5 });
    assert.ok(sentInRest <= MOST_IN_REST, `${sentInRest} requests in a rest`);
    assert.ok(servedShare > 0.95, `${servedShare} served`);
  });
}

suite("daemons that return after a rest one by one burden an endpoint less than those that return at once", () => {
  const shares = { leavingShare: 0, restingShare: 1 };
  const atOnce = replay(690, 46, shares, experiment.StatementReaction.OwnAnswers);
  const served = replay(690, 46, shares);
  assert.ok(served.worstReturn <= atOnce.worstReturn, `${served.worstReturn} and ${atOnce.worstReturn}`);
});

suite.run();
