import * as serving from "@camphorcourse/serving";
import * as connectionPools from "../endpointConnectionPool.js";
import type * as peerTables from "../peerTable.js";

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
  readonly pool: connectionPools.EndpointConnectionPool;
}

/** The peers that can pass requests on to endpoints, and the connections to them. */
export class PeerRelays {
  readonly #parts: PeerRelaysParts;
  readonly #pools = new Map<string, connectionPools.EndpointConnectionPool>();

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
   * @param excluded - VMs that are not chosen
   * @returns a peer that can pass a request on, if there is one
   */
  choose(excluded: ReadonlySet<string>): PeerRelay | undefined {
    const { addressOf, dataCentre, draw, livePeers, isLoopLagging } = this.#parts;
    const candidates = livePeers().filter(({ vm }) => vm !== this.#parts.vm);
    const chosen = serving.chooseRelay(candidates, { dataCentre, excluded, draw });
    const address = chosen === undefined ? undefined : addressOf(chosen.vm);
    if (chosen === undefined || address === undefined) return undefined;
    let pool = this.#pools.get(chosen.vm);
    if (pool?.address !== address) {
      pool?.close();
      pool = new connectionPools.EndpointConnectionPool(address, isLoopLagging);
      this.#pools.set(chosen.vm, pool);
    }
    return { vm: chosen.vm, pool };
  }

  /** Closes the idle connections. */
  close(): void {
    for (const pool of this.#pools.values()) pool.close();
  }
}
