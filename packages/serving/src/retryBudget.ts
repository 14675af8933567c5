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

/** Intervals into which a window is divided to count requests; a request counts up to one interval shorter than the window. */
const INTERVALS = 100;

/**
 * Counts requests over a sliding window. Holds one number for each interval of the window, whatever the rate: the
 * instants themselves would add up for as long as no retry is considered.
 */
class RequestCounter {
  readonly #intervalMs: number;
  /** Number of requests by index of the interval since the zero of the clock, oldest first. */
  readonly #counts = new Map<number, number>();

  constructor(windowMs: number) {
    this.#intervalMs = windowMs / INTERVALS;
  }

  add(now: number): void {
    const index = Math.floor(now / this.#intervalMs);
    const count = this.#counts.get(index);
    if (count === undefined) this.#drop(index - INTERVALS);
    this.#counts.set(index, (count ?? 0) + 1);
  }

  /** @returns number of requests in the intervals that lie within the window as a whole */
  countSince(since: number): number {
    this.#drop(Math.ceil(since / this.#intervalMs));
    return [...this.#counts.values()].reduce((sum, count) => sum + count, 0);
  }

  #drop(before: number): void {
    for (const index of this.#counts.keys()) if (index < before) this.#counts.delete(index);
  }
}

/**
 * Counts own requests and own retries over a sliding window. Each daemon spends
 * its part of the extra and the ratio of its own requests, so that the sum over
 * all daemons stays within the limit whatever they know of each other.
 */
export class SharedRetryBudget {
  readonly #bounds: RetryBounds;
  readonly #startedAt: number;
  readonly #requests: RequestCounter;
  /** Instants of the retries of one window, of which there are no more than the limit allows. */
  readonly #retries: number[] = [];

  /**
   * @param bounds - the operators' limit
   * @param startedAt - instant at which the process started, in milliseconds
   */
  constructor(bounds: RetryBounds, startedAt: number) {
    this.#bounds = bounds;
    this.#startedAt = startedAt;
    this.#requests = new RequestCounter(bounds.windowMs);
  }

  /** @param now - instant at which a request for the service arrived, in milliseconds */
  noteRequest(now: number): void {
    this.#requests.add(now);
  }

  /**
   * @param now - current instant in milliseconds
   * @param daemons - number of known daemons, this one included
   * @returns whether one retry may be sent; it is then counted as spent
   */
  spend(now: number, daemons: number): boolean {
    const since = now - this.#bounds.windowMs;
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
    return extra + this.#bounds.ratio * SPENT_PART * this.#requests.countSince(now - this.#bounds.windowMs);
  }
}

function dropBefore(instants: number[], since: number): void {
  let count = 0;
  while (count < instants.length && (instants[count] ?? 0) < since) count++;
  if (count > 0) instants.splice(0, count);
}
