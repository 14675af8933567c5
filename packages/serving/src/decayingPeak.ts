/** The recent peak of a value: it follows a rise at once, and a fall exponentially. */
export class DecayingPeak {
  readonly #timeConstantMs: number;
  #peak = 0;
  #at = 0;

  /** @param timeConstantMs - time constant of the decay, in milliseconds */
  constructor(timeConstantMs: number) {
    this.#timeConstantMs = timeConstantMs;
  }

  /**
   * @param value - the present value
   * @param now - monotonic time in milliseconds
   * @returns the recent peak
   */
  update(value: number, now: number): number {
    this.#peak = Math.max(value, this.#peak * Math.exp(-Math.max(0, now - this.#at) / this.#timeConstantMs));
    this.#at = now;
    return this.#peak;
  }
}
