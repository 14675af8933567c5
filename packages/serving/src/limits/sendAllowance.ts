const MS_PER_SECOND = 1_000;

/** Time over which unused allowance accumulates, in milliseconds; at least one request does. */
const BURST_MS = 250;

/**
 * Time until a daemon that has got a part of a limit uses it, in milliseconds: by then, the daemon that had that part
 * has learnt of the change.
 */
const SETTLE_MS = 1_500;

/** One daemon's allowance for the requests to one endpoint, by the generic cell rate algorithm. */
export class SendAllowance {
  #ratePerSecond = 0;
  /** Instant at which the next request is due if requests are evenly spaced, in milliseconds. */
  #dueAt = Number.POSITIVE_INFINITY;

  /** @returns requests a second that may be sent */
  get ratePerSecond(): number {
    return this.#ratePerSecond;
  }

  /**
   * Changes the rate. An allowance that begins has accumulated nothing; one that goes on keeps what it owes.
   *
   * @param ratePerSecond - requests a second that may be sent
   * @param now - current time in milliseconds
   */
  setRate(ratePerSecond: number, now: number): void {
    if (ratePerSecond === this.#ratePerSecond) return;
    const before = this.#ratePerSecond;
    this.#ratePerSecond = ratePerSecond;
    if (ratePerSecond === 0) return;
    const owedMs = Math.max(0, this.#dueAt - now);
    const settledMs = Math.max(SETTLE_MS, this.#intervalMs) + this.#toleranceMs;
    this.#dueAt = now + (before === 0 ? settledMs : (owedMs * before) / ratePerSecond);
  }

  /**
   * @param now - current time in milliseconds
   * @returns time until a request may be sent in milliseconds, 0 if one may be sent now, infinite without a rate
   */
  waitMs(now: number): number {
    if (this.#ratePerSecond === 0) return Number.POSITIVE_INFINITY;
    return Math.max(0, this.#dueAt - this.#toleranceMs - now);
  }

  /**
   * Counts a request that is sent, whether or not the allowance covers it; what exceeds it delays the next ones.
   *
   * @param now - current time in milliseconds
   */
  note(now: number): void {
    if (this.#ratePerSecond > 0) this.#dueAt = Math.max(this.#dueAt, now) + this.#intervalMs;
  }

  get #intervalMs(): number {
    return MS_PER_SECOND / this.#ratePerSecond;
  }

  get #toleranceMs(): number {
    return Math.max(0, BURST_MS - this.#intervalMs);
  }
}
