import * as configurations from "./configuration.js";

/** Silence on one connection, in multiples of the route's objective, after which a plain call is sent elsewhere. */
const PLAIN_REQUEST_OBJECTIVES = 4;

/** Silence of a whole endpoint, in multiples of the route's objective, after which a plain call is sent elsewhere. */
const PLAIN_ENDPOINT_OBJECTIVES = 2;

/** Minimum silence limit of an engine in milliseconds: the prefill of the longest prompts takes about as long. */
const MIN_ENGINE_SILENCE_MS = 1_100;

/** Silence limit of an engine in multiples of the predicted time to its first event. */
const ENGINE_SILENCE_PREDICTIONS = 2;

/** How long an endpoint may send nothing before a request that may be retried is sent elsewhere. */
export interface SilenceLimits {
  /** Nothing received from the endpoint on any connection, in milliseconds. */
  readonly endpointMs: number;
  /** Nothing received on the connection of this request, in milliseconds. */
  readonly requestMs: number;
}

/**
 * @param route - the request's route
 * @param predictedMs - predicted time to the first event of a stream, in milliseconds
 * @returns the limits; streams have none for their own connection, as a busy engine still sends on other connections
 */
export function silenceLimits(
  route: Pick<configurations.Route, "requestClass" | "objectiveMs">,
  predictedMs: number,
): SilenceLimits {
  if (route.requestClass === configurations.RequestClass.Stream) {
    return {
      endpointMs: Math.max(MIN_ENGINE_SILENCE_MS, ENGINE_SILENCE_PREDICTIONS * predictedMs),
      requestMs: Number.POSITIVE_INFINITY,
    };
  }
  return {
    endpointMs: PLAIN_ENDPOINT_OBJECTIVES * route.objectiveMs,
    requestMs: PLAIN_REQUEST_OBJECTIVES * route.objectiveMs,
  };
}
