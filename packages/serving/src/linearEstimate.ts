/** A linear model learned one observation at a time: a recursive least squares estimate that forgets slowly. */

/**
 * Standard deviation of a prior in multiples of itself: with figures that are wrong by ten, the first dozens of
 * observations outweigh it.
 */
const PRIOR_SPREAD = 1;

/** Part of a coefficient by which it may drift from one observation to the next: older ones are forgotten by that. */
const DRIFT = 0.01;

/** Least part of its prior that a coefficient keeps: times can't shrink with more work. */
const LEAST_PART_OF_PRIOR = 0.01;

/**
 * Deviations, in standard deviations, beyond which an observation teaches no more. Work that nobody here knew of makes
 * times longer and never shorter, so that long ones are trusted less.
 */
const MOST_DEVIATION = { longer: 1, shorter: 4 };

/** Errors on one side: the weight of the newest in their mean, the mean from which they count, and what follows. */
const ONE_SIDED = { newestWeight: 0.12, from: 0.7, wideningBy: 1.5 };

/** Coefficients of a sum of features, with what is known of their errors. */
export class LinearEstimate {
  readonly #prior: readonly number[];
  readonly #means: number[];
  readonly #covariance: number[][];
  #observations = 0;
  /** Mean of the errors in deviations, each within 1 either way. */
  #oneSided = 0;

  /** @param prior - the coefficients as first assumed, all above 0 */
  constructor(prior: readonly number[]) {
    this.#prior = prior;
    this.#means = [...prior];
    this.#covariance = prior.map((mean, row) => prior.map((_, column) => (row === column ? variance(mean) : 0)));
  }

  /** @returns the coefficients as learned so far */
  get coefficients(): readonly number[] {
    return this.#means;
  }

  /** @returns observations that they rest on */
  get observations(): number {
    return this.#observations;
  }

  /**
   * @param features - as many as there are coefficients
   * @returns the sum that is expected
   */
  predict(features: readonly number[]): number {
    return dot(this.#means, features);
  }

  /**
   * @param features - as many as there are coefficients
   * @param observed - the sum that was seen
   * @param deviation - standard deviation of the observation by itself, above 0
   */
  learn(features: readonly number[], observed: number, deviation: number): void {
    // One observation that is no number would make all coefficients none, for good.
    if (![observed, deviation, ...features].every(Number.isFinite) || deviation <= 0) return;
    const spread = this.#covariance.map((row) => dot(row, features));
    const expectedSpread = Math.max(0, dot(spread, features)) + deviation * deviation;
    const error = observed - this.predict(features);
    const deviations = error / Math.sqrt(expectedSpread);
    const most = error > 0 ? MOST_DEVIATION.longer : MOST_DEVIATION.shorter;
    // One that is further off counts as less certain, so that it moves the estimate no more than one at the limit.
    const total = expectedSpread * Math.max(1, Math.abs(deviations) / most);
    for (const [row, value] of spread.entries()) {
      const least = (this.#prior[row] ?? 0) * LEAST_PART_OF_PRIOR;
      this.#means[row] = Math.max(least, (this.#means[row] ?? 0) + (value / total) * error);
    }
    this.#tighten(spread, total);
    this.#noteSide(deviations);
    this.#observations++;
  }

  /**
   * Begins from what another has learned, which counts as a good guess and not as more.
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
      this.#setVariance(row, (mean * ADOPTED_SPREAD) ** 2);
    }
    this.#observations = observations;
  }

  #tighten(spread: readonly number[], total: number): void {
    for (const [row, variances] of this.#covariance.entries()) {
      for (const [column, value] of variances.entries()) {
        variances[column] = value - ((spread[row] ?? 0) * (spread[column] ?? 0)) / total;
      }
      const drift = ((this.#means[row] ?? 0) * DRIFT) ** 2;
      this.#setVariance(row, Math.max(0, variances[row] ?? 0) + drift);
    }
    this.#bound();
  }

  /**
   * Engines that have slowed down for good, or are far from the prior, make one error after the other on the same
   * side. An estimate that is sure of itself would follow them only over hundreds of prompts.
   */
  #noteSide(deviations: number): void {
    const bounded = Math.max(-1, Math.min(1, deviations));
    this.#oneSided += (bounded - this.#oneSided) * ONE_SIDED.newestWeight;
    if (Math.abs(this.#oneSided) < ONE_SIDED.from) return;
    for (const variances of this.#covariance) {
      for (const [column, value] of variances.entries()) variances[column] = value * ONE_SIDED.wideningBy;
    }
    this.#bound();
  }

  /**
   * Keeps each variance within that of a prior. Covariances shrink with their variances: a matrix that is no
   * covariance any more gives negative variances, and then coefficients that are no numbers.
   */
  #bound(): void {
    for (const [row, variances] of this.#covariance.entries()) {
      const widest = Math.max(variance(this.#prior[row] ?? 0), variance(this.#means[row] ?? 0));
      const present = variances[row] ?? 0;
      if (present <= widest) continue;
      const factor = Math.sqrt(widest / present);
      for (const column of variances.keys()) {
        this.#scale(row, column, factor);
        this.#scale(column, row, factor);
      }
    }
  }

  #scale(row: number, column: number, factor: number): void {
    const variances = this.#covariance[row];
    if (variances !== undefined) variances[column] = (variances[column] ?? 0) * factor;
  }

  #setVariance(row: number, value: number): void {
    const variances = this.#covariance[row];
    if (variances !== undefined) variances[row] = value;
  }
}

/** Standard deviation of an adopted coefficient in multiples of itself. */
const ADOPTED_SPREAD = 0.3;

function variance(mean: number): number {
  return (mean * PRIOR_SPREAD) ** 2;
}

function dot(left: readonly number[], right: readonly number[]): number {
  let sum = 0;
  for (const [index, value] of left.entries()) sum += value * (right[index] ?? 0);
  return sum;
}
