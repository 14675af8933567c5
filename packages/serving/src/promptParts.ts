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

interface KeptPart {
  readonly tokens: number;
  /** Whether it has been read: before, there is nothing to copy. */
  readonly isRead: boolean;
}

/**
 * Guess of what one engine keeps of prompts' parts, from the requests sent
 * there: the least recently used parts yield when its memory is full.
 */
export class PromptCacheView {
  readonly #parts: lru.LRUCache<string, KeptPart>;

  /** @param memoryTokens - tokens that the engine can keep */
  constructor(memoryTokens: number) {
    this.#parts = new lru.LRUCache({
      maxSize: Math.max(1, Math.floor(memoryTokens)),
      sizeCalculation: ({ tokens }) => tokens,
    });
  }

  /**
   * @param prompt - a prompt that the engine reads
   * @param isRead - whether it has read it already
   */
  addPrompt(prompt: Prompt, isRead = true): void {
    for (const part of prompt.parts) this.addPart(prompt.model, part, isRead);
  }

  /**
   * @param model - the model
   * @param part - a part that the engine reads for it
   * @param isRead - whether it has read it already
   */
  addPart(model: string, part: PromptPart, isRead = true): void {
    if (part.tokens <= 0) return;
    const key = cacheKey(model, part.id);
    const wasRead = this.#parts.get(key)?.isRead === true;
    this.#parts.set(key, { tokens: part.tokens, isRead: isRead || wasRead });
  }

  /**
   * @param prompt - a prompt
   * @returns tokens at its beginning that another engine can copy from here: those that have been read
   */
  copyableTokens(prompt: Prompt): number {
    let copyable = 0;
    for (const part of prompt.parts) {
      const kept = this.#parts.get(cacheKey(prompt.model, part.id));
      if (kept?.isRead !== true) break;
      copyable += part.tokens;
    }
    return copyable;
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
