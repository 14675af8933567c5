/** Maximum number of requests that wait for one service in one daemon. */
export const MAX_WAITING_CALLS = 64;

interface Entry<Call> {
  readonly call: Call;
  readonly deadlineAt: number;
}

/** Requests that wait until an endpoint of their service has room, ordered by deadline. */
export class CallQueue<Call> {
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
   * @param deadlineAt - deadline of a request in milliseconds
   * @returns number of requests that go before it; among equal deadlines, those that came first
   */
  countBefore(deadlineAt: number): number {
    const index = this.#entries.findIndex((entry) => entry.deadlineAt > deadlineAt);
    return index < 0 ? this.#entries.length : index;
  }

  /**
   * @param call - a request that is not in the queue
   * @param deadlineAt - its deadline in milliseconds
   * @returns whether it waits now; false if the queue is full
   */
  add(call: Call, deadlineAt: number): boolean {
    if (this.isFull) return false;
    this.#entries.splice(this.countBefore(deadlineAt), 0, { call, deadlineAt });
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

  /** @returns the requests in the order in which they are to be sent */
  inOrder(): readonly Call[] {
    return this.#entries.map(({ call }) => call);
  }
}
