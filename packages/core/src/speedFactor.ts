/** Share of the past that is kept with each observation. */
const KEPT_SHARE = 0.95;
/** Milliseconds of observation that the prior counts as. */
const PRIOR_WEIGHT_MS = 1000;
const SMALLEST_FACTOR = 0.2;
const LARGEST_FACTOR = 5;

/**
 * How much slower or faster an endpoint is than predicted. Observed and predicted
 * times are summed apart, so that long requests weigh more than short ones: an
 * average of ratios would follow the short ones, whose time is mostly overhead.
 */
export class SpeedFactor {
  #observedMs = PRIOR_WEIGHT_MS;
  #predictedMs = PRIOR_WEIGHT_MS;

  /** @returns observed time divided by predicted time */
  get factor(): number {
    return Math.min(LARGEST_FACTOR, Math.max(SMALLEST_FACTOR, this.#observedMs / this.#predictedMs));
  }

  /**
   * @param predictedMs - time predicted without any factor
   * @param observedMs - time that it took
   */
  learn(predictedMs: number, observedMs: number): void {
    this.#predictedMs = this.#predictedMs * KEPT_SHARE + predictedMs;
    this.#observedMs = this.#observedMs * KEPT_SHARE + observedMs;
  }
}
