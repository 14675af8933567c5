import * as common from "@camphorcourse/common";
import * as core from "@camphorcourse/core";
import * as baselines from "./baselines.js";
import * as coreRouter from "./coreRouter.js";
import * as engineFleet from "./engineFleet.js";
import * as outcomeModule from "./outcome.js";
import * as traceModule from "./trace.js";

/** The routing policies that are compared: the core's, its variants and the baselines. */
export enum Policy {
  Core = "ours",
  RoundRobin = "round robin",
  LeastConnections = "least connections",
  ThresholdFollower = "threshold follower",
  NoRoleChange = "ours, no role change",
  NoAdmission = "ours, no admission",
  NoAffinity = "ours, no affinity",
  LongEngineQueues = "ours, long engine queues",
  NoLoadSharing = "ours, peers untold",
  OneDaemon = "ours, one daemon",
  RetryingCallers = "ours, callers come back",
}

const DAEMON_COUNT = 3;
const DRAIN_MS = 40_000;
const NEVER = Number.MAX_SAFE_INTEGER;

/** The interface of a router under replay. */
interface Router {
  onRequest(request: traceModule.TraceRequest): void;
  setWithdrawn(engine: number, withdrawn: boolean): void;
  setKeyValueDown?(down: boolean): void;
}

/**
 * Replays a trace in virtual time.
 *
 * @param trace - the trace to replay
 * @param policy - the routing policy
 * @param seed - random seed of arrivals, sizes and tie-breaking
 * @returns counters and latencies of the requests
 */
export function replay(trace: traceModule.Trace, policy: Policy, seed: number): outcomeModule.Outcome {
  const outcome = new outcomeModule.Outcome();
  const fleet = new engineFleet.EngineFleet(shuffleRoles(trace, seed), outcome);
  const router = createRouter(trace, policy, seed, fleet, outcome);
  const startMs = fleet.now;
  for (const request of traceModule.generateRequests(trace, seed)) {
    fleet.schedule(startMs + request.atMs - fleet.now, () => {
      router.onRequest(request);
    });
  }
  for (const event of trace.events) {
    fleet.schedule(event.atSecond * 1000, () => {
      if (event.what === "withdraw") router.setWithdrawn(event.engine ?? 0, true);
      if (event.what === "return") router.setWithdrawn(event.engine ?? 0, false);
      if (event.what === "key-value-down") router.setKeyValueDown?.(true);
      if (event.what === "key-value-up") router.setKeyValueDown?.(false);
    });
  }
  fleet.run(startMs + traceModule.durationOf(trace) + DRAIN_MS);
  return outcome;
}

/** Shuffles the roles by the seed, because results must not depend on the order of the engines. */
function shuffleRoles(trace: traceModule.Trace, seed: number): core.EndpointRole[] {
  const random = new common.SeededRandom(seed);
  return trace.roles
    .map((role) => ({ role, draw: random.next() }))
    .sort((left, right) => left.draw - right.draw)
    .map(({ role }) => role);
}

function createRouter(
  trace: traceModule.Trace,
  policy: Policy,
  seed: number,
  fleet: engineFleet.EngineFleet,
  outcome: outcomeModule.Outcome,
): Router {
  const { RoundRobin, LeastConnections } = baselines.SelectionStrategy;
  if (policy === Policy.RoundRobin) return new baselines.BaselineRouter(fleet, outcome, RoundRobin, false);
  if (policy === Policy.LeastConnections) return new baselines.BaselineRouter(fleet, outcome, LeastConnections, false);
  if (policy === Policy.ThresholdFollower) return new baselines.BaselineRouter(fleet, outcome, LeastConnections, true);
  return new coreRouter.CoreRouter(fleet, outcome, trace, {
    daemons: policy === Policy.OneDaemon ? 1 : DAEMON_COUNT,
    policy: policySettings(policy),
    seed,
    retriesRefused: policy === Policy.RetryingCallers,
    sharesLoad: policy !== Policy.NoLoadSharing,
  });
}

function policySettings(policy: Policy): core.PolicySettings {
  const defaults = core.POLICY_SETTINGS;
  if (policy === Policy.NoRoleChange)
    return { ...defaults, planner: { ...defaults.planner, cooldownMs: NEVER, shortMs: NEVER } };
  if (policy === Policy.NoAdmission) return { ...defaults, refusesInfeasible: false };
  if (policy === Policy.NoAffinity) return { ...defaults, choice: { ...defaults.choice, prefixAffinity: false } };
  if (policy === Policy.LongEngineQueues)
    return { ...defaults, choice: { ...defaults.choice, prefillWindowMs: NEVER } };
  return defaults;
}
