import type * as promptParts from "./promptParts.js";

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

/** Streams from which on the ratio is used, and those over which it is averaged. */
const RATIO_STREAMS = { least: 6, most: 200 };

/** How many events a token of the most that was asked for brings, as streams that have ended show it. */
class EventRatio {
  #streams = 0;
  #tokens = 0;
  #events = 0;

  get ratio(): number {
    return this.#streams < RATIO_STREAMS.least || this.#tokens === 0 ? 0 : this.#events / this.#tokens;
  }

  learn(outputTokens: number, events: number): void {
    const kept = 1 - 1 / RATIO_STREAMS.most;
    this.#tokens = this.#tokens * kept + outputTokens;
    this.#events = this.#events * kept + events;
    this.#streams++;
  }
}

/** What this daemon's callers ask of the engines of one or more model services. */
export class Demand {
  readonly #readingMs = new FadingRate();
  readonly #prompts = new FadingRate();
  readonly #promptTokens = new FadingRate();
  readonly #outputTokens = new FadingRate();
  readonly #eventsOfToken = new EventRatio();

  /**
   * @param readingMs - time that a prefill engine takes to read the prompt, in milliseconds
   * @param prompt - the prompt
   * @param now - when it came, in milliseconds
   */
  add(readingMs: number, prompt: promptParts.Prompt, now: number): void {
    this.#readingMs.add(readingMs, now);
    this.#prompts.add(1, now);
    this.#promptTokens.add(prompt.promptTokens, now);
    this.#outputTokens.add(prompt.outputTokens, now);
  }

  /**
   * @param now - current instant in milliseconds
   * @returns prefill engines that reading keeps busy
   */
  readingLoad(now: number): number {
    return this.#readingMs.perMs(now);
  }

  /**
   * @param outputTokens - most tokens that a request asked for
   * @param events - events that its whole stream had
   */
  learnEvents(outputTokens: number, events: number): void {
    this.#eventsOfToken.learn(outputTokens, events);
  }

  /**
   * What streams are to come is known before they begin: just after a start, and while long answers pile up, those
   * that run now are a small part of them.
   *
   * @param now - current instant in milliseconds
   * @returns events that the streams ask for in a millisecond, 0 as long as too few streams have ended
   */
  eventsPerMs(now: number): number {
    return this.#outputTokens.perMs(now) * this.#eventsOfToken.ratio;
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
