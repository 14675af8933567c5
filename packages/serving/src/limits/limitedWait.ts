import * as neverthrow from "neverthrow";
import * as admissions from "../admission.js";
import * as configurations from "../configuration.js";
import type * as limitedEndpoints from "./limitedEndpoints.js";

/** What a request finds whose endpoints all limit their requests. */
export interface LimitedWaitInputs extends limitedEndpoints.LimitedEndpoints {
  /** Requests that wait before it at this daemon. */
  readonly ahead: number;
  /** Longest wait that leaves time for the answer, in milliseconds. */
  readonly maxWaitMs: number;
  /** A uniform random number in [0, 1). */
  readonly draw: number;
}

/** Range of the retry time before jitter in milliseconds, and the maximum jitter as a share of it. */
const RETRY_AFTER_MS = { min: 200, max: 2_500 };
const RETRY_JITTER = 0.5;

/** Part of the patience of a stream's caller that may pass before it is sent. */
const STREAM_WAIT_PART = 0.5;

/** Part of the remaining time of a request without a stream that may pass before it is sent. */
const PLAIN_WAIT_PART = 0.5;

const MS_PER_SECOND = 1_000;

/**
 * Decides whether a request waits until a limit lets it through. It is rejected at once if its turn would come too late,
 * and told to return when the endpoints will have taken what is ahead of it, or their next request if another daemon
 * sends that.
 *
 * @param inputs - the limits, and what waits already
 * @returns the expected wait in milliseconds, or the rejection
 */
export function decideLimitedWait(inputs: LimitedWaitInputs): neverthrow.Result<number, admissions.Rejection> {
  const { readyInMs, ahead, ownRatePerSecond, limitPerSecond, maxWaitMs, draw } = inputs;
  const waitMs = ownRatePerSecond > 0 ? readyInMs + (ahead * MS_PER_SECOND) / ownRatePerSecond : Infinity;
  if (waitMs <= maxWaitMs) return neverthrow.ok(waitMs);
  const returnMs = Number.isFinite(waitMs) ? waitMs : MS_PER_SECOND / limitPerSecond;
  const baseMs = Math.max(RETRY_AFTER_MS.min, Math.min(RETRY_AFTER_MS.max, returnMs));
  return neverthrow.err({ retryAfterMs: baseMs * (1 + draw * RETRY_JITTER) });
}

/**
 * @param route - route of a request
 * @param remainingMs - time until its deadline in milliseconds
 * @param elapsedMs - time since it arrived in milliseconds
 * @returns the longest wait before its send that leaves time for the answer, in milliseconds
 */
export function longestLimitedWaitMs(
  route: Pick<configurations.Route, "requestClass" | "objectiveMs" | "pauseMs">,
  remainingMs: number,
  elapsedMs: number,
): number {
  if (route.requestClass !== configurations.RequestClass.Stream) return remainingMs * PLAIN_WAIT_PART;
  const callerTimeoutMs = admissions.streamCallerTimeoutMs(route.objectiveMs, route.pauseMs);
  return Math.min(remainingMs, callerTimeoutMs * STREAM_WAIT_PART - elapsedMs);
}
