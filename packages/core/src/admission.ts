import * as engineCosts from "./engineCosts.js";

/** A request that waits for a runner. */
export interface QueuedRequest {
  readonly id: string;
  readonly priority: number;
  /** Monotonic time by which the whole answer must be there. */
  readonly deadline: number;
  readonly demand: engineCosts.Demand;
  /** Milliseconds that it takes once it is at a runner that is free. */
  readonly serviceMs: number;
}

/** What the service's runners can do together, in engine milliseconds per millisecond. */
export interface PoolCapacity {
  readonly prefill: number;
  readonly decode: number;
  readonly mixed: number;
  /** Work at the runners, in engine milliseconds. */
  readonly backlog: engineCosts.Demand;
}

/** Whether a request can be in time. */
export interface Estimate {
  readonly finishMs: number;
  readonly feasible: boolean;
  /** How long to stay away when it is not. */
  readonly retryAfterMs: number;
}

const LEAST_RETRY_MS = 250;
const LONGEST_RETRY_MS = 60_000;
/** Share of the predicted time that is added, since predictions are off. */
const SAFETY_SHARE = 0.1;

/**
 * The requests of one service that wait in this daemon: highest priority first,
 * then earliest deadline. A request that can't be in time is refused at once
 * with the time at which it could be, so that the caller decides, not a queue.
 */
export class AdmissionQueue {
  #queue: QueuedRequest[] = [];
  #retriesBookedUntil = 0;

  /** @returns how many wait */
  get length(): number {
    return this.#queue.length;
  }

  /** @returns the first in line */
  get first(): QueuedRequest | undefined {
    return this.#queue[0];
  }

  /** @returns the engine time that waits here */
  demand(): engineCosts.Demand {
    return this.#queue.reduce((sum, { demand }) => engineCosts.sumOf(sum, demand), engineCosts.NO_DEMAND);
  }

  /**
   * @param request - joins the queue at its place
   */
  add(request: QueuedRequest): void {
    let index = this.#queue.length;
    while (index > 0 && isBefore(request, this.#queue[index - 1])) index--;
    this.#queue.splice(index, 0, request);
  }

  /**
   * @param id - the request that leaves the queue
   */
  remove(id: string): void {
    const index = this.#queue.findIndex((request) => request.id === id);
    if (index >= 0) this.#queue.splice(index, 1);
  }

  /**
   * @param request - not in the queue yet
   * @param pool - the runners' capacity and backlog
   * @param now - current time
   * @returns when it would finish
   */
  estimate(request: QueuedRequest, pool: PoolCapacity, now: number): Estimate {
    const ahead = this.#workAhead(request, pool.backlog);
    const waitMs = waitFor(ahead, pool);
    const finishMs = (waitMs + request.serviceMs) * (1 + SAFETY_SHARE);
    const slackMs = request.deadline - now;
    if (finishMs <= slackMs) return { finishMs, feasible: true, retryAfterMs: 0 };
    return { finishMs, feasible: false, retryAfterMs: this.#bookRetry(finishMs - slackMs, request, pool, now) };
  }

  /**
   * @param now - current time
   * @returns requests that can no longer be in time, taken out of the queue
   */
  takeHopeless(now: number): QueuedRequest[] {
    const hopeless = this.#queue.filter((request) => now + request.serviceMs > request.deadline);
    if (hopeless.length > 0) this.#queue = this.#queue.filter((request) => !hopeless.includes(request));
    return hopeless;
  }

  /**
   * Retries are spread over the time that the pool needs for them. If all
   * refused callers were given the same instant, they would come back together
   * and most would be refused again.
   *
   * @param lateMs - by how much it would be late now
   * @param request - the refused request
   * @param pool - the runners' capacity
   * @param now - current time
   * @returns milliseconds to stay away
   */
  #bookRetry(lateMs: number, request: QueuedRequest, pool: PoolCapacity, now: number): number {
    const earliest = now + Math.max(LEAST_RETRY_MS, lateMs);
    const start = Math.max(earliest, this.#retriesBookedUntil);
    const own = waitFor(request.demand, pool);
    this.#retriesBookedUntil = Math.min(start + own, now + LONGEST_RETRY_MS);
    return Math.min(start - now + own, LONGEST_RETRY_MS);
  }

  #workAhead(request: QueuedRequest, backlog: engineCosts.Demand): engineCosts.Demand {
    let { prefillMs, decodeMs, mixedMs } = backlog;
    for (const other of this.#queue) {
      if (isBefore(request, other)) break;
      prefillMs += other.demand.prefillMs;
      decodeMs += other.demand.decodeMs;
      mixedMs += other.demand.mixedMs;
    }
    return { prefillMs, decodeMs, mixedMs };
  }
}

function isBefore(request: QueuedRequest, other: QueuedRequest | undefined): boolean {
  if (!other) return true;
  if (request.priority !== other.priority) return request.priority > other.priority;
  return request.deadline < other.deadline;
}

/**
 * @param work - engine time wanted
 * @param pool - engines that give it
 * @returns milliseconds until it is worked off, if pairs and mixed engines share it
 */
export function waitFor(work: engineCosts.Demand, pool: PoolCapacity): number {
  if (work.prefillMs + work.decodeMs + work.mixedMs === 0) return 0;
  const sharePerMs = pairRate(work, pool) + rate(pool.mixed, work.mixedMs);
  return sharePerMs === 0 ? LONGEST_RETRY_MS : 1 / sharePerMs;
}

/** A pair is as fast as its slower half. */
function pairRate(work: engineCosts.Demand, pool: PoolCapacity): number {
  if (work.prefillMs === 0) return rate(pool.decode, work.decodeMs);
  if (work.decodeMs === 0) return rate(pool.prefill, work.prefillMs);
  return Math.min(rate(pool.prefill, work.prefillMs), rate(pool.decode, work.decodeMs));
}

function rate(engines: number, workMs: number): number {
  return workMs > 0 ? engines / workMs : 0;
}
