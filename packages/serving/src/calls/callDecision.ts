import * as neverthrow from "neverthrow";
import type * as admissions from "../admission.js";
import * as configurations from "../configuration.js";

/** What is known of one endpoint of a plain service. */
export interface CallEndpoint<Endpoint> {
  readonly endpoint: Endpoint;
  readonly slots: number;
  /** Requests of all daemons that run there. */
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

/**
 * @param endpoint - an endpoint
 * @returns whether it may get another request
 */
export function hasRoom({ limit, running }: Pick<CallEndpoint<unknown>, "limit" | "running">): boolean {
  return running < limit;
}

/**
 * A slot that a request of this daemon has just left is free for certain, while what heartbeats say of others is some
 * requests old. So it goes to a request that waits in the daemon, also after a decline that has lowered the limit.
 *
 * @param endpoint - an endpoint that has just answered
 * @returns whether it may get the next request that waits
 */
export function mayHandOn({
  limit,
  running,
  slots,
}: Pick<CallEndpoint<unknown>, "limit" | "running" | "slots">): boolean {
  return running < Math.max(limit, slots);
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
  const baseMs = Math.max(RETRY_AFTER_MS.min, Math.min(RETRY_AFTER_MS.max, waitMs));
  return neverthrow.err({ predictedMs, retryAfterMs: baseMs * (1 + inputs.draw() * RETRY_JITTER) });
}

function leastPredicted<Endpoint>({ draw, endpoints }: CallInputs<Endpoint>): CallEndpoint<Endpoint> | undefined {
  let chosen: CallEndpoint<Endpoint> | undefined;
  let chosenCost = Number.POSITIVE_INFINITY;
  for (const each of endpoints) {
    if (!hasRoom(each)) continue;
    const use = (USE_COST * (each.running + draw())) / each.slots + (each.isLimited === true ? LIMITED_COST : 0);
    const cost = predictCallMs(each) + each.serviceMs * use;
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
