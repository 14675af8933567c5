import * as prand from "pure-rand";

const RANGE = 2 ** 30;

/** A seeded random number generator, so that runs are reproducible. */
export class SeededRandom {
  readonly #generator: prand.RandomGenerator;

  /** @param seed - equal seeds produce equal sequences */
  constructor(seed: number) {
    this.#generator = prand.xoroshiro128plus(seed);
  }

  /** @returns a number in [0, 1) */
  next(): number {
    return prand.unsafeUniformIntDistribution(0, RANGE - 1, this.#generator) / RANGE;
  }

  /**
   * @param below - exclusive upper bound
   * @returns an integer in [0, below)
   */
  integer(below: number): number {
    return Math.floor(this.next() * below);
  }

  /**
   * @param mean - mean of the distribution
   * @returns a sample from the exponential distribution
   */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.next());
  }

  /** @returns 128 random bits in hexadecimal, for ids in a seeded run */
  identifier(): string {
    let text = "";
    for (let part = 0; part < 4; part++) {
      text += prand.unsafeUniformIntDistribution(0, 0xffffffff, this.#generator).toString(16).padStart(8, "0");
    }
    return text;
  }
}
