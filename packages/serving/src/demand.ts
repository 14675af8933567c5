/** What callers ask of the engines of late. */

/** Time over which a rate is averaged, in milliseconds. */
const RATE_TIME_MS = 3_000;

/** Time for which a rate has to be watched before it is more than its first requests, in milliseconds. */
const LEAST_WATCHED_MS = 500;

/** A rate that fades: what came long ago counts less and less. */
export class FadingRate {
  #sum = 0;
  #at = 0;
  #firstAt: number | undefined;

  /**
   * @param amount - what came
   * @param now - when it came, in milliseconds
   */
  add(amount: number, now: number): void {
    this.#firstAt ??= now;
    this.#fade(now);
    this.#sum += amount;
  }

  /**
   * @param now - current instant in milliseconds
   * @returns the amount that comes in a millisecond, from the first that came on
   */
  perMs(now: number): number {
    if (this.#firstAt === undefined) return 0;
    this.#fade(now);
    const watchedMs = Math.max(LEAST_WATCHED_MS, now - this.#firstAt);
    return this.#sum / (RATE_TIME_MS * (1 - Math.exp(-watchedMs / RATE_TIME_MS)));
  }

  #fade(now: number): void {
    this.#sum *= Math.exp(-Math.max(0, now - this.#at) / RATE_TIME_MS);
    this.#at = now;
  }
}

/** What this daemon's callers ask of the engines of one or more model services. */
export class Demand {
  readonly #readingMs = new FadingRate();
  readonly #prompts = new FadingRate();
  readonly #promptTokens = new FadingRate();

  /**
   * @param readingMs - time that a prefill engine takes to read the prompt, in milliseconds
   * @param promptTokens - tokens of the prompt, also those that need not be read
   * @param now - when it came, in milliseconds
   */
  add(readingMs: number, promptTokens: number, now: number): void {
    this.#readingMs.add(readingMs, now);
    this.#prompts.add(1, now);
    this.#promptTokens.add(promptTokens, now);
  }

  /**
   * @param now - current instant in milliseconds
   * @returns prefill engines that reading keeps busy
   */
  readingLoad(now: number): number {
    return this.#readingMs.perMs(now);
  }

  /**
   * @param now - current instant in milliseconds
   * @returns mean tokens of a prompt, or undefined if none has come
   */
  meanPromptTokens(now: number): number | undefined {
    const prompts = this.#prompts.perMs(now);
    return prompts > 0 ? this.#promptTokens.perMs(now) / prompts : undefined;
  }
}
