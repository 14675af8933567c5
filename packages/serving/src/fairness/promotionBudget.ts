/** Part of the accepted engine time that sessions which are accepted first may take while a shortage lasts. */
const PART = 0.1;

/** Part of the engine time of the last seconds that they may take at once, such as after an outage. */
const BURST_PART = 0.5;

/** Time over which accepted engine time counts, in milliseconds: the same as for shares. */
const TIME_CONSTANT_MS = 5_000;

/**
 * Limits how many sessions are accepted first. All of them could be after an outage, when few callers return for the
 * fourth time. In a lasting shortage every rejected session would become the most urgent one, and the requests that were
 * accepted before would be late behind them: in a replay at 1.5 times the capacity this lowered the share of served
 * requests from 0.68 to 0.65, and undid the shares of the organisations.
 */
export class PromotionBudget {
  #acceptedMs = 0;
  #acceptedAt = 0;
  #leftMs = 0;

  /**
   * @param engineMs - engine time of an accepted request, in milliseconds
   * @param isPromoted - whether it was accepted first
   * @param now - current instant in milliseconds
   */
  noteAccepted(engineMs: number, isPromoted: boolean, now: number): void {
    this.#acceptedMs *= Math.exp(-Math.max(0, now - this.#acceptedAt) / TIME_CONSTANT_MS);
    this.#acceptedAt = now;
    if (isPromoted) {
      this.#leftMs -= engineMs;
      return;
    }
    this.#acceptedMs += engineMs;
    this.#leftMs = Math.min(this.#leftMs + PART * engineMs, BURST_PART * this.#acceptedMs);
  }

  /** @returns whether another session may be accepted first */
  get isLeft(): boolean {
    return this.#leftMs > 0;
  }
}
