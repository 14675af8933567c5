/**
 * Tells how long a connection may have waited to be accepted. The runtime accepts one in each turn of the event loop,
 * so where callers come together and turns are long, the last ones wait for seconds, and no turn is late.
 */
export class AcceptQueue {
  /** Instant since which each turn has accepted a connection: before it, none was waiting. */
  #busySince: number | undefined;
  #acceptedInTurn = false;

  /**
   * A connection was accepted.
   *
   * @param now - current instant in milliseconds
   * @returns longest time that it may have waited, in milliseconds, beside the last turn
   */
  noteAccepted(now: number): number {
    this.#acceptedInTurn = true;
    if (this.#busySince === undefined) {
      this.#busySince = now;
      setImmediate(() => this.#endTurn());
    }
    return now - this.#busySince;
  }

  #endTurn(): void {
    if (!this.#acceptedInTurn) {
      this.#busySince = undefined;
      return;
    }
    this.#acceptedInTurn = false;
    setImmediate(() => this.#endTurn());
  }
}
