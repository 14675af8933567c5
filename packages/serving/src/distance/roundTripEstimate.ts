/** Time over which the least round trip counts, in milliseconds. */
const WINDOW_MS = 10_000;

/** Length of the parts of the window, each of which keeps its least round trip, in milliseconds. */
const BUCKET_MS = 1_000;

/** Share of the way to the least round trip of the window that the estimate goes with each measurement. */
const SMOOTHING = 0.3;

interface Bucket {
  readonly startedAt: number;
  minMs: number;
}

/**
 * Estimates a round trip from measurements that queues and event loops lengthen: the smoothed minimum over 10 s. A shorter
 * round trip counts at once; a longer one as soon as the shorter ones have left the window.
 */
export class RoundTripEstimate {
  readonly #buckets: Bucket[] = [];
  #estimateMs: number | undefined;

  /**
   * @param roundTripMs - a measured round trip, in milliseconds
   * @param now - current instant in milliseconds
   */
  record(roundTripMs: number, now: number): void {
    this.#dropOld(now);
    const last = this.#buckets.at(-1);
    if (last === undefined || now - last.startedAt >= BUCKET_MS)
      this.#buckets.push({ startedAt: now, minMs: roundTripMs });
    else last.minMs = Math.min(last.minMs, roundTripMs);
    const minMs = Math.min(...this.#buckets.map((bucket) => bucket.minMs));
    this.#estimateMs =
      this.#estimateMs === undefined ? minMs : this.#estimateMs + (minMs - this.#estimateMs) * SMOOTHING;
  }

  /**
   * @param now - current instant in milliseconds
   * @returns the estimated round trip in milliseconds, or undefined without a measurement in the last 10 s
   */
  currentMs(now: number): number | undefined {
    this.#dropOld(now);
    if (this.#buckets.length === 0) this.#estimateMs = undefined;
    return this.#estimateMs;
  }

  #dropOld(now: number): void {
    while (this.#buckets[0] !== undefined && now - this.#buckets[0].startedAt >= WINDOW_MS) this.#buckets.shift();
  }
}
