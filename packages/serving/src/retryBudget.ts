/** The budget of repeated sends to one service, shared by all daemons without a message. */

/** The operators' bound on repeated sends to a service. */
export interface RetryBounds {
  /** Repeats allowed for each request. */
  readonly ratio: number;
  /** Repeats allowed besides, by all daemons together, in one window. */
  readonly extra: number;
  readonly windowMs: number;
}

/**
 * Daemons that may come on top of those that are known, as a share of them:
 * spare VMs join before anybody has heard of them.
 */
const JOINING_SHARE = 0.5;

/** Part of a daemon's fair share that it spends; the rest covers windows that slide over two of ours. */
const SPENT_PART = 0.8;

/**
 * Counts own requests and own repeats over a sliding window. Each daemon spends
 * its part of the extra and the ratio of its own requests, so that the sum over
 * all daemons keeps the bound whatever they know of each other.
 */
export class SharedRetryBudget {
  readonly #bounds: RetryBounds;
  readonly #startedAt: number;
  readonly #requests: number[] = [];
  readonly #repeats: number[] = [];

  /**
   * @param bounds - the operators' bound
   * @param startedAt - instant at which the process started, in milliseconds
   */
  constructor(bounds: RetryBounds, startedAt: number) {
    this.#bounds = bounds;
    this.#startedAt = startedAt;
  }

  /** @param now - instant at which a request for the service came, in milliseconds */
  noteRequest(now: number): void {
    this.#requests.push(now);
  }

  /**
   * @param now - current instant in milliseconds
   * @param daemons - daemons that are known, this one included
   * @returns whether one repeat may be sent; it is then spent
   */
  spend(now: number, daemons: number): boolean {
    const since = now - this.#bounds.windowMs;
    dropBefore(this.#requests, since);
    dropBefore(this.#repeats, since);
    if (this.#repeats.length + 1 > this.#allowance(now, daemons)) return false;
    this.#repeats.push(now);
    return true;
  }

  /**
   * A process that has just started doesn't know what its predecessor on the
   * same VM has spent of the extra; until a window has passed it has none.
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
