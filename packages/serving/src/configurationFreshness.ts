/**
 * How old the knowledge of the configuration is: the latest instant of which it is certain that nothing newer had been
 * accepted. That is the instant at which a read began that found it, never the one at which its answer was handled: an
 * answer may wait for a late event loop.
 */
export class ConfigurationFreshness {
  #inForce = 0;
  #newestSeen = 0;
  /** In milliseconds. */
  #confirmedAt = Number.NEGATIVE_INFINITY;
  #isEstablished = false;

  /** @returns whether a read of this daemon or of a peer has ever confirmed the configuration that was in force then */
  get isEstablished(): boolean {
    return this.#isEstablished;
  }

  /** @param revision - revision of the configuration that is in force from now on */
  noteInForce(revision: number): void {
    this.#inForce = revision;
    this.noteSeen(revision);
  }

  /** @param revision - a revision that some daemon has in force */
  noteSeen(revision: number): void {
    this.#newestSeen = Math.max(this.#newestSeen, revision);
    this.#establish();
  }

  /**
   * @param revision - the newest revision
   * @param at - instant of which that is certain, in milliseconds
   */
  noteConfirmed(revision: number, at: number): void {
    if (revision >= this.#newestSeen) this.#confirmedAt = Math.max(this.#confirmedAt, at);
    this.noteSeen(revision);
  }

  /**
   * @param now - current time in milliseconds
   * @returns time since the instant of which it is certain that the configuration in force was the newest, in
   *   milliseconds; infinite if a newer one is known, or if no read has confirmed any
   */
  ageMs(now: number): number {
    return this.#inForce < this.#newestSeen ? Number.POSITIVE_INFINITY : now - this.#confirmedAt;
  }

  #establish(): void {
    const isConfirmed = this.#confirmedAt !== Number.NEGATIVE_INFINITY;
    if (isConfirmed && this.#inForce > 0 && this.#inForce >= this.#newestSeen) this.#isEstablished = true;
  }
}
