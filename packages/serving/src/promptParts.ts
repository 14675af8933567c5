import * as lru from "lru-cache";

/** One part of a prompt; requests whose prompts begin with the same parts share them in an engine's prefix cache. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** A prompt as the caller described it. */
export interface Prompt {
  readonly model: string;
  /** Parts in the order of the prompt; the last belongs to this request alone. */
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number;
  /** Maximum number of tokens that the caller asked for. */
  readonly outputTokens: number;
}

/** @returns id of the last part that other requests can share, or undefined */
export function sharedPrefixId(prompt: Prompt): string | undefined {
  return prompt.parts.at(-2)?.id;
}

interface CachedPart {
  readonly tokens: number;
  /** Whether the part has been prefilled; until then there is nothing to copy. */
  readonly isRead: boolean;
}

/**
 * Estimates which prompt parts one engine caches, from the requests sent to it.
 * The least recently used parts are evicted when its memory is full.
 */
export class PromptCacheView {
  readonly #parts: lru.LRUCache<string, CachedPart>;

  /** @param memoryTokens - tokens that the engine's cache can hold */
  constructor(memoryTokens: number) {
    this.#parts = new lru.LRUCache({
      maxSize: Math.max(1, Math.floor(memoryTokens)),
      sizeCalculation: ({ tokens }) => tokens,
    });
  }

  /**
   * @param prompt - a prompt that the engine prefills
   * @param isRead - whether it has already prefilled the prompt
   */
  addPrompt(prompt: Prompt, isRead = true): void {
    for (const part of prompt.parts) this.addPart(prompt.model, part, isRead);
  }

  /**
   * @param model - the model
   * @param part - a part that the engine prefills for it
   * @param isRead - whether it has already prefilled the part
   */
  addPart(model: string, part: PromptPart, isRead = true): void {
    if (part.tokens <= 0) return;
    const key = cacheKey(model, part.id);
    const wasRead = this.#parts.get(key)?.isRead === true;
    this.#parts.set(key, { tokens: part.tokens, isRead: isRead || wasRead });
  }

  /**
   * @param prompt - a prompt
   * @returns tokens of its prefix that another engine can copy from this one: those that have been prefilled
   */
  copyableTokens(prompt: Prompt): number {
    let copyable = 0;
    for (const part of prompt.parts) {
      const cached = this.#parts.get(cacheKey(prompt.model, part.id));
      if (cached?.isRead !== true) break;
      copyable += part.tokens;
    }
    return copyable;
  }

  /**
   * @param prompt - a prompt
   * @returns tokens of its prefix that need not be prefilled again
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
