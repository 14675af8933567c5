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
  isRead: boolean;
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
    const key = cacheKey(model, part);
    const cached = this.#parts.get(key);
    // Looking a part up makes it the most recently used one; most parts that peers report are known with the same size.
    if (cached?.tokens === part.tokens) cached.isRead ||= isRead;
    else this.#parts.set(key, { tokens: part.tokens, isRead: isRead || cached?.isRead === true });
  }

  /**
   * @param prompt - a prompt
   * @returns tokens of its prefix that another engine can copy from this one: those that have been prefilled
   */
  copyableTokens(prompt: Prompt): number {
    let copyable = 0;
    for (const part of prompt.parts) {
      const cached = this.#parts.get(cacheKey(prompt.model, part));
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
      if (!this.#parts.has(cacheKey(prompt.model, part))) break;
      cached += part.tokens;
    }
    return Math.min(cached, Math.max(0, prompt.promptTokens - 1));
  }
}

/** Keys of parts that were looked up: a placement looks each part of a prompt up in the view of every engine. */
const keys = new WeakMap<PromptPart, { readonly model: string; readonly key: string }>();

function cacheKey(model: string, part: PromptPart): string {
  const known = keys.get(part);
  if (known?.model === model) return known.key;
  const key = `${model}\u0000${part.id}`;
  keys.set(part, { model, key });
  return key;
}
