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
  readonly loads: loadTrackers.EngineLoadTracker;
  readonly health: healths.EndpointHealth;
  /** Whether an endpoint limits its requests. */
  readonly isLimited: (endpoint: directories.Endpoint) => boolean;
  readonly dataCentre: string;
  /** @returns a uniform random number in [0, 1) */
  readonly draw: () => number;
  readonly now: number;
}

/**
 * @param inputs - the endpoints of a plain service and what is known of them
 * @returns the one with the fewest running requests, weighted by its slowness, or undefined if there is none
 */
export function leastBusy(inputs: LeastBusyInputs): directories.Endpoint | undefined {
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
