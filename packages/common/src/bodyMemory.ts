/** Share of the limit that only small bodies may use, so that a crowd of large ones doesn't keep them out. */
const SMALL_BODIES_SHARE = 1 / 16;

/** Largest small body in bytes, where the share for them isn't less. */
const MAX_SMALL_BYTES = 65_536;

/** Time without progress after which an unfinished body gives way to others, in milliseconds. */
const STALL_MS = 1_000;

/** Time until there is room, in milliseconds: at least and at most, and while no body has been released yet. */
const RETRY_AFTER_MS = { min: 100, max: 5_000, unknown: 1_000 };

/** Weight of the earlier bodies in the mean time for which a byte is held, each time that one is released. */
const RETENTION = 0.9;

/** What is held of one body. */
export interface BodyHolding<Owner> {
  readonly owner: Owner;
  readonly openedAt: number;
  /** Bytes that are reserved for it. */
  bytes: number;
  /** Instant of its last bytes, in milliseconds. */
  progressAt: number;
}

/**
 * Bounds what bodies of requests hold in memory: those that are being read, by their stated length from the beginning, and those
 * that wait with their requests. Where there is no room, unfinished bodies give way that have stood still, the longest first, and
 * then those that are larger than an equal share, the largest first, to one that takes no more than that.
 *
 * Answers the load pattern in which many large bodies come at once and stop just short of their end: they neither exceed the memory
 * nor keep the bodies of others out for as long as they stay.
 */
export class BodyMemory<Owner> {
  readonly #limitBytes: number;
  readonly #unfinished = new Set<BodyHolding<Owner>>();
  readonly #released = { bytes: 0, byteMs: 0 };
  #total = 0;

  /** @param limitBytes - bytes that all bodies together may hold */
  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes;
  }

  /** @returns bytes that are reserved for all bodies */
  get total(): number {
    return this.#total;
  }

  /** @returns bytes that all bodies together may hold */
  get limit(): number {
    return this.#limitBytes;
  }

  /**
   * @param owner - what reads the body
   * @param now - current instant in milliseconds
   * @returns a holding for a body that is going to be read, to be closed
   */
  open(owner: Owner, now: number): BodyHolding<Owner> {
    const holding = { owner, openedAt: now, bytes: 0, progressAt: now };
    this.#unfinished.add(holding);
    return holding;
  }

  /**
   * @param holding - an open holding
   * @param bytes - bytes that are reserved for it in all from now on
   * @param now - current instant in milliseconds
   * @param otherBytes - bytes that are held for anything else within the same limit
   * @returns owners of the bodies that give way, which hold nothing any more; undefined if there is no room
   */
  reserve(holding: BodyHolding<Owner>, bytes: number, now: number, otherBytes = 0): readonly Owner[] | undefined {
    const missing = this.#total + bytes - holding.bytes + otherBytes - this.#limitFor(bytes);
    const yielding = missing <= 0 || bytes <= holding.bytes ? [] : this.#yielding(holding, bytes, missing, now);
    if (yielding === undefined) return undefined;
    for (const each of yielding) this.#release(each);
    this.#total += bytes - holding.bytes;
    holding.bytes = bytes;
    return yielding.map(({ owner }) => owner);
  }

  /**
   * @param holding - the holding of a body of which bytes have come
   * @param now - current instant in milliseconds
   */
  noteProgress(holding: BodyHolding<Owner>, now: number): void {
    holding.progressAt = now;
  }

  /** @param holding - the holding of a body that has been read to its end: it no longer gives way */
  complete(holding: BodyHolding<Owner>): void {
    this.#unfinished.delete(holding);
  }

  /**
   * @param holding - the holding of a body that isn't needed any more
   * @param now - current instant in milliseconds
   */
  close(holding: BodyHolding<Owner>, now: number): void {
    if (holding.bytes > 0) {
      this.#released.bytes = this.#released.bytes * RETENTION + holding.bytes;
      this.#released.byteMs = this.#released.byteMs * RETENTION + holding.bytes * (now - holding.openedAt);
    }
    this.#release(holding);
  }

  /**
   * @param bytes - size of a body that was rejected
   * @returns time until as much has been released as it lacks, by how long bodies have been held of late, in milliseconds
   */
  retryAfterMs(bytes: number): number {
    if (this.#released.bytes === 0 || this.#total === 0) return RETRY_AFTER_MS.unknown;
    const missing = Math.max(0, this.#total + bytes - this.#limitFor(bytes));
    const meanHeldMs = this.#released.byteMs / this.#released.bytes;
    const waitMs = (missing / this.#total) * meanHeldMs;
    return Math.min(RETRY_AFTER_MS.max, Math.max(RETRY_AFTER_MS.min, waitMs));
  }

  #limitFor(bytes: number): number {
    const smallBytes = this.#limitBytes * SMALL_BODIES_SHARE;
    return bytes <= Math.min(MAX_SMALL_BYTES, smallBytes) ? this.#limitBytes : this.#limitBytes - smallBytes;
  }

  #yielding(
    holding: BodyHolding<Owner>,
    bytes: number,
    missing: number,
    now: number,
  ): readonly BodyHolding<Owner>[] | undefined {
    const others = [...this.#unfinished].filter((each) => each !== holding && each.bytes > 0);
    const stalled = others.filter(({ progressAt }) => now - progressAt >= STALL_MS);
    stalled.sort((left, right) => left.progressAt - right.progressAt);
    const share = this.#limitBytes / (others.length + 1);
    const larger = bytes > share ? [] : others.filter((each) => each.bytes > share && !stalled.includes(each));
    larger.sort((left, right) => right.bytes - left.bytes);
    const yielding: BodyHolding<Owner>[] = [];
    let freed = 0;
    for (const each of [...stalled, ...larger]) {
      if (freed >= missing) break;
      yielding.push(each);
      freed += each.bytes;
    }
    return freed >= missing ? yielding : undefined;
  }

  #release(holding: BodyHolding<Owner>): void {
    this.#unfinished.delete(holding);
    this.#total -= holding.bytes;
    holding.bytes = 0;
  }
}
