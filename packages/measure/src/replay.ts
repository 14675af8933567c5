import * as common from "@camphorcourse/common";
import * as core from "@camphorcourse/core";
import * as baselines from "./baselines.js";
import * as coreRouter from "./coreRouter.js";
import * as engineFleet from "./engineFleet.js";
import * as outcomeModule from "./outcome.js";
import * as traceModule from "./trace.js";

/** The policies that are replayed side by side. */
export enum Policy {
  Ours = "ours",
  RoundRobin = "round robin",
  LeastConnections = "least connections",
  ThresholdFollower = "threshold follower",
  NoRoleChange = "ours, no role change",
  NoAdmission = "ours, no admission",
  NoAffinity = "ours, no affinity",
  LongEngineQueues = "ours, long engine queues",
  NoExchange = "ours, peers untold",
  OneDaemon = "ours, one daemon",
  ComingBack = "ours, callers come back",
}

const DAEMONS = 3;
const DRAIN_MS = 40_000;
const NEVER = Number.MAX_SAFE_INTEGER;

/** What routes in a replay. */
interface Router {
  onRequest(request: traceModule.TraceRequest): void;
  setWithdrawn(engine: number, withdrawn: boolean): void;
  setKeyValueDown?(down: boolean): void;
}

/**
 * @param trace - the trace
 * @param policy - what routes
 * @param seed - of arrivals, sizes and ties
 * @returns how the requests ended
 */
export function replay(trace: traceModule.Trace, policy: Policy, seed: number): outcomeModule.Outcome {
  const outcome = new outcomeModule.Outcome();
  const fleet = new engineFleet.EngineFleet(startRoles(trace, seed), outcome);
  const router = routerOf(trace, policy, seed, fleet, outcome);
  const startMs = fleet.now;
  for (const request of traceModule.requestsOf(trace, seed)) {
    fleet.after(startMs + request.atMs - fleet.now, () => {
      router.onRequest(request);
    });
  }
  for (const event of trace.events) {
    fleet.after(event.atSecond * 1000, () => {
      if (event.what === "withdraw") router.setWithdrawn(event.engine ?? 0, true);
      if (event.what === "return") router.setWithdrawn(event.engine ?? 0, false);
      if (event.what === "key-value-down") router.setKeyValueDown?.(true);
      if (event.what === "key-value-up") router.setKeyValueDown?.(false);
    });
  }
  fleet.run(startMs + traceModule.lengthOf(trace) + DRAIN_MS);
  return outcome;
}

/** The same engines may stand in any order; a seed must not favour one. */
function startRoles(trace: traceModule.Trace, seed: number): core.EndpointRole[] {
  const random = new common.SeededRandom(seed);
  return trace.roles
    .map((role) => ({ role, draw: random.next() }))
    .sort((left, right) => left.draw - right.draw)
    .map(({ role }) => role);
}

function routerOf(
  trace: traceModule.Trace,
  policy: Policy,
  seed: number,
  fleet: engineFleet.EngineFleet,
  outcome: outcomeModule.Outcome,
): Router {
  const { RoundRobin, LeastConnections } = baselines.Pick;
  if (policy === Policy.RoundRobin) return new baselines.SimpleRouter(fleet, outcome, RoundRobin, false);
  if (policy === Policy.LeastConnections) return new baselines.SimpleRouter(fleet, outcome, LeastConnections, false);
  if (policy === Policy.ThresholdFollower) return new baselines.SimpleRouter(fleet, outcome, LeastConnections, true);
  return new coreRouter.CoreRouter(fleet, outcome, trace, {
    daemons: policy === Policy.OneDaemon ? 1 : DAEMONS,
    policy: settingsOf(policy),
    seed,
    comeBack: policy === Policy.ComingBack,
    exchanges: policy !== Policy.NoExchange,
  });
}

function settingsOf(policy: Policy): core.PolicySettings {
  const ours = core.POLICY_SETTINGS;
  if (policy === Policy.NoRoleChange)
    return { ...ours, planner: { ...ours.planner, cooldownMs: NEVER, shortMs: NEVER } };
  if (policy === Policy.NoAdmission) return { ...ours, refusesLate: false };
  if (policy === Policy.NoAffinity) return { ...ours, choice: { ...ours.choice, prefixAffinity: false } };
  if (policy === Policy.LongEngineQueues) return { ...ours, choice: { ...ours.choice, prefillWindowMs: NEVER } };
  return ours;
}
