/** An online linear regression: recursive least squares with slow forgetting. */

/**
 * Standard deviation of a prior coefficient in multiples of itself. If the prior is wrong by a factor of ten, the first
 * dozens of observations outweigh it.
 */
const PRIOR_DEVIATION = 1;

/** Random drift of a coefficient per observation, as a part of itself; it makes the estimate forget old observations. */
const DRIFT = 0.01;

/** Minimum of a coefficient as a part of its prior: more work never takes less time. */
const MIN_PART_OF_PRIOR = 0.01;

/**
 * Errors, in standard deviations, beyond which a larger error has no more influence. Work that this daemon doesn't know
 * of makes times longer and never shorter, so that long times are trusted less.
 */
const MAX_ERROR = { longer: 1, shorter: 4 };

/** Detection of errors on one side: weight of the newest in their mean, threshold of that mean, and variance increase. */
const BIAS = { newestWeight: 0.12, threshold: 0.7, varianceFactor: 1.5 };

/** Learned coefficients of a sum of features, with the covariance of their errors. */
export class LinearEstimate {
  readonly #prior: readonly number[];
  readonly #means: number[];
  readonly #covariance: number[][];
  #observations = 0;
  /** Mean of the errors in standard deviations, each limited to -1 to 1. */
  #bias = 0;

  /** @param prior - the initial coefficients, all above 0 */
  constructor(prior: readonly number[]) {
    this.#prior = prior;
    this.#means = [...prior];
    this.#covariance = prior.map((mean, row) => prior.map((_, column) => (row === column ? variance(mean) : 0)));
  }

  /** @returns the current coefficients */
  get coefficients(): readonly number[] {
    return this.#means;
  }

  /** @returns the number of observations that they rest on */
  get observations(): number {
    return this.#observations;
  }

  /**
   * @param features - as many as there are coefficients
   * @returns the expected sum
   */
  predict(features: readonly number[]): number {
    return dot(this.#means, features);
  }

  /**
   * @param features - as many as there are coefficients
   * @param observed - the observed sum
   * @param deviation - standard deviation of the observation itself, above 0
   */
  learn(features: readonly number[], observed: number, deviation: number): void {
    // A single NaN or infinite observation would make all coefficients NaN for good.
    if (![observed, deviation, ...features].every(Number.isFinite) || deviation <= 0) return;
    const gain = this.#covariance.map((row) => dot(row, features));
    const expectedVariance = Math.max(0, dot(gain, features)) + deviation * deviation;
    const error = observed - this.predict(features);
    const deviations = error / Math.sqrt(expectedVariance);
    const maxError = error > 0 ? MAX_ERROR.longer : MAX_ERROR.shorter;
    // A larger error counts as less certain, so that it moves the estimate no more than one at the limit.
    const totalVariance = expectedVariance * Math.max(1, Math.abs(deviations) / maxError);
    for (const [row, value] of gain.entries()) {
      const minimum = (this.#prior[row] ?? 0) * MIN_PART_OF_PRIOR;
      this.#means[row] = Math.max(minimum, (this.#means[row] ?? 0) + (value / totalVariance) * error);
    }
    this.#updateCovariance(gain, totalVariance);
    this.#updateBias(deviations);
    this.#observations++;
  }

  /**
   * Starts from the coefficients of another estimate, with the certainty of a good guess only.
   *
   * @param coefficients - the other's coefficients
   * @param observations - observations that they rest on
   */
  adopt(coefficients: readonly number[], observations: number): void {
    const usable = coefficients.length === this.#means.length && coefficients.every((each) => each > 0);
    if (!usable || !coefficients.every(Number.isFinite)) return;
    for (const [row, mean] of coefficients.entries()) {
      this.#means[row] = mean;
      this.#covariance[row]?.fill(0);
      this.#setVariance(row, (mean * ADOPTED_DEVIATION) ** 2);
    }
    this.#observations = observations;
  }

  #updateCovariance(gain: readonly number[], totalVariance: number): void {
    for (const [row, covariances] of this.#covariance.entries()) {
      for (const [column, value] of covariances.entries()) {
        covariances[column] = value - ((gain[row] ?? 0) * (gain[column] ?? 0)) / totalVariance;
      }
      const drift = ((this.#means[row] ?? 0) * DRIFT) ** 2;
      this.#setVariance(row, Math.max(0, covariances[row] ?? 0) + drift);
    }
    this.#limitVariances();
  }

  /**
   * Engines that have become slower for good, or are far from the prior, cause one error after the other on the same
   * side. The variances are then increased, as a settled estimate would follow only over hundreds of prompts.
   */
  #updateBias(deviations: number): void {
    const bounded = Math.max(-1, Math.min(1, deviations));
    this.#bias += (bounded - this.#bias) * BIAS.newestWeight;
    if (Math.abs(this.#bias) < BIAS.threshold) return;
    for (const covariances of this.#covariance) {
      for (const [column, value] of covariances.entries()) covariances[column] = value * BIAS.varianceFactor;
    }
    this.#limitVariances();
  }

  /**
   * Limits each variance to that of a prior. Covariances are scaled with their variances: a matrix that is no longer a
   * valid covariance matrix leads to negative variances and then to NaN coefficients.
   */
  #limitVariances(): void {
    for (const [row, covariances] of this.#covariance.entries()) {
      const limit = Math.max(variance(this.#prior[row] ?? 0), variance(this.#means[row] ?? 0));
      const current = covariances[row] ?? 0;
      if (current <= limit) continue;
      const factor = Math.sqrt(limit / current);
      for (const column of covariances.keys()) {
        this.#scale(row, column, factor);
        this.#scale(column, row, factor);
      }
    }
  }

  #scale(row: number, column: number, factor: number): void {
    const covariances = this.#covariance[row];
    if (covariances !== undefined) covariances[column] = (covariances[column] ?? 0) * factor;
  }

  #setVariance(row: number, value: number): void {
    const covariances = this.#covariance[row];
    if (covariances !== undefined) covariances[row] = value;
  }
}

/** Standard deviation of an adopted coefficient in multiples of itself. */
const ADOPTED_DEVIATION = 0.3;

function variance(mean: number): number {
  return (mean * PRIOR_DEVIATION) ** 2;
}

function dot(left: readonly number[], right: readonly number[]): number {
  let sum = 0;
  for (const [index, value] of left.entries()) sum += value * (right[index] ?? 0);
  return sum;
}
