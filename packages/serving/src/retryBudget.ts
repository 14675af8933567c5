/** The budget of retries for one service, which all daemons keep together without exchanging messages. */

/** The operators' limit on retries for a service. */
export interface RetryBounds {
  /** Retries allowed for each request. */
  readonly ratio: number;
  /** Further retries allowed to all daemons together in one window. */
  readonly extra: number;
  readonly windowMs: number;
}

/**
 * Daemons that may run beside the known ones, as a share of them: spare VMs join
 * before the others know of them.
 */
const JOINING_SHARE = 0.5;

/** Part of its fair share that a daemon spends; a sliding window can overlap two windows of this daemon. */
const SPENT_PART = 0.8;

/**
 * Counts own requests and own retries over a sliding window. Each daemon spends
 * its part of the extra and the ratio of its own requests, so that the sum over
 * all daemons stays within the limit whatever they know of each other.
 */
export class SharedRetryBudget {
  readonly #bounds: RetryBounds;
  readonly #startedAt: number;
  readonly #requests: number[] = [];
  readonly #retries: number[] = [];

  /**
   * @param bounds - the operators' limit
   * @param startedAt - instant at which the process started, in milliseconds
   */
  constructor(bounds: RetryBounds, startedAt: number) {
    this.#bounds = bounds;
    this.#startedAt = startedAt;
  }

  /** @param now - instant at which a request for the service arrived, in milliseconds */
  noteRequest(now: number): void {
    this.#requests.push(now);
  }

  /**
   * @param now - current instant in milliseconds
   * @param daemons - number of known daemons, this one included
   * @returns whether one retry may be sent; it is then counted as spent
   */
  spend(now: number, daemons: number): boolean {
    const since = now - this.#bounds.windowMs;
    dropBefore(this.#requests, since);
    dropBefore(this.#retries, since);
    if (this.#retries.length + 1 > this.#allowance(now, daemons)) return false;
    this.#retries.push(now);
    return true;
  }

  /**
   * A process that has just started doesn't know how much of the extra its
   * predecessor on the same VM has spent; it gets none until a window has passed.
   */
  #allowance(now: number, daemons: number): number {
    const share = (this.#bounds.extra * SPENT_PART) / (daemons * (1 + JOINING_SHARE));
    const extra = now - this.#startedAt < this.#bounds.windowMs ? 0 : share;
    return extra + this.#bounds.ratio * SPENT_PART * this.#requests.length;
  }
}

function dropBefore(instants: number[], since: number): void {
  let count = 0;
  while (count < instants.length && (instants[count] ?? 0) < since) count++;
  if (count > 0) instants.splice(0, count);
}
