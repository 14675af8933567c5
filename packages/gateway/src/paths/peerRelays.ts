import * as serving from "@camphorcourse/serving";
import * as connectionPools from "../endpointConnectionPool.js";
import type * as peerTables from "../peerTable.js";

/** Time for which a peer that didn't reach an endpoint is not chosen for it again, in milliseconds. */
const UNABLE_MS = 1_000;

/** Dependencies of {@link PeerRelays}. */
export interface PeerRelaysParts {
  /** VM and data centre of this daemon. */
  readonly vm: string;
  readonly dataCentre: string;
  /** @returns states of the live peers */
  readonly livePeers: () => readonly peerTables.PeerState[];
  /** @returns IP:PORT of a peer for the other daemons, if it is known */
  readonly addressOf: (vm: string) => string | undefined;
  readonly draw: () => number;
  readonly isLoopLagging: () => boolean;
}

/** A peer that passes requests on, with the connections to it. */
export interface PeerRelay {
  readonly vm: string;
  readonly dataCentre: string;
  readonly pool: connectionPools.EndpointConnectionPool;
}

/** The peers that can pass requests on to endpoints, and the connections to them. */
export class PeerRelays {
  readonly #parts: PeerRelaysParts;
  readonly #pools = new Map<string, connectionPools.EndpointConnectionPool>();
  /** For each endpoint the peers that didn't reach it either, and when they said so, in milliseconds. */
  readonly #unable = new Map<string, Map<string, { readonly dataCentre: string; readonly at: number }>>();

  /** @param parts - dependencies */
  constructor(parts: PeerRelaysParts) {
    this.#parts = parts;
  }

  /** @returns VM of this daemon */
  get vm(): string {
    return this.#parts.vm;
  }

  /** @returns bytes of requests that are buffered but not yet sent to peers */
  get unsentBytes(): number {
    return [...this.#pools.values()].reduce((sum, pool) => sum + pool.unsentBytes, 0);
  }

  /**
   * @param endpointId - the endpoint that a request is passed on to
   * @param excluded - VMs that are not chosen
   * @returns a peer that can pass a request on, if there is one
   */
  choose(endpointId: string, excluded: ReadonlySet<string> = new Set()): PeerRelay | undefined {
    const { addressOf, dataCentre, draw, livePeers, isLoopLagging } = this.#parts;
    const candidates = livePeers().filter(({ vm }) => vm !== this.#parts.vm);
    const unable = this.#unableFor(endpointId);
    const chosen = serving.chooseRelay(candidates, {
      dataCentre,
      excluded: new Set([...excluded, ...unable.keys()]),
      avoidedDataCentres: new Set([...unable.values()].map((peer) => peer.dataCentre)),
      draw,
    });
    const address = chosen === undefined ? undefined : addressOf(chosen.vm);
    if (chosen === undefined || address === undefined) return undefined;
    let pool = this.#pools.get(chosen.vm);
    if (pool?.address !== address) {
      pool?.close();
      this.#closeUnused();
      pool = new connectionPools.EndpointConnectionPool(address, isLoopLagging);
      this.#pools.set(chosen.vm, pool);
    }
    return { vm: chosen.vm, dataCentre: chosen.dataCentre, pool };
  }

  /**
   * @param endpointId - an endpoint
   * @param peer - a peer that doesn't reach it either
   */
  noteUnable(endpointId: string, { vm, dataCentre }: PeerRelay): void {
    this.#unableFor(endpointId).set(vm, { dataCentre, at: performance.now() });
  }

  /** @param endpointId - an endpoint that is gone or has restarted */
  forget(endpointId: string): void {
    this.#unable.delete(endpointId);
  }

  /** Forgets connections to peers that are gone. */
  #closeUnused(): void {
    const live = new Set(this.#parts.livePeers().map(({ vm }) => vm));
    for (const [vm, pool] of this.#pools) {
      if (live.has(vm) || pool.busy > 0) continue;
      pool.close();
      this.#pools.delete(vm);
    }
  }

  #unableFor(endpointId: string): Map<string, { readonly dataCentre: string; readonly at: number }> {
    const unable =
      this.#unable.get(endpointId) ?? new Map<string, { readonly dataCentre: string; readonly at: number }>();
    const since = performance.now() - UNABLE_MS;
    for (const [vm, { at }] of unable) if (at < since) unable.delete(vm);
    this.#unable.set(endpointId, unable);
    return unable;
  }

  /** Closes the idle connections. */
  close(): void {
    for (const pool of this.#pools.values()) pool.close();
  }
}
