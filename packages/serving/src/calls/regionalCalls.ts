import type * as distanceModels from "../distance/distanceModel.js";
import type * as directories from "../endpointDirectory.js";
import type * as callDecisions from "./callDecision.js";

/**
 * A call leaves its region only if no endpoint there has a free slot: until then another region's endpoint answers later by
 * the way there and back, and takes room from its own callers.
 *
 * Load pattern: waves of demand out of phase between regions, on a few slots in each.
 *
 * @param distances - distances between the data centres; undefined in a deployment of one region
 * @param endpoints - endpoints that may get a call
 * @returns those of the own region with a free slot if there are any, else all
 */
export function preferOwnRegion<Known extends callDecisions.CallEndpoint<directories.Endpoint>>(
  distances: distanceModels.DistanceModel | undefined,
  endpoints: readonly Known[],
): readonly Known[] {
  if (distances === undefined) return endpoints;
  const near = endpoints.filter(
    (each) =>
      distances.regionOf(each.endpoint.dataCentre) === distances.region &&
      each.running < Math.min(each.slots, each.limit),
  );
  return near.length > 0 ? near : endpoints;
}
