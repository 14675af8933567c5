import type * as promptParts from "./promptParts.js";

/** Recent demand of callers for the engines. */

/** Time constant of a rate's exponential average, in milliseconds. */
const TIME_CONSTANT_MS = 3_000;

/** Minimum time that a rate is averaged over, in milliseconds, so that its first requests don't count too much. */
const MIN_WINDOW_MS = 500;

/** A rate with exponential decay: older amounts count less and less. */
export class DecayingRate {
  #sum = 0;
  #at = 0;
  #firstAt: number | undefined;

  /**
   * @param amount - the amount to add
   * @param now - current instant in milliseconds
   */
  add(amount: number, now: number): void {
    this.#firstAt ??= now;
    this.#decay(now);
    this.#sum += amount;
  }

  /**
   * @param now - current instant in milliseconds
   * @returns the amount per millisecond, averaged from the first addition on
   */
  perMs(now: number): number {
    if (this.#firstAt === undefined) return 0;
    this.#decay(now);
    const windowMs = Math.max(MIN_WINDOW_MS, now - this.#firstAt);
    return this.#sum / (TIME_CONSTANT_MS * (1 - Math.exp(-windowMs / TIME_CONSTANT_MS)));
  }

  #decay(now: number): void {
    this.#sum *= Math.exp(-Math.max(0, now - this.#at) / TIME_CONSTANT_MS);
    this.#at = now;
  }
}

/** Number of ended streams from which the ratio is used, and over which it is averaged. */
const RATIO_STREAMS = { min: 6, averaged: 200 };

/** Events per token of the maximum that callers asked for, learned from streams that have ended. */
class EventsPerToken {
  #streams = 0;
  #tokens = 0;
  #events = 0;

  get ratio(): number {
    return this.#streams < RATIO_STREAMS.min || this.#tokens === 0 ? 0 : this.#events / this.#tokens;
  }

  learn(outputTokens: number, events: number): void {
    const kept = 1 - 1 / RATIO_STREAMS.averaged;
    this.#tokens = this.#tokens * kept + outputTokens;
    this.#events = this.#events * kept + events;
    this.#streams++;
  }
}

/** Demand of this daemon's callers for the engines of one or more model services. */
export class Demand {
  readonly #prefillMs = new DecayingRate();
  readonly #prompts = new DecayingRate();
  readonly #promptTokens = new DecayingRate();
  readonly #outputTokens = new DecayingRate();
  readonly #eventsPerToken = new EventsPerToken();

  /**
   * @param prefillMs - time that a prefill engine takes for the prompt, in milliseconds
   * @param prompt - the prompt
   * @param now - instant at which it arrived, in milliseconds
   */
  add(prefillMs: number, prompt: promptParts.Prompt, now: number): void {
    this.#prefillMs.add(prefillMs, now);
    this.#prompts.add(1, now);
    this.#promptTokens.add(prompt.promptTokens, now);
    this.#outputTokens.add(prompt.outputTokens, now);
  }

  /**
   * @param now - current instant in milliseconds
   * @returns number of prefill engines that the prompts keep busy
   */
  readingLoad(now: number): number {
    return this.#prefillMs.perMs(now);
  }

  /**
   * @param outputTokens - maximum number of tokens that a request asked for
   * @param events - events of its whole stream
   */
  learnEvents(outputTokens: number, events: number): void {
    this.#eventsPerToken.learn(outputTokens, events);
  }

  /**
   * @param outputTokens - tokens that a request asks for
   * @returns events that its stream is expected to have; undefined as long as too few streams have ended
   */
  expectedEvents(outputTokens: number): number | undefined {
    const { ratio } = this.#eventsPerToken;
    return ratio === 0 ? undefined : ratio * outputTokens;
  }

  /**
   * Covers the streams that are to come as well as those that run. Just after a start, and while long answers
   * accumulate, the running streams are a small part of them.
   *
   * @param now - current instant in milliseconds
   * @returns events per millisecond that the streams ask for, 0 as long as too few streams have ended
   */
  eventsPerMs(now: number): number {
    return this.#outputTokens.perMs(now) * this.#eventsPerToken.ratio;
  }

  /**
   * @param now - current instant in milliseconds
   * @returns prompts per millisecond
   */
  promptsPerMs(now: number): number {
    return this.#prompts.perMs(now);
  }

  /**
   * @param now - current instant in milliseconds
   * @returns mean number of tokens of a prompt, or undefined if none has arrived
   */
  meanPromptTokens(now: number): number | undefined {
    const prompts = this.#prompts.perMs(now);
    return prompts > 0 ? this.#promptTokens.perMs(now) / prompts : undefined;
  }
}
