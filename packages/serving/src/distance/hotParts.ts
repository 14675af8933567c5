/** Predicted waits between which a part turns hot and cool again, as shares of the objective. */
const WAIT_SHARES = { hot: 0.5, cool: 0.25 };

/**
 * Time for which the wait must have been short before a part is no longer hot, in milliseconds. Its second engine caches
 * it by then, and a burst that returns within that time would have it prefilled there again.
 */
const COOL_AFTER_MS = 2_000;

/** Most hot parts that are remembered; the least recently used are dropped. */
const MAX_HOT_PARTS = 256;

/** Time after which a hot part that no prompt has used is forgotten, in milliseconds. */
const EXPIRY_MS = 10_000;

/** The engines that may be preferred for a part, and the wait there. */
export interface HotPartInputs {
  /** Identifies the part and the engines that it is prefilled by. */
  readonly key: string;
  /** Engines in the order in which they are preferred. */
  readonly order: readonly string[];
  /** @returns predicted wait of a prompt with that part at an engine, in milliseconds */
  readonly waitMs: (engineId: string) => number;
  /** Latency objective of the first event, in milliseconds. */
  readonly objectiveMs: number;
  readonly now: number;
}

interface HotPart {
  /** Since when the wait has been short, in milliseconds. */
  coolSince: number | undefined;
  usedAt: number;
}

/**
 * Shared parts whose prompts are more than their preferred engine can prefill in time. They get a second preferred engine.
 *
 * Load pattern: waves of demand, in which a few parts are asked for by many callers at once. With a single preferred
 * engine their prompts queue there while others idle; without one, each part is prefilled on every engine.
 */
export class HotParts {
  readonly #hot = new Map<string, HotPart>();

  /** @returns number of parts that are remembered as hot */
  get count(): number {
    return this.#hot.size;
  }

  /**
   * @param inputs - the engines that may be preferred, and the wait there
   * @returns the preferred engines: one, or two for a hot part
   */
  preferred(inputs: HotPartInputs): string[] {
    const [first, second] = inputs.order;
    if (first === undefined) return [];
    if (second === undefined) return [first];
    return this.#isHot(inputs, first, second) ? [first, second] : [first];
  }

  #isHot({ key, now, objectiveMs, waitMs }: HotPartInputs, first: string, second: string): boolean {
    let part = this.#hot.get(key);
    if (part !== undefined && now - part.usedAt > EXPIRY_MS) part = undefined;
    // While two engines share the prompts, the part stays hot until both could do with less.
    const wait = part === undefined ? waitMs(first) : Math.max(waitMs(first), waitMs(second));
    // In a shortage, a second engine that is as busy would only prefill the part again.
    const hasRoom = part !== undefined || waitMs(second) < WAIT_SHARES.cool * objectiveMs;
    if (part === undefined && (wait <= WAIT_SHARES.hot * objectiveMs || !hasRoom)) {
      this.#hot.delete(key);
      return false;
    }
    part ??= { coolSince: undefined, usedAt: now };
    part.usedAt = now;
    if (wait < WAIT_SHARES.cool * objectiveMs) part.coolSince ??= now;
    else part.coolSince = undefined;
    this.#hot.delete(key);
    if (part.coolSince !== undefined && now - part.coolSince >= COOL_AFTER_MS) return false;
    this.#hot.set(key, part);
    const [oldest] = this.#hot.keys();
    if (oldest !== undefined && this.#hot.size > MAX_HOT_PARTS) this.#hot.delete(oldest);
    return true;
  }
}
