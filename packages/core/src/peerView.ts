import type * as admission from "./admission.js";
import * as engineCosts from "./engineCosts.js";
import type * as membership from "./membership.js";
import type * as orderManager from "./orderManager.js";
import type * as servicePool from "./servicePool.js";

interface EndpointUse {
  readonly inFlight: number;
  readonly prefillTokens: number;
  readonly streams: number;
}

const NO_USE: EndpointUse = { inFlight: 0, prefillTokens: 0, streams: 0 };
const NOTHING_WAITS: admission.WaitingWork = { tokens: 0, requests: 0 };

/** What daemons tell one another of their requests, and what is made of it. */
export class PeerView {
  readonly #pools: ReadonlyMap<string, servicePool.ServicePool>;
  readonly #roster: membership.Roster;
  readonly #orders: orderManager.OrderManager;

  /**
   * @param pools - the services at this daemon
   * @param roster - the daemons
   * @param orders - the planned changes
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
   * @returns how much of each endpoint this daemon uses; endpoints under change are
   * always named, as this is the acknowledgement that the change waits for
   */
  endpointShares(now: number): membership.EndpointShare[] {
    const shares: membership.EndpointShare[] = [];
    for (const pool of this.#pools.values()) {
      for (const endpoint of pool.endpoints) {
        const order = this.#orders.orderOf(endpoint.id);
        const changing = order !== undefined && !this.#orders.acceptsWork(endpoint.id);
        if (endpoint.inFlight === 0 && !changing) continue;
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

  /** @returns what waits here and what has arrived, of each service that had requests */
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
   * The planner of whichever daemon holds the lease has to know what arrives at all of them.
   *
   * @param before - the peer's report before
   * @param report - its report now
   * @param now - current time
   */
  recordPeerDemand(before: membership.PeerReport | undefined, report: membership.PeerReport, now: number): void {
    if (before?.incarnation !== report.incarnation) return;
    const known = new Map(before.services.map((share) => [share.service, share]));
    for (const share of report.services) {
      const earlier = known.get(share.service);
      const requests = share.requests - (earlier?.requests ?? 0);
      if (requests <= 0) continue;
      const demand = engineCosts.differenceOf(share.arrived, earlier?.arrived ?? engineCosts.NO_DEMAND);
      this.#pools.get(share.service)?.planner.onRequests(demand, requests, now);
    }
  }

  /** @param now - current time; tells the pools what all peers have and what waits there */
  updatePeerTotals(now: number): void {
    const uses = new Map<string, EndpointUse>();
    const queues = new Map<string, admission.WaitingWork>();
    const serving = new Map<string, number>();
    for (const peer of this.#roster.livePeers(now)) {
      for (const share of peer.report?.shares ?? []) {
        uses.set(share.endpoint, sumOfUse(uses.get(share.endpoint) ?? NO_USE, share));
      }
      for (const { service, waiting } of peer.report?.services ?? []) {
        queues.set(service, sumOfWork(queues.get(service) ?? NOTHING_WAITS, waiting));
        serving.set(service, (serving.get(service) ?? 0) + 1);
      }
    }
    for (const [id, pool] of this.#pools) {
      pool.onPeerQueues(queues.get(id) ?? NOTHING_WAITS, serving.get(id) ?? 0);
      for (const endpoint of pool.endpoints) endpoint.onPeerUse(uses.get(endpoint.id) ?? NO_USE, now);
    }
  }
}

function sumOfUse(left: EndpointUse, right: EndpointUse): EndpointUse {
  return {
    inFlight: left.inFlight + right.inFlight,
    prefillTokens: left.prefillTokens + right.prefillTokens,
    streams: left.streams + right.streams,
  };
}

function sumOfWork(left: admission.WaitingWork, right: admission.WaitingWork): admission.WaitingWork {
  return { tokens: left.tokens + right.tokens, requests: left.requests + right.requests };
}
