/** Weight of all earlier observations relative to a new one. */
const DECAY_FACTOR = 0.95;
/** Weight of the prior, as milliseconds of observed time. */
const PRIOR_WEIGHT_MS = 1000;
const MIN_FACTOR = 0.2;
const MAX_FACTOR = 5;

/**
 * Learned ratio of an endpoint's actual to its predicted times. Observed and
 * predicted times are summed separately, so that long requests weigh more: an
 * average of ratios would follow short requests, whose time is mostly overhead.
 */
export class SpeedFactor {
  #observedMs = PRIOR_WEIGHT_MS;
  #predictedMs = PRIOR_WEIGHT_MS;

  /** @returns observed time divided by predicted time, clamped */
  get factor(): number {
    return Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, this.#observedMs / this.#predictedMs));
  }

  /**
   * Adds an observation.
   *
   * @param predictedMs - time predicted without this factor
   * @param observedMs - actual time
   */
  learn(predictedMs: number, observedMs: number): void {
    this.#predictedMs = this.#predictedMs * DECAY_FACTOR + predictedMs;
    this.#observedMs = this.#observedMs * DECAY_FACTOR + observedMs;
  }
}
