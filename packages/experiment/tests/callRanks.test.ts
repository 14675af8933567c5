import * as serving from "@camphorcourse/serving";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as experiment from "../src/index.js";

const suite = uvu.suite("replay of calls of several ranks at twice what the endpoints can do");

const LEAD = 0.05;
const ENDPOINTS = 4;
const SLOTS = 6;

type Rates = ReadonlyMap<string, number>;

/** Share of the calls of each rank that are answered; the parts are those of the ranks, the first first. */
function rates(
  parts: readonly number[],
  options: Partial<experiment.CallScenario> = {},
  rejects = false,
): { readonly ranked: Rates; readonly unranked: Rates } {
  const endpoint = { slots: SLOTS, rejects, slownessAt: () => 1 };
  const scenario = {
    policy: experiment.CallPolicy.Gradient,
    daemons: 16,
    endpoints: Array.from({ length: ENDPOINTS }, () => endpoint),
    requestsPerSecond: 690,
    burst: { factor: 1, everyMs: 6_000, forMs: 1 },
    heartbeatMs: 30,
    objectiveMs: 120,
    timeoutMs: 600,
    forMs: 8_000,
    classes: parts.map((part, rank) => ({ organisation: `rank ${rank}`, rank, part })),
    ...options,
  };
  const run = (isRanked: boolean): Rates => {
    const { byOrganisation } = new experiment.CallReplay({ ...scenario, isRanked }, 1).run();
    return new Map([...byOrganisation].map(([name, { offered, answered }]) => [name, answered / offered]));
  };
  return { ranked: run(true), unranked: run(false) };
}

function rateOf(known: Rates, rank: number): number {
  return known.get(`rank ${rank}`) ?? 0;
}

// By deadline alone, a flood of the lowest rank takes the room of the others.
for (const [daemons, heartbeatMs] of [
  [1, 40],
  [16, 30],
  [69, 60],
] as const)
  suite(
    `${daemons} daemons: in a flood of the lowest rank, the first rank is answered more often than without ranks`,
    () => {
      const { ranked, unranked } = rates([0.3, 0.7], { daemons, heartbeatMs });
      const details = JSON.stringify({ ranked: [...ranked], unranked: [...unranked] });
      assert.ok(rateOf(ranked, 0) > rateOf(unranked, 0) + LEAD, details);
      assert.ok(rateOf(ranked, 0) > rateOf(ranked, 1) + LEAD, details);
    },
  );

// Without its floor, the lowest rank would get nothing while the first one alone asks for more than there is.
suite("the lowest rank keeps a tenth of what is accepted where the first rank takes all", () => {
  const { ranked } = rates([0.85, 0.15], { requestsPerSecond: 1_200 });
  const accepted = 0.85 * rateOf(ranked, 0) + 0.15 * rateOf(ranked, 1);
  assert.ok((0.15 * rateOf(ranked, 1)) / accepted > 0.1 - 0.01, JSON.stringify([...ranked]));
});

// With a shift by position alone, ranks in between could be served less often than the one below them.
for (const parts of [
  [0.3, 0.3, 0.4],
  [0.2, 0.2, 0.2, 0.4],
  [0.6, 0.2, 0.2],
])
  for (const [daemons, heartbeatMs] of [
    [16, 30],
    [69, 60],
    [690, serving.heartbeatIntervalMs(689)],
  ] as const)
    for (const rejects of [false, true])
      suite(
        `${parts.length} ranks (first ${parts[0]}), ${daemons} daemons, ${rejects ? "rejecting" : "queueing"} endpoints: no rank is answered less often than a less urgent one`,
        () => {
          const { ranked } = rates(parts, { daemons, heartbeatMs, forMs: 6_000 }, rejects);
          for (let rank = 0; rank < parts.length; rank++)
            for (let lower = rank + 1; lower < parts.length; lower++)
              assert.ok(rateOf(ranked, rank) >= rateOf(ranked, lower) - LEAD, JSON.stringify([...ranked]));
        },
      );

suite.run();
