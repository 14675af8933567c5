import * as constants from "./constants.js";

/**
 * A token bucket that limits retries to a share of the requests. Without it,
 * failing endpoints multiply the requests just when capacity is short, and the
 * extra load makes further requests fail.
 */
export class RetryBudget {
  #tokens = constants.RETRY_BURST;

  /** Adds the share of a retry that one request earns. */
  earn(): void {
    this.#tokens = Math.min(constants.RETRY_BURST, this.#tokens + constants.RETRY_RATIO);
  }

  /**
   * Spends one retry if the budget allows it.
   *
   * @returns whether the request may be retried
   */
  spend(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens--;
    return true;
  }
}
