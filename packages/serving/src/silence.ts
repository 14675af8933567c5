import * as configurations from "./configuration.js";

/** Silence on one connection, in multiples of the route's objective, after which a plain call goes elsewhere. */
const PLAIN_REQUEST_SILENCE = 4;

/** Silence of a whole endpoint, in multiples of the route's objective, after which a plain call goes elsewhere. */
const PLAIN_ENDPOINT_SILENCE = 2;

/** Silence of an engine in milliseconds: reading the longest prompts takes about as long. */
const ENGINE_SILENCE_MS = 1_100;

/** Silence of an engine in multiples of the time predicted for its first event. */
const ENGINE_SILENCE = 2;

/** How long an endpoint may say nothing before what may be repeated goes elsewhere. */
export interface SilenceLimits {
  /** Nothing from the endpoint on any connection, in milliseconds. */
  readonly endpointMs: number;
  /** Nothing on this request's own connection, in milliseconds. */
  readonly requestMs: number;
}

/**
 * @param route - the request's route
 * @param predictedMs - predicted time to the first event of a stream, in milliseconds
 * @returns the limits; an engine that is merely busy is still heard on other connections
 */
export function silenceLimits(
  route: Pick<configurations.Route, "requestClass" | "objectiveMs">,
  predictedMs: number,
): SilenceLimits {
  if (route.requestClass === configurations.RequestClass.Stream) {
    return {
      endpointMs: Math.max(ENGINE_SILENCE_MS, ENGINE_SILENCE * predictedMs),
      requestMs: Number.POSITIVE_INFINITY,
    };
  }
  return {
    endpointMs: PLAIN_ENDPOINT_SILENCE * route.objectiveMs,
    requestMs: PLAIN_REQUEST_SILENCE * route.objectiveMs,
  };
}
