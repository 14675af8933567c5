/** Parts whose last successful run is remembered. */
const MAX_PARTS = 8_192;

/** Remembers when parts of prompts ran well, the most recent ones. A part that has run well is suspected less. */
export class SuccessMemory {
  readonly #successes = new Map<string, number>();

  /**
   * @param fingerprint - a part that a successful run held
   * @param now - current instant in milliseconds
   */
  note(fingerprint: string, now: number): void {
    this.#successes.delete(fingerprint);
    this.#successes.set(fingerprint, now);
    if (this.#successes.size <= MAX_PARTS) return;
    const [oldest] = this.#successes.keys();
    if (oldest !== undefined) this.#successes.delete(oldest);
  }

  /**
   * @param fingerprint - a part
   * @returns instant of its last successful run in milliseconds, -Infinity if none is remembered
   */
  lastSuccessAt(fingerprint: string): number {
    return this.#successes.get(fingerprint) ?? -Infinity;
  }
}
