/** What is known of the requests at one endpoint of a plain service. */
export interface CountedEndpoint {
  readonly id: string;
  readonly slots: number;
  /** Requests of this daemon that run there. */
  readonly own: number;
  /** Requests of its peers that ran there, as of their last heartbeats. */
  readonly peers: number;
  /** Time that it takes for a request that doesn't wait in it, in milliseconds. */
  readonly serviceMs: number;
}

/** Estimated numbers of requests at the endpoints of a service. */
export interface RunningEstimate {
  /** Part of the peers' reported requests that still run, from 0 to 1; 1 without peers. */
  readonly freshness: number;
  /** Requests of all daemons at each endpoint, in the order of the endpoints. */
  readonly running: readonly number[];
}

/**
 * Time constant of an endpoint's mean, in milliseconds: four heartbeats of a large fleet. A shorter one lets all daemons
 * turn to the same endpoint for some heartbeats.
 */
const MEAN_MS = 4_000;

interface Mean {
  value: number;
  updatedAt: number;
}

/**
 * Estimates how many requests run at the endpoints of a plain service, from counts that are as old as heartbeats. The peers'
 * counts are replaced by their mean over a few seconds as far as the reported requests have probably ended.
 *
 * Load pattern: 69 to 690 daemons with heartbeats of up to a second, and work of 21 or 86 ms. Taken as they are, the counts
 * send the requests of all daemons to the endpoint that was idle last, or let them wait before endpoints that have room.
 */
export class RunningEstimates {
  readonly #means = new Map<string, Mean>();

  /**
   * @param endpoints - the endpoints of a service that may get a request
   * @param heartbeatMs - time between two heartbeats of a peer, in milliseconds; 0 without peers
   * @param now - current instant in milliseconds
   * @returns the estimate
   */
  estimate(endpoints: readonly CountedEndpoint[], heartbeatMs: number, now: number): RunningEstimate {
    const freshness = freshnessOf(endpoints, heartbeatMs);
    const running = endpoints.map(
      ({ id, own, peers }) => own + freshness * peers + (1 - freshness) * this.#mean(id, peers, now),
    );
    return { freshness, running };
  }

  /** @param endpointId - an endpoint that is gone */
  forget(endpointId: string): void {
    this.#means.delete(endpointId);
  }

  #mean(id: string, peers: number, now: number): number {
    const mean = this.#means.get(id) ?? { value: peers, updatedAt: now };
    mean.value += (peers - mean.value) * (1 - Math.exp((mean.updatedAt - now) / MEAN_MS));
    mean.updatedAt = now;
    this.#means.set(id, mean);
    return mean.value;
  }
}

/**
 * A count is half a heartbeat old on average. A request stays at an endpoint for its service time, multiplied by the
 * occupancy where requests wait there.
 */
function freshnessOf(endpoints: readonly CountedEndpoint[], heartbeatMs: number): number {
  if (heartbeatMs <= 0 || endpoints.length === 0) return 1;
  let [running, slots, serviceMs] = [0, 0, 0];
  for (const each of endpoints) {
    running += each.own + each.peers;
    slots += each.slots;
    serviceMs += each.serviceMs / endpoints.length;
  }
  const stayMs = serviceMs * Math.max(1, running / Math.max(1, slots));
  return Math.exp(-heartbeatMs / 2 / Math.max(1, stayMs));
}
