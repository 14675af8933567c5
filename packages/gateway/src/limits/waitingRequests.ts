/** A request that waits until an endpoint takes it, by the limit or the rest that the endpoint has stated. */
export interface WaitingRequest {
  /** @returns time until it may be sent in milliseconds, 0 if it may be sent now */
  readyInMs(): number;
  /** Chooses an endpoint again; if that is still not possible, the request waits again or is rejected. */
  resume(): void;
}

/**
 * Interval at which the first request of a queue is checked, in milliseconds: its endpoints may withdraw what they have
 * stated, or others join, at any time.
 */
const CHECK_MS = 50;

/** Requests that wait for endpoints with limits or in rest, in the order of their arrival, by service. */
export class WaitingRequests {
  readonly #queues = new Map<string, WaitingRequest[]>();

  /**
   * @param service - a service
   * @returns number of requests that wait for it
   */
  count(service: string): number {
    return this.#queues.get(service)?.length ?? 0;
  }

  /**
   * @param service - service of the request
   * @param request - waits from now on, until it is resumed or removed
   * @param isFirst - whether it has waited before and keeps its place
   */
  add(service: string, request: WaitingRequest, isFirst: boolean): void {
    const queue = this.#queues.get(service) ?? [];
    if (isFirst) queue.unshift(request);
    else queue.push(request);
    if (this.#queues.has(service)) return;
    this.#queues.set(service, queue);
    this.#scheduleCheck(service);
  }

  /** @param request - a request that is over */
  remove(request: WaitingRequest): void {
    for (const queue of this.#queues.values()) {
      const index = queue.indexOf(request);
      if (index >= 0) queue.splice(index, 1);
    }
  }

  #scheduleCheck(service: string): void {
    const readyInMs = this.#queues.get(service)?.[0]?.readyInMs() ?? 0;
    setTimeout(() => this.#check(service), Math.min(CHECK_MS, readyInMs));
  }

  /** Resumes requests until the first one has to wait on; each resumed one may add itself again at the front. */
  #check(service: string): void {
    const queue = this.#queues.get(service) ?? [];
    for (let next = queue[0]; next !== undefined && next.readyInMs() <= 0; next = queue[0]) {
      queue.shift();
      next.resume();
      if (queue[0] === next) break;
    }
    if (queue.length === 0) this.#queues.delete(service);
    else this.#scheduleCheck(service);
  }
}
