/** Bounds of a ratio: a gap is never assumed shorter than expected, and one four times as long leaves no time to share. */
const MIN_RATIO = 1;
const MAX_RATIO = 4;

/** Width of a bucket. Half of it is 2% of a limit on pauses of 150 ms, less than a token takes. */
const BUCKET_WIDTH = 0.05;

const BUCKETS = Math.ceil((MAX_RATIO - MIN_RATIO) / BUCKET_WIDTH);

/**
 * Share of the time in gaps that the ratio covers. Where engines are slow for more than a tenth of the time, it covers
 * their gaps: a prefill that is sent before the slowness is known falls into one of them.
 */
const QUANTILE = 0.9;

/** Time constant of the decay in milliseconds: some streams' length, so that the ratio follows the load. */
const DECAY_MS = 10_000;

/** Interval at which the weights are decayed, in milliseconds. */
const DECAY_STEP_MS = 100;

/** Time in gaps below which the quantile is not known, in milliseconds: a tenth of it is one gap. */
const MIN_WEIGHT_MS = 500;

/** A quantile of the recent ratios between the gaps that streams had and the expected ones. */
export class GapRatios {
  readonly #weights = new Float64Array(BUCKETS + 1);
  #total = 0;
  #decayedAt: number | undefined;

  /**
   * @param ratio - a gap between two events, in multiples of the expected one
   * @param gapMs - the gap in milliseconds, which is its weight: a prefill falls into a long gap more often than into a
   *   short one
   * @param now - monotonic time in milliseconds
   */
  add(ratio: number, gapMs: number, now: number): void {
    this.#decay(now);
    const bounded = Math.min(MAX_RATIO, Math.max(MIN_RATIO, ratio));
    const bucket = Math.round((bounded - MIN_RATIO) / BUCKET_WIDTH);
    this.#weights[bucket] = (this.#weights[bucket] ?? 0) + gapMs;
    this.#total += gapMs;
  }

  /**
   * @param now - monotonic time in milliseconds
   * @returns the ratio that 0.9 of the recent gaps don't exceed, from 1 to 4; 1 while too few are known
   */
  quantile(now: number): number {
    this.#decay(now);
    if (this.#total < MIN_WEIGHT_MS) return MIN_RATIO;
    let sum = 0;
    for (const [bucket, weight] of this.#weights.entries()) {
      sum += weight;
      if (sum >= this.#total * QUANTILE) return MIN_RATIO + bucket * BUCKET_WIDTH;
    }
    return MAX_RATIO;
  }

  #decay(now: number): void {
    this.#decayedAt ??= now;
    const elapsedMs = now - this.#decayedAt;
    if (elapsedMs < DECAY_STEP_MS) return;
    this.#decayedAt = now;
    const factor = Math.exp(-elapsedMs / DECAY_MS);
    this.#total = 0;
    for (const [bucket, weight] of this.#weights.entries()) {
      this.#weights[bucket] = weight * factor;
      this.#total += weight * factor;
    }
  }
}
