/** Share of the answers that come within an endpoint's usual time. */
const USUAL_QUANTILE = 0.9;

/**
 * Step of the estimate, as a logarithm, for each answer. Eight answers that all take longer double it, so that it follows
 * an endpoint that slows down within a few seconds.
 */
const STEP = 0.1;

/** Usual time in multiples of the first answer's, until there are more: the 0.9 quantile of an exponential is 2.3. */
const FIRST_ANSWER_FACTOR = 2;

/**
 * Waits in vain, in multiples of the usual time, that together show an endpoint to be silent although each was short. A
 * sound endpoint answers one of its requests in that time.
 */
const SILENT_TIMES = 3;

interface State {
  usualMs: number | undefined;
  /** Time for which requests have waited in vain since the last answer, in milliseconds. */
  waitedInVainMs: number;
}

/** A request that ended at its deadline without an answer. */
export interface UnansweredCall {
  /** Time for which it has waited for the endpoint, in milliseconds. */
  readonly waitedMs: number;
  /** Time that is usual for such a request as far as is known without the endpoint's answers, in milliseconds. */
  readonly expectedMs: number;
}

/** What a deadline without an answer says of the endpoint. */
export interface DeadlineVerdict {
  /** Whether the endpoint has been silent for longer than it usually is. */
  readonly isSilent: boolean;
  /** Time within which nine of ten answers come, in milliseconds. */
  readonly usualMs: number;
}

/**
 * Learns the usual time of each endpoint's answers, the 0.9 quantile, and judges by it what a deadline without an answer
 * says of the endpoint.
 *
 * Load pattern: a configuration lowers a route's timeout below the time that its endpoints take. Requests that end at it
 * say nothing against the endpoints. Judged as silence, they made all endpoints of the service count as unhealthy.
 */
export class AnswerTimes {
  readonly #states = new Map<string, State>();

  /**
   * @param endpointId - an endpoint that has answered
   * @param tookMs - time from the send to the answer, for streams to the first event, in milliseconds
   */
  learn(endpointId: string, tookMs: number): void {
    const state = this.#state(endpointId);
    state.waitedInVainMs = 0;
    if (state.usualMs === undefined) state.usualMs = Math.max(1, tookMs) * FIRST_ANSWER_FACTOR;
    else this.#move(state, tookMs > state.usualMs);
  }

  /**
   * Judges a deadline without an answer. The answer would have taken longer than the wait: a wait beyond the usual time is
   * an observation, a shorter one isn't.
   *
   * @param endpointId - the endpoint
   * @param call - the request that has ended
   * @returns what it says of the endpoint
   */
  judgeDeadline(endpointId: string, call: UnansweredCall): DeadlineVerdict {
    const state = this.#state(endpointId);
    const usualMs = Math.max(state.usualMs ?? call.expectedMs, call.expectedMs);
    state.waitedInVainMs += call.waitedMs;
    const isBeyondUsual = call.waitedMs >= usualMs;
    if (isBeyondUsual) this.#move(state, true);
    return { isSilent: isBeyondUsual || state.waitedInVainMs >= SILENT_TIMES * usualMs, usualMs };
  }

  /**
   * @param endpointId - an endpoint
   * @returns time within which nine of ten of its answers come in milliseconds, if any has come
   */
  usualMs(endpointId: string): number | undefined {
    return this.#states.get(endpointId)?.usualMs;
  }

  /** @param endpointId - an endpoint that is gone */
  forget(endpointId: string): void {
    this.#states.delete(endpointId);
  }

  #move(state: State, isLonger: boolean): void {
    if (state.usualMs !== undefined) state.usualMs *= Math.exp(STEP * (isLonger ? USUAL_QUANTILE : USUAL_QUANTILE - 1));
  }

  #state(endpointId: string): State {
    let state = this.#states.get(endpointId);
    if (state === undefined) {
      state = { usualMs: undefined, waitedInVainMs: 0 };
      this.#states.set(endpointId, state);
    }
    return state;
  }
}
