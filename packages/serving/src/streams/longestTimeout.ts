/** The longest timeout of streams, as the key-value service holds it. */
export interface StoredTimeout {
  /** In milliseconds; 0 if none is stored. */
  readonly timeoutMs: number;
  /** Revision of the item; 0 if there is none. */
  readonly revision: number;
  /** Revision of the key-value service as of which this is known. */
  readonly asOf: number;
}

/**
 * Which longest timeout of streams the key-value service must hold, so that daemons that start know it. Answers the load
 * pattern where all daemons are killed at once and callers take up streams that began under a longer timeout than the one
 * in force. What is stored is only ever raised: streams of the longer timeout may be open at any daemon.
 */
export class LongestTimeout {
  #inForceMs = 0;
  #stored: StoredTimeout | undefined;

  /** @param timeoutMs - longest timeout of the routes with streams in force, in milliseconds; 0 if there are none */
  noteInForce(timeoutMs: number): void {
    this.#inForceMs = timeoutMs;
  }

  /**
   * @param stored - what was read or written
   * @returns whether it is news
   */
  noteStored(stored: StoredTimeout): boolean {
    if (this.#stored !== undefined && stored.asOf <= this.#stored.asOf) return false;
    const isChanged = stored.timeoutMs !== this.#stored?.timeoutMs;
    this.#stored = stored;
    return isChanged;
  }

  /** @returns what is to be written over which revision; undefined if nothing is, or if what is stored isn't known yet */
  get due(): Pick<StoredTimeout, "timeoutMs" | "revision"> | undefined {
    if (this.#stored === undefined || this.#stored.timeoutMs >= this.#inForceMs) return undefined;
    return { timeoutMs: this.#inForceMs, revision: this.#stored.revision };
  }
}
