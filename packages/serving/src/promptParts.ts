import * as lru from "lru-cache";

/** One part of a prompt; requests that begin with the same parts share them in an engine's cache. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** A prompt as the caller described it. */
export interface Prompt {
  readonly model: string;
  /** Parts in the order of the prompt; the last is the request's own. */
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** @returns the last part that other requests can share, or undefined */
export function sharedGroup(prompt: Prompt): string | undefined {
  return prompt.parts.at(-2)?.id;
}

/**
 * Guess of what one engine keeps of prompts' parts, from the requests sent
 * there: the least recently used parts yield when its memory is full.
 */
export class PromptCacheView {
  readonly #parts: lru.LRUCache<string, number>;

  /** @param memoryTokens - tokens that the engine can keep */
  constructor(memoryTokens: number) {
    this.#parts = new lru.LRUCache({ maxSize: Math.max(1, memoryTokens), sizeCalculation: (tokens) => tokens });
  }

  /**
   * @param prompt - a prompt that the engine reads
   */
  read(prompt: Prompt): void {
    for (const part of prompt.parts) this.readPart(prompt.model, part);
  }

  /**
   * @param model - the model
   * @param part - a part that the engine reads for it
   */
  readPart(model: string, part: PromptPart): void {
    if (part.tokens > 0) this.#parts.set(cacheKey(model, part.id), part.tokens);
  }

  /**
   * @param prompt - a prompt
   * @returns tokens at its beginning that need not be read again
   */
  cachedTokens(prompt: Prompt): number {
    let cached = 0;
    for (const part of prompt.parts) {
      if (!this.#parts.has(cacheKey(prompt.model, part.id))) break;
      cached += part.tokens;
    }
    return Math.min(cached, Math.max(0, prompt.promptTokens - 1));
  }
}

function cacheKey(model: string, part: string): string {
  return `${model}\u0000${part}`;
}
