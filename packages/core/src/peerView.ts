import type * as admission from "./admission.js";
import * as engineCosts from "./engineCosts.js";
import type * as membership from "./membership.js";
import type * as orderManager from "./orderManager.js";
import type * as servicePool from "./servicePool.js";

interface EndpointLoad {
  readonly inFlight: number;
  readonly prefillTokens: number;
  readonly streams: number;
}

const NO_LOAD: EndpointLoad = { inFlight: 0, prefillTokens: 0, streams: 0 };
const NO_WAITING_WORK: admission.WaitingWork = { tokens: 0, requests: 0 };

/** Builds the load part of this daemon's heartbeats and applies the load that peers report. */
export class PeerView {
  readonly #pools: ReadonlyMap<string, servicePool.ServicePool>;
  readonly #roster: membership.Roster;
  readonly #orders: orderManager.OrderManager;

  /**
   * @param pools - the service pools of this daemon
   * @param roster - the daemons
   * @param orders - the manager of planned changes
   */
  constructor(
    pools: ReadonlyMap<string, servicePool.ServicePool>,
    roster: membership.Roster,
    orders: orderManager.OrderManager,
  ) {
    this.#pools = pools;
    this.#roster = roster;
    this.#orders = orders;
  }

  /**
   * @param now - current time
   * @returns this daemon's requests at each endpoint; endpoints with an unfinished
   * change are always included, as this is the acknowledgement that the change
   * waits for
   */
  endpointShares(now: number): membership.EndpointShare[] {
    const shares: membership.EndpointShare[] = [];
    for (const pool of this.#pools.values()) {
      for (const endpoint of pool.endpoints) {
        const order = this.#orders.orderOf(endpoint.id);
        const isChanging = order !== undefined && !this.#orders.acceptsWork(endpoint.id);
        if (endpoint.inFlight === 0 && !isChanging) continue;
        shares.push({
          endpoint: endpoint.id,
          inFlight: endpoint.inFlight,
          prefillTokens: endpoint.ownWaitingTokens(now),
          streams: endpoint.ownStreams,
          recordRevision: order?.revision ?? 0,
        });
      }
    }
    return shares;
  }

  /** @returns the waiting work and the demand of each service that has had requests */
  serviceShares(): membership.ServiceShare[] {
    return [...this.#pools]
      .filter(([, pool]) => pool.requests > 0)
      .map(([service, pool]) => ({
        service,
        waiting: pool.queue.waiting(),
        arrived: pool.arrived,
        requests: pool.requests,
      }));
  }

  /**
   * Adds a peer's new demand to the planners: the daemon that holds the lease plans for the demand at all daemons.
   *
   * @param previous - the peer's previous report
   * @param report - its current report
   * @param now - current time
   */
  recordPeerDemand(previous: membership.PeerReport | undefined, report: membership.PeerReport, now: number): void {
    if (previous?.incarnation !== report.incarnation) return;
    const previousShares = new Map(previous.services.map((share) => [share.service, share]));
    for (const share of report.services) {
      const previousShare = previousShares.get(share.service);
      const requests = share.requests - (previousShare?.requests ?? 0);
      if (requests <= 0) continue;
      const demand = engineCosts.differenceOf(share.arrived, previousShare?.arrived ?? engineCosts.NO_DEMAND);
      this.#pools.get(share.service)?.planner.onRequests(demand, requests, now);
    }
  }

  /**
   * Updates the pools with the total requests and waiting work of all peers.
   *
   * @param now - current time
   */
  updatePeerTotals(now: number): void {
    const loads = new Map<string, EndpointLoad>();
    const waitingByService = new Map<string, admission.WaitingWork>();
    const daemonsByService = new Map<string, number>();
    for (const peer of this.#roster.livePeers(now)) {
      for (const share of peer.report?.shares ?? []) {
        loads.set(share.endpoint, addLoads(loads.get(share.endpoint) ?? NO_LOAD, share));
      }
      for (const { service, waiting } of peer.report?.services ?? []) {
        waitingByService.set(service, addWaitingWork(waitingByService.get(service) ?? NO_WAITING_WORK, waiting));
        daemonsByService.set(service, (daemonsByService.get(service) ?? 0) + 1);
      }
    }
    for (const [id, pool] of this.#pools) {
      pool.onPeerQueues(waitingByService.get(id) ?? NO_WAITING_WORK, daemonsByService.get(id) ?? 0);
      for (const endpoint of pool.endpoints) endpoint.onPeerLoad(loads.get(endpoint.id) ?? NO_LOAD, now);
    }
  }
}

function addLoads(left: EndpointLoad, right: EndpointLoad): EndpointLoad {
  return {
    inFlight: left.inFlight + right.inFlight,
    prefillTokens: left.prefillTokens + right.prefillTokens,
    streams: left.streams + right.streams,
  };
}

function addWaitingWork(left: admission.WaitingWork, right: admission.WaitingWork): admission.WaitingWork {
  return { tokens: left.tokens + right.tokens, requests: left.requests + right.requests };
}
