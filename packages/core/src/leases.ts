import * as constants from "./constants.js";

/** A shard's lease as the key-value service last showed it. */
export interface ShardLease {
  readonly shard: string;
  readonly vm: string;
  readonly incarnation: string;
  /** Revision at which the lease was taken; every later holder has a higher one. */
  readonly epoch: number;
}

/** What the key of a shard's lease holds. */
export interface LeaseValue {
  readonly vm: string;
  readonly incarnation: string;
}

/**
 * The daemon's own lease in the key-value service: its registration and the
 * shards that it holds end with it.
 *
 * The deadline is counted from before the renewal was sent. Were it counted
 * from the reply, a slow reply would let the service end the lease while the
 * holder still believes in it; counted from the sending, the holder always
 * gives up first. The margin covers clocks that run at different speeds.
 */
export class OwnLease {
  #id: string | undefined;
  #deadline = Number.NEGATIVE_INFINITY;
  #lastTick: number | undefined;

  /** @returns the id of the lease, if one is believed in */
  get id(): string | undefined {
    return this.#id;
  }

  /**
   * @param id - lease that was granted or renewed
   * @param sentAt - time before the call was sent
   * @param ttlMs - time to live that the service named
   */
  onRenewed(id: string, sentAt: number, ttlMs: number): void {
    this.#id = id;
    this.#deadline = sentAt + ttlMs - constants.LEASE_MARGIN_MS;
  }

  /** The service says that the lease has ended. */
  onLost(): void {
    this.#id = undefined;
    this.#deadline = Number.NEGATIVE_INFINITY;
  }

  /**
   * A process that was paused can't know what others did meanwhile, so all
   * authority is dropped until the lease has been renewed again.
   *
   * @param now - current time
   * @returns how long the process was paused, 0 if it was not
   */
  onTick(now: number): number {
    const gap = this.#lastTick === undefined ? 0 : now - this.#lastTick;
    this.#lastTick = now;
    if (gap < constants.PAUSE_THRESHOLD_MS) return 0;
    this.#deadline = Number.NEGATIVE_INFINITY;
    return gap;
  }

  /**
   * @param now - current time
   * @returns whether orders may be given under this lease
   */
  isValid(now: number): boolean {
    return this.#id !== undefined && now < this.#deadline;
  }
}

/** The leases of the control shards. */
export class ShardLeases {
  readonly #leases = new Map<string, ShardLease>();
  readonly #deposed = new Map<string, number>();

  /** @param lease - a shard's lease as read */
  onRead(lease: ShardLease): void {
    this.#leases.set(lease.shard, lease);
  }

  /** @param shard - a shard whose lease has ended */
  onEnded(shard: string): void {
    this.#leases.delete(shard);
  }

  /**
   * @param shard - the shard
   * @returns its lease, if somebody holds it
   */
  get(shard: string): ShardLease | undefined {
    return this.#leases.get(shard);
  }

  /**
   * Another daemon names a newer epoch: what this one holds up to it is void.
   *
   * @param shard - the shard
   * @param epoch - the newer epoch
   */
  depose(shard: string, epoch: number): void {
    this.#deposed.set(shard, Math.max(epoch, this.#deposed.get(shard) ?? 0));
  }

  /**
   * @param shard - the shard
   * @param incarnation - the process that asks
   * @returns the epoch under which that process may act, or undefined
   */
  epochOf(shard: string, incarnation: string): number | undefined {
    const lease = this.#leases.get(shard);
    if (lease?.incarnation !== incarnation) return undefined;
    if ((this.#deposed.get(shard) ?? 0) > lease.epoch) return undefined;
    return lease.epoch;
  }

  /** @returns all leases that are held */
  all(): ShardLease[] {
    return [...this.#leases.values()];
  }
}
