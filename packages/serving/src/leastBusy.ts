import type * as distanceModels from "./distance/distanceModel.js";
import * as overflows from "./distance/overflow.js";
import type * as directories from "./endpointDirectory.js";
import type * as healths from "./endpointHealth.js";
import type * as loadTrackers from "./engineLoadTracker.js";

/** Cost of an endpoint in another data centre, in running requests, as traffic between data centres has a price. */
const CROSS_DATA_CENTRE_COST = 1;

/** Maximum random cost that breaks ties, so that daemons don't all choose the same endpoint. */
const TIE_SPREAD = 0.5;

/** Cost of an endpoint that limits its requests, in running requests, as it is short of room. */
const LIMITED_COST = 2;

/** What the choice is computed from. */
export interface LeastBusyInputs {
  readonly endpoints: readonly directories.Endpoint[];
  readonly loads: Pick<loadTrackers.EngineLoadTracker, "runningRequests">;
  readonly health: healths.EndpointHealth;
  /** Whether an endpoint limits its requests. */
  readonly isLimited: (endpoint: directories.Endpoint) => boolean;
  readonly dataCentre: string;
  /** Distances between the data centres; undefined in a deployment of one region. */
  readonly distances?: distanceModels.DistanceModel | undefined;
  /** @returns a uniform random number in [0, 1) */
  readonly draw: () => number;
  readonly now: number;
}

/**
 * @param inputs - the endpoints of a plain service and what is known of them
 * @returns the one with the fewest running requests, weighted by its slowness, or undefined if there is none; with
 *   several regions, one of the own region unless the requests there exceed its slots
 */
export function leastBusy(inputs: LeastBusyInputs): directories.Endpoint | undefined {
  const { distances, endpoints } = inputs;
  if (distances === undefined) return leastBusyOf(inputs);
  const isNear = ({ dataCentre }: directories.Endpoint): boolean => distances.regionOf(dataCentre) === distances.region;
  const own = leastBusyOf({ ...inputs, endpoints: endpoints.filter(isNear) });
  if (own !== undefined && occupancy(inputs, own) <= 1) return own;
  const distant = endpoints.filter((endpoint) => !isNear(endpoint));
  // The endpoints of a silent region look idle, as its daemons don't report their work.
  const heard = distant.filter(({ dataCentre }) => !distances.isSilent(distances.regionOf(dataCentre)));
  const other = leastBusyOf({ ...inputs, endpoints: heard.length > 0 || own !== undefined ? heard : distant });
  if (own === undefined || other === undefined) return own ?? other;
  const share = overflows.callOverflowShare(occupancy(inputs, own), occupancy(inputs, other));
  return inputs.draw() < share ? other : own;
}

/** Requests at an endpoint, a new one included, in multiples of its slots and weighted by its slowness. */
function occupancy({ loads, health, now }: LeastBusyInputs, { id, slots }: directories.Endpoint): number {
  return ((loads.runningRequests(id, now) + 1) / Math.max(1, slots)) * health.slowness(id);
}

function leastBusyOf(inputs: LeastBusyInputs): directories.Endpoint | undefined {
  const { loads, health, now } = inputs;
  let chosen: directories.Endpoint | undefined;
  let chosenCost = Number.POSITIVE_INFINITY;
  for (const endpoint of inputs.endpoints) {
    const running = loads.runningRequests(endpoint.id, now) + 1;
    const distanceCost = endpoint.dataCentre === inputs.dataCentre ? 0 : CROSS_DATA_CENTRE_COST;
    const limitedCost = inputs.isLimited(endpoint) ? LIMITED_COST : 0;
    const cost = running * health.slowness(endpoint.id) + distanceCost + limitedCost + inputs.draw() * TIE_SPREAD;
    if (cost < chosenCost) {
      chosen = endpoint;
      chosenCost = cost;
    }
  }
  return chosen;
}
