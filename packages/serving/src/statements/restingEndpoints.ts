import * as neverthrow from "neverthrow";
import type * as admissions from "../admission.js";
import type * as configurations from "../configuration.js";
import type * as directories from "../endpointDirectory.js";
import * as limitedEndpoints from "../limits/limitedEndpoints.js";
import type * as restTables from "./restTable.js";

/** Endpoints of a service by whether they rest. */
export interface AwakeSelection {
  /** Those that don't rest. */
  readonly awake: readonly directories.Endpoint[];
  /** Time until the first of those that could answer may get a request, if all of them rest, in milliseconds. */
  readonly restMs: number | undefined;
}

/**
 * @param rests - the endpoints that rest
 * @param available - the endpoints that may serve a request, apart from rests
 * @param now - current time in milliseconds
 * @returns the endpoints that may get it now, or how long all of them rest
 */
export function selectAwake(
  rests: restTables.RestTable,
  available: readonly directories.Endpoint[],
  now: number,
): AwakeSelection {
  if (rests.count === 0) return { awake: available, restMs: undefined };
  const awake = available.filter((endpoint) => rests.waitMs(endpoint, now) === 0);
  const answering = available.filter(limitedEndpoints.canAnswer);
  if (answering.length === 0 || awake.some(limitedEndpoints.canAnswer)) return { awake, restMs: undefined };
  return { awake, restMs: Math.min(...answering.map((endpoint) => rests.waitMs(endpoint, now))) };
}

/** Part of a request's latency objective that it may wait for the end of a rest: after that, its answer would be late. */
const WAIT_PART = 0.5;

/** Time over which the callers that were told to return after one rest are spread, in milliseconds. */
const RETURN_SPREAD_MS = 500;

/** What a request finds whose endpoints all rest; times in milliseconds. */
export interface RestWaitInputs {
  /** Time until the first of them may get a request. */
  readonly restMs: number;
  readonly remainingMs: number;
  /** Time since the request arrived. */
  readonly elapsedMs: number;
  readonly route: Pick<configurations.Route, "objectiveMs">;
  /** A uniform random number in [0, 1). */
  readonly draw: number;
}

/**
 * Decides whether a request waits for the end of a rest. It does if it can still be answered in time; otherwise it is
 * rejected at once and told when the first endpoint is back.
 *
 * @param inputs - the rest, and the request's time
 * @returns the expected wait in milliseconds, or the rejection
 */
export function decideRestWait(inputs: RestWaitInputs): neverthrow.Result<number, admissions.Rejection> {
  const { draw, elapsedMs, remainingMs, restMs, route } = inputs;
  const longestMs = Math.min(remainingMs, route.objectiveMs * WAIT_PART - elapsedMs);
  if (restMs <= longestMs) return neverthrow.ok(restMs);
  return neverthrow.err({ retryAfterMs: restMs + draw * RETURN_SPREAD_MS });
}
