import * as common from "@camphorcourse/common";
import type * as serving from "@camphorcourse/serving";
import type * as descriptions from "./description.js";
import * as lengths from "./lengths.js";

/** One request of the load. */
export interface LoadRequest {
  readonly kind: descriptions.RequestKind;
  readonly atMs: number;
  readonly prompt: serving.Prompt;
  readonly events: number;
}

const MS_PER_SECOND = 1_000;

/** Output tokens that callers request per event; the daemons do not know this ratio. */
const TOKENS_PER_EVENT = 10;

/** Generates the load of an experiment; equal seeds produce equal requests. */
export class LoadGenerator {
  readonly #description: descriptions.Description;
  readonly #random: common.SeededRandom;
  #promptCount = 0;

  /**
   * @param description - the experiment
   * @param seed - seed of the random numbers
   */
  constructor(description: descriptions.Description, seed: number) {
    this.#description = description;
    this.#random = new common.SeededRandom(seed);
  }

  /** @returns all requests in the order of their arrival */
  requests(): LoadRequest[] {
    const requests = this.#description.requests.flatMap((kind) => this.#requestsOfKind(kind));
    return requests.sort((left, right) => left.atMs - right.atMs);
  }

  #requestsOfKind(kind: descriptions.RequestKind): LoadRequest[] {
    const requests: LoadRequest[] = [];
    const partTokens = kind.shared.map((part) =>
      Array.from({ length: part.kinds }, () => lengths.drawLength(this.#random, part.tokens)),
    );
    for (let atMs = 0; atMs < this.#description.lastsMs;) {
      atMs += (-Math.log(1 - this.#random.next()) / this.#ratePerSecond(kind, atMs)) * MS_PER_SECOND;
      const events = lengths.drawLength(this.#random, kind.events);
      requests.push({ kind, atMs, prompt: this.#prompt(kind, partTokens, events), events });
    }
    return requests;
  }

  #ratePerSecond(kind: descriptions.RequestKind, atMs: number): number {
    const swings = this.#description.swings.filter(
      (swing) => swing.request === kind.name && swing.fromMs <= atMs && atMs < swing.untilMs,
    );
    return swings.reduce((rate, swing) => rate * swing.times, kind.perSecond);
  }

  #prompt(kind: descriptions.RequestKind, partTokens: readonly number[][], events: number): serving.Prompt {
    const shared = kind.shared.map((part, position) => {
      const partIndex = this.#drawPart(part.kinds, part.skew);
      return { id: `${kind.name}-${position}-${partIndex}`, tokens: partTokens[position]?.[partIndex] ?? 0 };
    });
    const ownPart = { id: `own-${this.#promptCount++}`, tokens: lengths.drawLength(this.#random, kind.ownTokens) };
    const parts = [...shared, ownPart];
    const promptTokens = parts.reduce((sum, part) => sum + part.tokens, 0);
    return { model: "model", parts, promptTokens, outputTokens: events * TOKENS_PER_EVENT };
  }

  /** Draws an index from a Zipf distribution by inverse transform sampling; low indices are the most frequent. */
  #drawPart(kinds: number, skew: number): number {
    const uniform = this.#random.next();
    return Math.min(kinds - 1, Math.floor(kinds * uniform ** (1 / (1 - Math.min(skew, MAX_SKEW)))));
  }
}

/** The inverse of the Zipf distribution diverges at a skew of 1. */
const MAX_SKEW = 0.95;
