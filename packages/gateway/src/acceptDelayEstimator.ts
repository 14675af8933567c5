/**
 * Estimates how long a connection may have waited for acceptance. Node accepts one connection per iteration of the
 * event loop. When many callers connect at once and iterations are long, the last ones wait for seconds although no
 * single iteration is late.
 */
export class AcceptDelayEstimator {
  /** Instant since which each iteration has accepted a connection; no connection was waiting before it. */
  #busySince: number | undefined;
  #acceptedInIteration = false;

  /**
   * Records that a connection was accepted.
   *
   * @param now - current instant in milliseconds
   * @returns longest time that it may have waited, in milliseconds, not counting the previous iteration
   */
  noteAccepted(now: number): number {
    this.#acceptedInIteration = true;
    if (this.#busySince === undefined) {
      this.#busySince = now;
      setImmediate(() => this.#endIteration());
    }
    return now - this.#busySince;
  }

  #endIteration(): void {
    if (!this.#acceptedInIteration) {
      this.#busySince = undefined;
      return;
    }
    this.#acceptedInIteration = false;
    setImmediate(() => this.#endIteration());
  }
}
