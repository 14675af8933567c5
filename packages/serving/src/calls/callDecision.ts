import * as neverthrow from "neverthrow";
import type * as admissions from "../admission.js";
import * as configurations from "../configuration.js";

/** What is known of one endpoint of a plain service. */
export interface CallEndpoint<Endpoint> {
  readonly endpoint: Endpoint;
  readonly slots: number;
  /** Requests of all daemons that run there; an estimate may be fractional. */
  readonly running: number;
  /** Concurrent requests that it can handle. */
  readonly limit: number;
  /** Time that it takes for a request that doesn't wait in it, in milliseconds. */
  readonly serviceMs: number;
  /** Network time there and back, in milliseconds. */
  readonly networkMs: number;
  /** Whether it limits its requests, as it is short of room. */
  readonly isLimited?: boolean;
}

/** What a request for a plain service finds. */
export interface CallInputs<Endpoint> {
  readonly endpoints: readonly CallEndpoint<Endpoint>[];
  /** Requests that wait in this daemon and go before it. */
  readonly ahead: number;
  /** Whether the request has waited, and none goes before it. */
  readonly hasWaited: boolean;
  /** Whether it has waited for so long that its answer is no longer expected within its objective. */
  readonly isLate?: boolean;
  /** Whether its rank or its organisation's share sets it back while calls are rejected. */
  readonly isSetBack?: boolean;
  /** Part of the peers' reported requests that still run, from 0 to 1; 1 if left out. */
  readonly freshness?: number;
  /** Whether no further request may wait. */
  readonly isQueueFull: boolean;
  /** Whether the service times were learned, so that a prediction may reject a request. */
  readonly isLearned: boolean;
  /** Time until the request's deadline in milliseconds. */
  readonly remainingMs: number;
  /** @returns a uniform random number in [0, 1) */
  readonly draw: () => number;
}

/** A request that is sent at once, or waits. */
export interface CallDecision<Endpoint> {
  /** Where it is sent; undefined if it waits. */
  readonly endpoint: Endpoint | undefined;
  /** Predicted time to the answer, wait included, in milliseconds. */
  readonly predictedMs: number;
}

/** A request that is rejected at once. */
export interface CallRejection extends admissions.Rejection {
  /** Predicted time to the answer, wait included, in milliseconds. */
  readonly predictedMs: number;
}

/**
 * Largest timeout of a route in multiples of its objective with which its calls are controlled. With so little time left
 * a wait in an endpoint's queue can't be made up by a retry.
 */
const MAX_TIMEOUT_OBJECTIVES = 5.5;

/** Range of the retry time before jitter in milliseconds, and the maximum jitter as a share of it. */
const RETRY_AFTER_MS = { min: 50, max: 2_500 };
const RETRY_JITTER = 0.5;

/**
 * Part of a service time that a full endpoint costs beside an idle one. It spreads the requests of daemons that don't yet
 * know of each other's, though both endpoints would answer at the same time.
 */
const USE_COST = 0.5;

/**
 * Freshness below which an endpoint's limit is not applied: more than half of the reported requests have ended, and requests
 * would wait before free slots until the next heartbeats.
 */
const MIN_FRESHNESS = 0.5;

/**
 * Part of the limit by which requests may exceed it for each part of the reported requests that has ended. An estimate that
 * is too high leaves slots empty, which costs more answers than one that is too low.
 */
const UNCERTAINTY_ROOM = 2;

/** Spread by chance of the requests of daemons whose counts are old, in multiples of the slots. */
const STALE_SPREAD = 0.5;

/**
 * Part of the slots that requests leave free that can no longer be answered within their objective, or that are set back.
 * What waits in other daemons isn't known here, and can still be in time or of a more urgent rank.
 */
const LATE_ROOM = 0.5;

/** Service times that a request has to have left to count as in time: the 0.9 quantile of an exponential is 2.3. */
const IN_TIME_SERVICES = 2;

/** Cost of an endpoint that limits its requests, in service times. */
const LIMITED_COST = 0.5;

/**
 * @param routes - all routes
 * @param service - a service
 * @returns whether its calls are controlled: each of its routes leaves little time beyond the objective, and none streams
 */
export function controlsCalls(
  routes: readonly Pick<configurations.Route, "requestClass" | "timeoutMs" | "objectiveMs" | "shares">[],
  service: string,
): boolean {
  const own = routes.filter(({ shares }) => shares.some((share) => share.service === service && share.weight > 0));
  return (
    own.length > 0 &&
    own.every(
      ({ requestClass, timeoutMs, objectiveMs }) =>
        requestClass !== configurations.RequestClass.Stream && timeoutMs <= MAX_TIMEOUT_OBJECTIVES * objectiveMs,
    )
  );
}

/**
 * @param endpoint - an endpoint
 * @returns predicted time to the answer of a request that is sent there now, in milliseconds
 */
export function predictCallMs(endpoint: Omit<CallEndpoint<unknown>, "endpoint" | "limit">): number {
  const { networkMs, running, serviceMs, slots } = endpoint;
  const beyond = Math.max(0, running + 1 - slots);
  return serviceMs * (1 + beyond / Math.max(1, slots)) + networkMs;
}

/** What room at an endpoint depends on, besides the endpoint. */
export type RoomInputs = Pick<CallInputs<unknown>, "isLate" | "isSetBack" | "freshness">;

/**
 * @param endpoint - an endpoint
 * @param inputs - the request, and how old the counts are
 * @returns whether it may get another request
 */
export function hasRoom(
  endpoint: Pick<CallEndpoint<unknown>, "limit" | "running" | "slots">,
  inputs: RoomInputs = {},
): boolean {
  const { freshness = 1 } = inputs;
  if (freshness < MIN_FRESHNESS) return true;
  const limit = endpoint.limit * (1 + UNCERTAINTY_ROOM * (1 - freshness));
  return endpoint.running < limit - keptFree(endpoint, inputs);
}

/**
 * A slot that a request of this daemon has just left is free for certain, while what heartbeats say of others is some
 * requests old. So it goes to a request that waits in the daemon, also after a decline that has lowered the limit.
 *
 * @param endpoint - an endpoint that has just answered
 * @param inputs - the request, and how old the counts are
 * @returns whether it may get the next request that waits
 */
export function mayHandOn(
  endpoint: Pick<CallEndpoint<unknown>, "limit" | "running" | "slots">,
  inputs: RoomInputs = {},
): boolean {
  return endpoint.running < Math.max(endpoint.limit, endpoint.slots) - keptFree(endpoint, inputs);
}

function keptFree(
  { slots }: Pick<CallEndpoint<unknown>, "slots">,
  { isLate, isSetBack, freshness = 1 }: RoomInputs,
): number {
  return isLate === true || isSetBack === true ? LATE_ROOM * slots * freshness : 0;
}

/**
 * @param call - when a request came, in milliseconds, and the objective of its route
 * @param endpoints - the endpoints that it may be sent to, at least one
 * @returns last instant at which it can be sent so that its answer is expected within the objective, in milliseconds;
 *   infinite where the work takes about as long as the objective, so that no request could wait at all
 */
export function inTimeUntil(
  call: { readonly arrivedAt: number; readonly objectiveMs: number },
  endpoints: readonly Pick<CallEndpoint<unknown>, "serviceMs" | "networkMs">[],
): number {
  const neededMs = Math.min(...endpoints.map(({ serviceMs, networkMs }) => IN_TIME_SERVICES * serviceMs + networkMs));
  return neededMs < call.objectiveMs ? call.arrivedAt + call.objectiveMs - neededMs : Number.POSITIVE_INFINITY;
}

/**
 * Decides on a request for a plain service whose calls are controlled: it is sent to the endpoint under its limit with the
 * least predicted time, waits in the daemon if there is none, and is rejected at once if its answer would come too late.
 *
 * Load pattern: bursts of twice the load on a few slots, whose work takes 21 or 86 ms with a tail of five times; one
 * endpoint turns slow, one rejects what exceeds its slots.
 *
 * @param inputs - the endpoints and the request
 * @returns the decision, or the rejection
 */
export function decideCall<Endpoint>(
  inputs: CallInputs<Endpoint>,
): neverthrow.Result<CallDecision<Endpoint>, CallRejection> {
  const { ahead, endpoints, isLearned, isQueueFull, remainingMs } = inputs;
  const chosen = ahead > 0 ? undefined : leastPredicted(inputs);
  const chosenMs = chosen === undefined ? undefined : predictCallMs(chosen);
  // One that has waited too long would run for nobody. One that has just come is sent, or a wrong prediction would stand.
  if (chosen !== undefined && chosenMs !== undefined && (!inputs.hasWaited || chosenMs <= remainingMs))
    return neverthrow.ok({ endpoint: chosen.endpoint, predictedMs: chosenMs });
  const waitMs = predictWaitMs(endpoints, ahead);
  const predictedMs = waitMs + Math.min(...endpoints.map(({ serviceMs, networkMs }) => serviceMs + networkMs));
  const isTooLate = (isLearned || inputs.hasWaited) && predictedMs > remainingMs;
  if (!isTooLate && !isQueueFull) return neverthrow.ok({ endpoint: undefined, predictedMs });
  // Rejections while there is room would count as a shortage, which would then never end.
  if (inputs.isSetBack === true) return decideCall({ ...inputs, isSetBack: false });
  const baseMs = Math.max(RETRY_AFTER_MS.min, Math.min(RETRY_AFTER_MS.max, waitMs));
  return neverthrow.err({ predictedMs, retryAfterMs: baseMs * (1 + inputs.draw() * RETRY_JITTER) });
}

function leastPredicted<Endpoint>(inputs: CallInputs<Endpoint>): CallEndpoint<Endpoint> | undefined {
  const { draw, endpoints, freshness = 1 } = inputs;
  let chosen: CallEndpoint<Endpoint> | undefined;
  let chosenCost = Number.POSITIVE_INFINITY;
  for (const each of endpoints) {
    if (!hasRoom(each, inputs)) continue;
    const running = each.running + STALE_SPREAD * (1 - freshness) * draw() * each.slots;
    const use = (USE_COST * (running + draw())) / each.slots + (each.isLimited === true ? LIMITED_COST : 0);
    const cost = predictCallMs({ ...each, running }) + each.serviceMs * use;
    if (cost >= chosenCost) continue;
    chosen = each;
    chosenCost = cost;
  }
  return chosen;
}

/**
 * Time until an endpoint has room for a request, from the rate at which all of them finish requests. What waits in other
 * daemons isn't known; they wait for the same room.
 */
function predictWaitMs(endpoints: readonly CallEndpoint<unknown>[], ahead: number): number {
  let finishedPerMs = 0;
  let before = ahead + 1;
  for (const { limit, running, serviceMs, slots } of endpoints) {
    finishedPerMs += Math.min(limit, slots) / Math.max(1, serviceMs);
    before += Math.max(0, running - limit);
  }
  return before / finishedPerMs;
}
