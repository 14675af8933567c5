import * as serving from "@camphorcourse/serving";
import type * as exchangeParts from "../exchangeParts.js";
import type * as waitingRequests from "../limits/waitingRequests.js";

/** What belongs to a request that waits. */
type WaitingParts = Pick<exchangeParts.ExchangeParts, "context" | "end" | "served">;

/**
 * Lets a request wait until an endpoint has rested, if that is in time; otherwise it is rejected.
 *
 * @param restMs - time until the first endpoint is back, in milliseconds
 * @param parts - what belongs to the request
 * @param waiting - the request as it waits
 * @param isResumed - whether it has waited before and is first in the queue
 */
export function waitForRest(
  restMs: number,
  { context, end, served }: WaitingParts,
  waiting: waitingRequests.WaitingRequest,
  isResumed: boolean,
): void {
  const { remainingMs, route } = served;
  const elapsedMs = performance.now() - served.caller.arrivedAt;
  const inputs = { restMs, remainingMs, elapsedMs, route, draw: context.random.next() };
  const decision = serving.decideRestWait(inputs);
  context.log.info("rest-wait", {
    id: served.id,
    service: served.service,
    restMs: Math.round(restMs),
    elapsedMs: Math.round(elapsedMs),
    returnAfterMs: decision.isErr() ? Math.round(decision.error.retryAfterMs) : undefined,
  });
  if (decision.isErr()) end.reject("endpoints-resting", decision.error.retryAfterMs);
  else context.limits.waiting.add(served.service, waiting, isResumed);
}

/**
 * Lets a request wait until a limit of the endpoints lets it through, if that is in time; otherwise it is rejected.
 *
 * @param limited - the endpoints, and when they may get a request
 * @param parts - what belongs to the request
 * @param waiting - the request as it waits
 * @param isResumed - whether it has waited before and is first in the queue
 */
export function waitForLimit(
  limited: serving.LimitedEndpoints,
  { context, end, served }: WaitingParts,
  waiting: waitingRequests.WaitingRequest,
  isResumed: boolean,
): void {
  const elapsedMs = performance.now() - served.caller.arrivedAt;
  const ahead = isResumed ? 0 : context.limits.waiting.count(served.service);
  const decision = serving.decideLimitedWait({
    ...limited,
    ahead,
    maxWaitMs: serving.longestLimitedWaitMs(served.route, served.remainingMs, elapsedMs),
    draw: context.random.next(),
  });
  context.log.info("limited-wait", {
    id: served.id,
    service: served.service,
    readyInMs: Math.round(limited.readyInMs),
    ahead,
    ownRate: limited.ownRatePerSecond.toFixed(2),
    waitMs: decision.isOk() ? Math.round(decision.value) : undefined,
    returnAfterMs: decision.isErr() ? Math.round(decision.error.retryAfterMs) : undefined,
  });
  if (decision.isErr()) end.reject("endpoints-limited", decision.error.retryAfterMs);
  else context.limits.waiting.add(served.service, waiting, isResumed);
}
