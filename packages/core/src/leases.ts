import * as constants from "./constants.js";

/** A control shard's lease as last read from the key-value service. */
export interface ShardLease {
  readonly shard: string;
  readonly vm: string;
  readonly incarnation: string;
  /** Revision at which the lease was taken; every later holder has a higher one. */
  readonly epoch: number;
}

/** Value stored under the key of a shard's lease. */
export interface LeaseValue {
  readonly vm: string;
  readonly incarnation: string;
}

/**
 * The daemon's own lease in the key-value service. Its registration and its
 * shard leases end with it.
 *
 * The deadline counts from the time just before the renewal was sent. If it
 * counted from the reply, a slow reply would let the service end the lease
 * while the holder still considers it valid; counted from the sending, the
 * holder always stops first. The margin covers clocks that run at different
 * speeds.
 */
export class OwnLease {
  #id: string | undefined;
  #deadline = Number.NEGATIVE_INFINITY;
  #lastTick: number | undefined;

  /** @returns the id of the lease, unless none was granted or it has ended */
  get id(): string | undefined {
    return this.#id;
  }

  /**
   * @param id - id of the lease that was granted or renewed
   * @param sentAt - time before the call was sent
   * @param ttlMs - time to live that the service granted
   */
  onRenewed(id: string, sentAt: number, ttlMs: number): void {
    this.#id = id;
    this.#deadline = sentAt + ttlMs - constants.LEASE_MARGIN_MS;
  }

  /** The key-value service reported that the lease has ended. */
  onLost(): void {
    this.#id = undefined;
    this.#deadline = Number.NEGATIVE_INFINITY;
  }

  /**
   * Detects a pause of the process. Other daemons may have acted during the
   * pause, so the lease counts as invalid until it is renewed.
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
   * @returns whether orders may be sent under this lease
   */
  isValid(now: number): boolean {
    return this.#id !== undefined && now < this.#deadline;
  }
}

/** The leases of the control shards. */
export class ShardLeases {
  readonly #leases = new Map<string, ShardLease>();
  readonly #deposedBelow = new Map<string, number>();

  /** @param lease - a shard's lease, as read */
  onRead(lease: ShardLease): void {
    this.#leases.set(lease.shard, lease);
  }

  /** @param shard - a shard whose lease has ended */
  onEnded(shard: string): void {
    this.#leases.delete(shard);
  }

  /**
   * @param shard - the shard
   * @returns its lease, if any daemon holds it
   */
  get(shard: string): ShardLease | undefined {
    return this.#leases.get(shard);
  }

  /**
   * Another daemon holds a newer epoch: leases of the shard with an older epoch become invalid.
   *
   * @param shard - the shard
   * @param epoch - the newer epoch
   */
  depose(shard: string, epoch: number): void {
    this.#deposedBelow.set(shard, Math.max(epoch, this.#deposedBelow.get(shard) ?? 0));
  }

  /**
   * @param shard - the shard
   * @param incarnation - the process that would act
   * @returns the epoch under which that process may act, or undefined
   */
  epochOf(shard: string, incarnation: string): number | undefined {
    const lease = this.#leases.get(shard);
    if (lease?.incarnation !== incarnation) return undefined;
    if ((this.#deposedBelow.get(shard) ?? 0) > lease.epoch) return undefined;
    return lease.epoch;
  }

  /** @returns all leases that have a holder */
  all(): ShardLease[] {
    return [...this.#leases.values()];
  }
}
