import * as constants from "./constants.js";

/**
 * A token bucket that ties retries to the requests served. Without it, every
 * endpoint that fails turns one request into several just when capacity is short,
 * and the extra load fails further requests.
 */
export class RetryBudget {
  #tokens = constants.RETRY_BURST;

  /** A request has arrived: it earns a part of a retry. */
  earn(): void {
    this.#tokens = Math.min(constants.RETRY_BURST, this.#tokens + constants.RETRY_RATIO);
  }

  /** @returns whether one retry may be made; it is then spent */
  spend(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens--;
    return true;
  }
}
