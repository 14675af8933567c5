import type * as directories from "./endpointDirectory.js";
import type * as healths from "./endpointHealth.js";
import type * as boards from "./engineLoadTracker.js";

/** Requests under way that an endpoint in another data centre has to be better by; bytes between them cost. */
const OTHER_DATA_CENTRE_COST = 1;

/** Spread by which equal endpoints are told apart, so that daemons don't all choose the same. */
const TIE_SPREAD = 0.5;

/** What the choice rests on. */
export interface PlainChoiceInputs {
  readonly endpoints: readonly directories.Endpoint[];
  readonly loads: boards.EngineLoadTracker;
  readonly health: healths.EndpointHealth;
  readonly dataCentre: string;
  /** @returns a uniform number in [0, 1) */
  readonly draw: () => number;
  readonly now: number;
}

/**
 * @param inputs - the endpoints of a plain service and what is known of them
 * @returns the one with the fewest requests under way, for its speed, or undefined if there is none
 */
export function leastBusy(inputs: PlainChoiceInputs): directories.Endpoint | undefined {
  const { loads: board, health, now } = inputs;
  let chosen: directories.Endpoint | undefined;
  let chosenCost = Number.POSITIVE_INFINITY;
  for (const endpoint of inputs.endpoints) {
    const running = board.runningRequests(endpoint.id, now) + 1;
    const away = endpoint.dataCentre === inputs.dataCentre ? 0 : OTHER_DATA_CENTRE_COST;
    const cost = running * health.slowness(endpoint.id) + away + inputs.draw() * TIE_SPREAD;
    if (cost < chosenCost) {
      chosen = endpoint;
      chosenCost = cost;
    }
  }
  return chosen;
}
