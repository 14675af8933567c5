/** A request that waits for an endpoint. */
export interface QueuedRequest {
  readonly id: string;
  readonly priority: number;
  /** Monotonic time by which the whole answer must be there. */
  readonly deadline: number;
  /** Prompt tokens to be taken in; 0 for a plain call. */
  readonly promptTokens: number;
  /** Milliseconds that it takes once it is at an endpoint. */
  readonly serviceMs: number;
  /** Tells a request that comes back from others: equal for equal requests. */
  readonly fingerprint?: string;
}

/** Work that waits in a queue. */
export interface WaitingWork {
  readonly tokens: number;
  readonly requests: number;
}

/** What the service's endpoints can do together, and what they have to do already. */
export interface PoolCapacity {
  /** Prompt tokens that they take in per millisecond. */
  readonly tokensPerMs: number;
  /** Prompt tokens that wait at them. */
  readonly waitingTokens: number;
  /** What waits in the other daemons' queues. */
  readonly peerQueues: WaitingWork;
  /** Answers that can be under way side by side. */
  readonly slots: number;
  /** Answers that are. */
  readonly busySlots: number;
  /** Milliseconds that an answer holds its slot on average. */
  readonly slotMs: number;
  /** Daemons that share the endpoints, this one included. */
  readonly daemons: number;
}

/** Whether a request can be in time. */
export interface Estimate {
  readonly finishMs: number;
  readonly feasible: boolean;
  /** How long to stay away when it is not. */
  readonly retryAfterMs: number;
}

const LEAST_RETRY_MS = 5000;
const LONGEST_RETRY_MS = 60_000;
/** A booking is kept for a caller that comes this much later than told. */
const RETURN_LEARNING_RATE = 0.05;
const EARLY_RETURN_MS = 250;
const BOOKING_GRACE_MS = 1500;
/** Bookings that fall due within this time count as work ahead of new callers. */
const BOOKING_AHEAD_MS = 1500;
/** Share of the predicted lateness that is added to the time told, as the backlog may still grow. */
const BOOKING_MARGIN = 2;
/** Share of the predicted time that is added, since predictions are off. */
const SAFETY_SHARE = 0.1;

/** Work that a refused caller has been told to come back with. */
interface Booking {
  readonly dueAt: number;
  readonly tokens: number;
}

/**
 * The requests of one service that wait in this daemon: highest priority first,
 * then earliest deadline. A request that can't be in time is refused at once
 * with the time at which it could be, so that the caller decides, not a queue.
 */
export class AdmissionQueue {
  #queue: QueuedRequest[] = [];
  #retriesBookedUntil = 0;
  readonly #bookings = new Map<string, Booking>();
  /** Share of the booked callers that come back, as learned. */
  #returnShare = 0.5;

  /** @returns how many wait */
  get length(): number {
    return this.#queue.length;
  }

  /** @returns the first in line */
  get first(): QueuedRequest | undefined {
    return this.#queue[0];
  }

  /** @returns the work that waits here */
  waiting(): WaitingWork {
    const tokens = this.#queue.reduce((sum, { promptTokens }) => sum + promptTokens, 0);
    return { tokens, requests: this.#queue.length };
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
   * Predicts when a request would finish. The prompts ahead of it are taken in
   * one after the other; answers are made side by side, so those ahead delay it
   * only when all slots are taken.
   *
   * @param request - not in the queue yet
   * @param pool - the endpoints' capacity and backlog
   * @param now - current time
   * @returns when it would finish
   */
  estimate(request: QueuedRequest, pool: PoolCapacity, now: number): Estimate {
    const returns = this.#takeBooking(request, now);
    const ahead = withPeers(this.#workAhead(request, returns, now), pool);
    const waitMs = prefillWaitMs(request, ahead, pool) + slotWaitMs(ahead, pool);
    const finishMs = waitMs + request.serviceMs * (returns ? 1 : 1 + SAFETY_SHARE);
    const lateMs = now + finishMs - request.deadline;
    if (lateMs <= 0) return { finishMs, feasible: true, retryAfterMs: 0 };
    return { finishMs, feasible: false, retryAfterMs: this.#bookRetry(lateMs, request, pool, now) };
  }

  /**
   * @param now - current time
   * @returns requests that can no longer be in time, taken out of the queue
   */
  takeInfeasible(now: number): QueuedRequest[] {
    const hopeless = this.#queue.filter((request) => now + request.serviceMs > request.deadline);
    if (hopeless.length > 0) this.#queue = this.#queue.filter((request) => !hopeless.includes(request));
    return hopeless;
  }

  /**
   * Books a time for a refused caller. Were all given the same instant, they
   * would come back together and most be refused again; and without a booking,
   * new callers would have taken the room by then. So times are spread over what
   * the pool needs for them, and what is booked counts as work ahead of others.
   */
  #bookRetry(lateMs: number, request: QueuedRequest, pool: PoolCapacity, now: number): number {
    const earliest = now + Math.max(LEAST_RETRY_MS, lateMs * (1 + BOOKING_MARGIN));
    const start = Math.max(earliest, this.#retriesBookedUntil);
    const own = shareOfPoolMs(request, pool) * pool.daemons;
    const dueAt = Math.min(start + own, now + LONGEST_RETRY_MS);
    this.#retriesBookedUntil = dueAt;
    if (request.fingerprint !== undefined) {
      this.#bookings.set(request.fingerprint, { dueAt, tokens: request.promptTokens });
    }
    return dueAt - now;
  }

  /** Returns whether the request is one that was told to come back by now. */
  #takeBooking(request: QueuedRequest, now: number): boolean {
    for (const [fingerprint, booking] of this.#bookings) {
      if (booking.dueAt + BOOKING_GRACE_MS >= now) continue;
      this.#bookings.delete(fingerprint);
      this.#learnReturn(0);
    }
    const booking = request.fingerprint === undefined ? undefined : this.#bookings.get(request.fingerprint);
    if (!booking || now < booking.dueAt - EARLY_RETURN_MS) return false;
    this.#learnReturn(1);
    return this.#bookings.delete(request.fingerprint ?? "");
  }

  #learnReturn(came: number): void {
    this.#returnShare += RETURN_LEARNING_RATE * (came - this.#returnShare);
  }

  #workAhead(request: QueuedRequest, returns: boolean, now: number): WaitingWork {
    let [tokens, requests] = [0, 0];
    for (const other of this.#queue) {
      if (isBefore(request, other)) break;
      tokens += other.promptTokens;
      requests++;
    }
    if (returns) return { tokens, requests };
    for (const booking of this.#bookings.values()) {
      if (booking.dueAt > now + BOOKING_AHEAD_MS) continue;
      // Callers that give up leave their room to others, as far as they are known to.
      tokens += booking.tokens * this.#returnShare;
      requests += this.#returnShare;
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
 * What waits at the other daemons is ahead only of a request that has to wait
 * here too: one that is first in its own queue goes to the next endpoint that has
 * room, however many wait elsewhere.
 */
function withPeers(own: WaitingWork, pool: PoolCapacity): WaitingWork {
  if (own.requests === 0) return own;
  return { tokens: own.tokens + pool.peerQueues.tokens, requests: own.requests + pool.peerQueues.requests };
}

function prefillWaitMs(request: QueuedRequest, ahead: WaitingWork, pool: PoolCapacity): number {
  if (request.promptTokens === 0) return 0;
  if (pool.tokensPerMs === 0) return LONGEST_RETRY_MS;
  return (pool.waitingTokens + ahead.tokens) / pool.tokensPerMs;
}

function slotWaitMs(ahead: WaitingWork, pool: PoolCapacity): number {
  if (pool.slots === 0) return LONGEST_RETRY_MS;
  const over = pool.busySlots + ahead.requests + 1 - pool.slots;
  return over <= 0 ? 0 : (over / pool.slots) * pool.slotMs;
}

/** Time for which the whole pool would be taken up by this request alone. */
function shareOfPoolMs(request: QueuedRequest, pool: PoolCapacity): number {
  const prefillMs = request.promptTokens === 0 || pool.tokensPerMs === 0 ? 0 : request.promptTokens / pool.tokensPerMs;
  const slotMs = pool.slots === 0 ? LONGEST_RETRY_MS : pool.slotMs / pool.slots;
  return Math.max(prefillMs, slotMs);
}
