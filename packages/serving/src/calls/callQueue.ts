/** Maximum number of requests that wait for one service in one daemon. */
export const MAX_WAITING_CALLS = 64;

/** What the place of a request in the queue depends on. */
export interface CallPlace {
  /** Levels by which rank and share set it back; 0 without ranks. */
  readonly level: number;
  readonly deadlineAt: number;
  /** Last instant at which it can be sent so that its answer is expected within the objective, in milliseconds. */
  readonly inTimeUntil: number;
}

interface Entry<Call> extends CallPlace {
  readonly call: Call;
}

/**
 * Requests that wait until an endpoint of their service has room, ordered by level, and in each level by deadline. Those that
 * can still be answered within their objective go before those that can't: ordered by deadline alone, all requests of a
 * burst wait for almost as long as they may, and hardly one is answered within its objective.
 */
export class CallQueue<Call> {
  /** In the order in which they came. */
  #entries: Entry<Call>[] = [];

  /** @returns number of requests that wait */
  get size(): number {
    return this.#entries.length;
  }

  /** @returns whether no further request may wait */
  get isFull(): boolean {
    return this.#entries.length >= MAX_WAITING_CALLS;
  }

  /**
   * @param place - place of a request that isn't in the queue
   * @param now - current instant in milliseconds
   * @returns number of requests that go before it; among equal places, those that came first
   */
  countBefore(place: CallPlace, now: number): number {
    return this.#entries.filter((entry) => compare(entry, place, now) <= 0).length;
  }

  /**
   * Tells which request gives way to a further one, so that a flood of a low rank doesn't fill the queue for all.
   *
   * @param place - place of a request that isn't in the queue
   * @param now - current instant in milliseconds
   * @returns the last request, if the queue is full and that one is of a higher level; otherwise undefined
   */
  displacedBy(place: CallPlace, now: number): Call | undefined {
    if (!this.isFull) return undefined;
    const last = this.#entries.toSorted((left, right) => compare(left, right, now)).at(-1);
    return last !== undefined && last.level > place.level ? last.call : undefined;
  }

  /**
   * @param call - a request that is not in the queue
   * @param place - its place
   * @returns whether it waits now; false if the queue is full
   */
  add(call: Call, place: CallPlace): boolean {
    if (this.isFull) return false;
    this.#entries.push({ ...place, call });
    return true;
  }

  /**
   * @param call - a request that is sent or over
   * @returns whether it was waiting
   */
  remove(call: Call): boolean {
    const before = this.#entries.length;
    this.#entries = this.#entries.filter((entry) => entry.call !== call);
    return this.#entries.length < before;
  }

  /**
   * @param call - a request
   * @returns whether it waits
   */
  has(call: Call): boolean {
    return this.#entries.some((entry) => entry.call === call);
  }

  /**
   * @param now - current instant in milliseconds
   * @returns the requests in the order in which they are to be sent
   */
  inOrder(now: number): readonly Call[] {
    return [...this.#entries].sort((left, right) => compare(left, right, now)).map(({ call }) => call);
  }
}

function compare(left: CallPlace, right: CallPlace, now: number): number {
  const lateness = Number(now > left.inTimeUntil) - Number(now > right.inTimeUntil);
  return left.level - right.level || lateness || left.deadlineAt - right.deadlineAt;
}
