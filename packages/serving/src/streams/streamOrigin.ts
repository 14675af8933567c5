import type * as configurations from "../configuration.js";
import type * as directories from "../endpointDirectory.js";

/** What began a stream. Events that two versions of an endpoint's software write don't fit together. */
export interface StreamOrigin {
  readonly service: string;
  /** Version of the software of the endpoint that brought the first event. */
  readonly softwareVersion: string;
}

/**
 * @param origin - what began a stream
 * @param endpoint - an endpoint
 * @returns whether the stream may go on at the endpoint; never at one whose version isn't known
 */
export function isOfOrigin(origin: StreamOrigin, endpoint: directories.Endpoint): boolean {
  return endpoint.service === origin.service && endpoint.softwareVersion === origin.softwareVersion;
}

/**
 * @param origin - what began a stream
 * @param route - the stream's route, as the configuration in force has it
 * @returns whether the route still leads to the service that began the stream
 */
export function isOnRoute(origin: StreamOrigin, route: configurations.Route): boolean {
  return route.shares.some(({ service, weight }) => service === origin.service && weight > 0);
}
