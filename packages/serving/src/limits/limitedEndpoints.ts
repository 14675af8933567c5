import * as directories from "../endpointDirectory.js";
import type * as limitEnforcers from "./limitEnforcer.js";

/** Endpoints that could answer a request, but whose limits let no request of this daemon through now. */
export interface LimitedEndpoints {
  /** Time until one of them may get a request in milliseconds; infinite if this daemon has no part of their limits. */
  readonly readyInMs: number;
  /** Requests a second that this daemon may send them, and that they take from all daemons. */
  readonly ownRatePerSecond: number;
  readonly limitPerSecond: number;
}

/** Endpoints of a service by whether their limits let a request through. */
export interface ReadySelection {
  /** Those that may get a request now. */
  readonly ready: readonly directories.Endpoint[];
  /** Those that may not, if there are any that could answer. */
  readonly limited: LimitedEndpoints | undefined;
}

/**
 * Selects the endpoints that may get a request now. Of the endpoints of a role, one whose limit was not confirmed lately
 * is selected alone, as its answer tells whether the limit is over.
 *
 * @param enforcer - this daemon's part of the limits
 * @param usable - the endpoints that may serve the request, apart from limits
 * @param isQueued - whether other requests wait for these endpoints and go first
 * @param now - current time in milliseconds
 * @returns the selection
 */
export function selectReady(
  enforcer: limitEnforcers.LimitEnforcer,
  usable: readonly directories.Endpoint[],
  isQueued: boolean,
  now: number,
): ReadySelection {
  const limited = usable.filter((endpoint) => enforcer.isLimited(endpoint));
  if (limited.length === 0) return { ready: usable, limited: undefined };
  const passed = new Set(limited.filter((endpoint) => isQueued || enforcer.waitMs(endpoint, now) > 0));
  const ready = usable.filter((endpoint) => !passed.has(endpoint));
  const probed = ready.find((endpoint) => enforcer.isProbeDue(endpoint, now));
  if (probed !== undefined)
    return { ready: ready.filter((each) => each === probed || each.role !== probed.role), limited: undefined };
  const answering = [...passed].filter(canAnswer);
  return { ready, limited: answering.length === 0 ? undefined : summarize(enforcer, answering, now) };
}

/**
 * @param endpoint - an endpoint
 * @returns whether it can answer requests, and doesn't only prefill prompts for others
 */
export function canAnswer({ role }: directories.Endpoint): boolean {
  return role !== directories.EngineRole.Prefill;
}

function summarize(
  enforcer: limitEnforcers.LimitEnforcer,
  endpoints: readonly directories.Endpoint[],
  now: number,
): LimitedEndpoints {
  const sum = (valueOf: (endpoint: directories.Endpoint) => number): number =>
    endpoints.reduce((total, endpoint) => total + valueOf(endpoint), 0);
  return {
    readyInMs: Math.min(...endpoints.map((endpoint) => enforcer.waitMs(endpoint, now))),
    ownRatePerSecond: sum((endpoint) => enforcer.ownRate(endpoint, now)),
    limitPerSecond: sum((endpoint) => enforcer.limitOf(endpoint)),
  };
}
