/** A request that waits for an endpoint. */
export interface QueuedRequest {
  readonly id: string;
  readonly priority: number;
  /** Monotonic time by which the answer must be complete. */
  readonly deadline: number;
  /** Prompt tokens to prefill; 0 for a plain call. */
  readonly promptTokens: number;
  /** Predicted milliseconds from dispatch to an endpoint until the answer is complete. */
  readonly serviceMs: number;
  /** Equal for equal requests; recognises the retry of a refused request. */
  readonly fingerprint?: string;
}

/** Total work of the requests in a queue. */
export interface WaitingWork {
  readonly tokens: number;
  readonly requests: number;
}

/** Total capacity and current load of a service's endpoints. */
export interface PoolCapacity {
  /** Prompt tokens prefilled per millisecond by all endpoints together. */
  readonly tokensPerMs: number;
  /** Prompt tokens at the endpoints that are not prefilled yet. */
  readonly waitingTokens: number;
  /** Work in the queues of the other daemons. */
  readonly peerQueues: WaitingWork;
  /** Answers that can be generated concurrently. */
  readonly slots: number;
  /** Answers being generated now. */
  readonly busySlots: number;
  /** Average milliseconds that an answer occupies its slot. */
  readonly slotMs: number;
  /** Daemons that share the endpoints, this one included. */
  readonly daemons: number;
}

/** Prediction of whether a request can meet its deadline. */
export interface Estimate {
  readonly finishMs: number;
  readonly feasible: boolean;
  /** Delay after which the caller should retry if it is not feasible; otherwise 0. */
  readonly retryAfterMs: number;
}

const MIN_RETRY_MS = 5000;
const MAX_RETRY_MS = 60_000;
/** Weight of each new observation in the learned probability that a refused caller retries. */
const RETURN_LEARNING_RATE = 0.05;
/** A caller that retries this much early still gets its reservation. */
const EARLY_RETURN_TOLERANCE_MS = 250;
/** A reservation expires this long after its due time. */
const RESERVATION_GRACE_MS = 1500;
/** Reservations due within this time count as work ahead of new callers. */
const RESERVATION_HORIZON_MS = 1500;
/** Multiple of the predicted lateness added to the retry delay, as the backlog may still grow. */
const LATENESS_MARGIN = 2;
/** Share of the predicted time added to allow for prediction errors. */
const PREDICTION_MARGIN = 0.1;

/** Capacity reserved for the retry of a refused request. */
interface Reservation {
  /** Monotonic time at which the caller was told to retry. */
  readonly dueAt: number;
  readonly tokens: number;
}

/**
 * The queue of one service at this daemon, ordered by highest priority, then
 * earliest deadline. A request that can't meet its deadline is refused at once
 * with a retry delay, so that the caller can decide what to do instead of
 * waiting in the queue.
 */
export class AdmissionQueue {
  #queue: QueuedRequest[] = [];
  #retriesReservedUntil = 0;
  readonly #reservations = new Map<string, Reservation>();
  /** Learned share of the callers with a reservation that retry. */
  #returnProbability = 0.5;

  /** @returns number of queued requests */
  get length(): number {
    return this.#queue.length;
  }

  /** @returns the request at the head of the queue */
  get first(): QueuedRequest | undefined {
    return this.#queue[0];
  }

  /** @returns total work of the queued requests */
  waiting(): WaitingWork {
    const tokens = this.#queue.reduce((sum, { promptTokens }) => sum + promptTokens, 0);
    return { tokens, requests: this.#queue.length };
  }

  /**
   * Inserts a request by priority and deadline.
   *
   * @param request - the request
   */
  add(request: QueuedRequest): void {
    let index = this.#queue.length;
    while (index > 0 && isBefore(request, this.#queue[index - 1])) index--;
    this.#queue.splice(index, 0, request);
  }

  /**
   * @param id - id of the request to remove
   */
  remove(id: string): void {
    const index = this.#queue.findIndex((request) => request.id === id);
    if (index >= 0) this.#queue.splice(index, 1);
  }

  /**
   * Predicts when a request would finish. The prompts ahead of it are prefilled
   * one after the other; answers are generated concurrently, so the requests
   * ahead delay it only when all slots are busy. Reserves a retry time if the
   * request can't meet its deadline, and uses up its reservation if it has one.
   *
   * @param request - not in the queue yet
   * @param pool - the endpoints' capacity and backlog
   * @param now - current time
   * @returns predicted finish time, and the retry delay if it is not feasible
   */
  estimate(request: QueuedRequest, pool: PoolCapacity, now: number): Estimate {
    const isReturning = this.#claimReservation(request, now);
    const ahead = withPeerQueues(this.#workAhead(request, isReturning, now), pool);
    const waitMs = prefillWaitMs(request, ahead, pool) + slotWaitMs(ahead, pool);
    const finishMs = waitMs + request.serviceMs * (isReturning ? 1 : 1 + PREDICTION_MARGIN);
    const lateMs = now + finishMs - request.deadline;
    if (lateMs <= 0) return { finishMs, feasible: true, retryAfterMs: 0 };
    return { finishMs, feasible: false, retryAfterMs: this.#reserveRetry(lateMs, request, pool, now) };
  }

  /**
   * @param now - current time
   * @returns requests that can no longer meet their deadline, removed from the queue
   */
  takeInfeasible(now: number): QueuedRequest[] {
    const infeasible = this.#queue.filter((request) => now + request.serviceMs > request.deadline);
    if (infeasible.length > 0) this.#queue = this.#queue.filter((request) => !infeasible.includes(request));
    return infeasible;
  }

  /**
   * Reserves a retry time for a refused request. If all callers got the same
   * time, they would retry together and most would be refused again; without a
   * reservation, new callers would have taken the capacity by then. So retry
   * times are spread over the time that the pool needs for the requests, and
   * reserved work counts as work ahead of new callers.
   *
   * @returns delay in milliseconds
   */
  #reserveRetry(lateMs: number, request: QueuedRequest, pool: PoolCapacity, now: number): number {
    const earliest = now + Math.max(MIN_RETRY_MS, lateMs * (1 + LATENESS_MARGIN));
    const start = Math.max(earliest, this.#retriesReservedUntil);
    const ownMs = poolTimeMs(request, pool) * pool.daemons;
    const dueAt = Math.min(start + ownMs, now + MAX_RETRY_MS);
    this.#retriesReservedUntil = dueAt;
    if (request.fingerprint !== undefined) {
      this.#reservations.set(request.fingerprint, { dueAt, tokens: request.promptTokens });
    }
    return dueAt - now;
  }

  /** Drops expired reservations; returns whether the request has one that is due, and uses it up. */
  #claimReservation(request: QueuedRequest, now: number): boolean {
    for (const [fingerprint, reservation] of this.#reservations) {
      if (reservation.dueAt + RESERVATION_GRACE_MS >= now) continue;
      this.#reservations.delete(fingerprint);
      this.#learnReturnProbability(0);
    }
    const reservation = request.fingerprint === undefined ? undefined : this.#reservations.get(request.fingerprint);
    if (!reservation || now < reservation.dueAt - EARLY_RETURN_TOLERANCE_MS) return false;
    this.#learnReturnProbability(1);
    return this.#reservations.delete(request.fingerprint ?? "");
  }

  #learnReturnProbability(observed: number): void {
    this.#returnProbability += RETURN_LEARNING_RATE * (observed - this.#returnProbability);
  }

  #workAhead(request: QueuedRequest, isReturning: boolean, now: number): WaitingWork {
    let [tokens, requests] = [0, 0];
    for (const other of this.#queue) {
      if (isBefore(request, other)) break;
      tokens += other.promptTokens;
      requests++;
    }
    if (isReturning) return { tokens, requests };
    for (const reservation of this.#reservations.values()) {
      if (reservation.dueAt > now + RESERVATION_HORIZON_MS) continue;
      // Not every refused caller retries, so reserved work is weighted by the learned probability.
      tokens += reservation.tokens * this.#returnProbability;
      requests += this.#returnProbability;
    }
    return { tokens, requests };
  }
}

function isBefore(request: QueuedRequest, other: QueuedRequest | undefined): boolean {
  if (!other) return true;
  if (request.priority !== other.priority) return request.priority > other.priority;
  return request.deadline < other.deadline;
}

/**
 * Adds the work in other daemons' queues, but only for a request that also has
 * to wait here: one at the head of its own queue goes to the next endpoint with
 * free capacity, however many requests wait at other daemons.
 */
function withPeerQueues(queueAhead: WaitingWork, pool: PoolCapacity): WaitingWork {
  if (queueAhead.requests === 0) return queueAhead;
  return {
    tokens: queueAhead.tokens + pool.peerQueues.tokens,
    requests: queueAhead.requests + pool.peerQueues.requests,
  };
}

function prefillWaitMs(request: QueuedRequest, ahead: WaitingWork, pool: PoolCapacity): number {
  if (request.promptTokens === 0) return 0;
  if (pool.tokensPerMs === 0) return MAX_RETRY_MS;
  return (pool.waitingTokens + ahead.tokens) / pool.tokensPerMs;
}

function slotWaitMs(ahead: WaitingWork, pool: PoolCapacity): number {
  if (pool.slots === 0) return MAX_RETRY_MS;
  const over = pool.busySlots + ahead.requests + 1 - pool.slots;
  return over <= 0 ? 0 : (over / pool.slots) * pool.slotMs;
}

/** Milliseconds for which the request alone would occupy the whole pool. */
function poolTimeMs(request: QueuedRequest, pool: PoolCapacity): number {
  const prefillMs = request.promptTokens === 0 || pool.tokensPerMs === 0 ? 0 : request.promptTokens / pool.tokensPerMs;
  const slotMs = pool.slots === 0 ? MAX_RETRY_MS : pool.slotMs / pool.slots;
  return Math.max(prefillMs, slotMs);
}
