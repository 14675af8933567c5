import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "@camphorcourse/serving";
import * as experiment from "../src/index.js";

const { Aimd, Gradient, LeastBusy, NoLimit } = experiment.CallPolicy;
const SEEDS = [1, 2];
const ENDPOINTS = 4;

const suite = uvu.suite("replay of calls on few slots, with bursts of twice the load");

/** Endpoints of which the first differs. */
function endpoints(
  first: Partial<experiment.EndpointModel>,
  others: Partial<experiment.EndpointModel> = {},
): experiment.EndpointModel[] {
  const usual = { slots: 6, rejects: false, slownessAt: () => 1 };
  return Array.from({ length: ENDPOINTS }, (_, index) => ({ ...usual, ...(index === 0 ? first : others) }));
}

const PLAIN = endpoints({});
const SLOW = endpoints({ slownessAt: (at) => (at % 8_000 > 4_000 ? 4 : 1) });
const ALL_REJECT = endpoints({ rejects: true }, { rejects: true });

interface Shares {
  readonly answered: number;
  readonly inObjective: number;
  readonly timedOut: number;
}

function replay(
  policy: experiment.CallPolicy,
  models: readonly experiment.EndpointModel[],
  options: Partial<experiment.CallScenario> = {},
): Shares {
  const scenario = {
    policy,
    daemons: 16,
    endpoints: models,
    requestsPerSecond: 345,
    burst: { factor: 2, everyMs: 6_000, forMs: 2_000 },
    heartbeatMs: 30,
    objectiveMs: 120,
    timeoutMs: 600,
    forMs: 12_000,
    ...options,
  };
  const runs = SEEDS.map((seed) => new experiment.CallReplay(scenario, seed).run());
  const shareOf = (valueOf: (run: experiment.CallOutcomes) => number): number =>
    runs.reduce((sum, run) => sum + valueOf(run), 0) / runs.reduce((sum, run) => sum + run.offered, 0);
  return {
    answered: shareOf((run) => run.answered),
    inObjective: shareOf((run) => run.inObjective),
    timedOut: shareOf((run) => run.timedOut),
  };
}

// Calls beyond the slots wait in the endpoints and end at their deadlines, after they have held a slot in vain.
for (const [name, models] of [
  ["that queue", PLAIN],
  ["of which one turns slow", SLOW],
] as const)
  suite(`with limits, few calls end at their deadlines at endpoints ${name}`, () => {
    const [before, limited] = [replay(LeastBusy, models), replay(Gradient, models)];
    assert.ok(limited.answered > before.answered + 0.02, JSON.stringify({ before, limited }));
    assert.ok(limited.timedOut < before.timedOut / 3);
    assert.ok(limited.inObjective > before.inObjective + 0.15);
    const unlimited = replay(NoLimit, models);
    assert.ok(limited.timedOut < unlimited.timedOut / 3, "it is the limit that does it");
  });

// Calls that are declined twice are lost; those that wait for a slot aren't.
suite("with limits, more calls are answered by endpoints that reject what exceeds their slots", () => {
  const [before, limited] = [replay(LeastBusy, ALL_REJECT), replay(Gradient, ALL_REJECT)];
  assert.ok(limited.answered > before.answered + 0.02, JSON.stringify({ before, limited }));
});

// The tail of the work lowers a limit that follows single answers, and slots stay unused.
suite("the gradient answers no fewer calls than AIMD", () => {
  const [aimd, gradient] = [replay(Aimd, PLAIN), replay(Gradient, PLAIN)];
  assert.ok(gradient.answered >= aimd.answered - 0.005, JSON.stringify({ aimd, gradient }));
});

suite("below its capacity, nothing is rejected in vain", () => {
  const calm = replay(Gradient, PLAIN, { requestsPerSecond: 150, burst: { factor: 1, everyMs: 6_000, forMs: 1 } });
  assert.ok(calm.answered > 0.995, JSON.stringify(calm));
});

/** Fleets whose daemons all send calls: a short heartbeat, and the one that a fleet of that size has. */
const FLEETS = [
  [1, 40],
  [16, 30],
  [16, serving.heartbeatIntervalMs(15)],
  [69, 60],
  [69, serving.heartbeatIntervalMs(68)],
  [690, serving.heartbeatIntervalMs(689)],
] as const;

const ONE_REJECTS = endpoints({ rejects: true });

// With many daemons, each knows of the others' calls only what heartbeats say: by counts that are a second old, calls
// waited before free slots, and 690 daemons answered 0.46 of them where `leastBusy` answers 0.70. With 16 daemons, more
// were answered, but by deadline alone all waited so long that fewer were in their objective.
for (const [daemons, heartbeatMs] of FLEETS)
  suite(
    `${daemons} daemons, heartbeats of ${Math.round(heartbeatMs)} ms: no fewer calls are answered than without limits`,
    () => {
      for (const [name, models] of Object.entries({ PLAIN, SLOW, ONE_REJECTS, ALL_REJECT })) {
        const [before, limited] = [
          replay(LeastBusy, models, { daemons, heartbeatMs }),
          replay(Gradient, models, { daemons, heartbeatMs }),
        ];
        const details = JSON.stringify({ name, before, limited });
        assert.ok(limited.answered >= before.answered, details);
        assert.ok(limited.inObjective >= before.inObjective - 0.05, details);
        assert.ok(limited.timedOut <= before.timedOut / 2 + 0.001, details);
      }
    },
  );

suite.run();
