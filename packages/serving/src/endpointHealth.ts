import type * as directories from "./endpointDirectory.js";

/** Health of endpoints as their results show it. */

/** How one send to an endpoint ended, as far as its health goes. */
export enum SendResult {
  Good = "good",
  /** It refused without running the request: full, or not the one expected. */
  Declined = "declined",
  /** An error of its own, spoilt bytes, or a broken connection. */
  Failed = "failed",
  /** No answer within the time that others take. */
  Silent = "silent",
}

/** Weight with which the newest result enters the mean. */
const NEWEST_WEIGHT = 0.25;

/** Mean badness from which an endpoint counts as bad. */
const BAD_FROM = 0.45;

/** Time after which a bad endpoint gets one request to show itself, in milliseconds. */
const TRIAL_AFTER_MS = 700;

/** Longest time between two trials of an endpoint that stays bad, in milliseconds. */
const LONGEST_TRIAL_MS = 3_000;

/** Badness of each result. */
const BADNESS: Record<SendResult, number> = {
  [SendResult.Good]: 0,
  // Five in a row make it bad: it is full, or on the way to another role.
  [SendResult.Declined]: 0.6,
  [SendResult.Failed]: 1,
  [SendResult.Silent]: 2,
};

interface State {
  badness: number;
  trialAt: number;
  trialGapMs: number;
  slowness: number;
}

/** Bounds of the learned slowness. */
const SLOWNESS_RANGE = { least: 0.5, most: 8 };

/** Weight with which the newest time enters the learned slowness. */
const NEWEST_TIME_WEIGHT = 0.1;

/**
 * Judges endpoints by results, as health answers may be false either way. A bad
 * endpoint is passed over, and is tried with one request from time to time, so
 * that it comes back by itself; {@link selectUsable} never leaves out all.
 */
export class EndpointHealth {
  readonly #states = new Map<string, State>();

  /**
   * @param endpointId - the endpoint
   * @param result - how a send ended
   * @param now - current instant in milliseconds
   * @returns whether the endpoint counts as bad from now on though it did not before, or the reverse
   */
  recordResult(endpointId: string, result: SendResult, now: number): boolean {
    const state = this.#state(endpointId);
    const before = state.badness >= BAD_FROM;
    state.badness = state.badness * (1 - NEWEST_WEIGHT) + BADNESS[result] * NEWEST_WEIGHT;
    const after = state.badness >= BAD_FROM;
    if (result === SendResult.Good && before) state.badness = Math.min(state.badness, BAD_FROM / 2);
    if (after && result !== SendResult.Good) {
      state.trialGapMs = before ? Math.min(LONGEST_TRIAL_MS, state.trialGapMs * 2) : TRIAL_AFTER_MS;
      state.trialAt = now + state.trialGapMs;
    }
    return before !== state.badness >= BAD_FROM;
  }

  /**
   * @param endpointId - the endpoint
   * @param predictedMs - time to the first event as predicted for a sound endpoint
   * @param actualMs - the time it took
   */
  recordLatency(endpointId: string, predictedMs: number, actualMs: number): void {
    const state = this.#state(endpointId);
    const ratio = clamp(actualMs / Math.max(1, predictedMs));
    state.slowness = clamp(state.slowness * (1 - NEWEST_TIME_WEIGHT) + ratio * NEWEST_TIME_WEIGHT);
  }

  /**
   * @param endpointId - the endpoint
   * @returns factor by which it is slower than predicted
   */
  slowness(endpointId: string): number {
    return this.#states.get(endpointId)?.slowness ?? 1;
  }

  /**
   * @param endpointId - the endpoint
   * @returns whether its results are bad now
   */
  isUnhealthy(endpointId: string): boolean {
    return (this.#states.get(endpointId)?.badness ?? 0) >= BAD_FROM;
  }

  /**
   * Chooses within each role by itself: a fleet whose only good engines read
   * prompts could make no tokens.
   *
   * @param endpoints - endpoints that may be used
   * @param trials - whether the request may be repeated, so that a bad endpoint may be tried with it
   * @param now - current instant in milliseconds
   * @returns those to choose from: the good ones of each role, one that is due for a trial, or all if none is good
   */
  selectUsable(endpoints: readonly directories.Endpoint[], trials: boolean, now: number): directories.Endpoint[] {
    const roles = new Set(endpoints.map((endpoint) => endpoint.role));
    return [...roles].flatMap((role) =>
      this.#usableOfRole(
        endpoints.filter((endpoint) => endpoint.role === role),
        trials,
        now,
      ),
    );
  }

  #usableOfRole(
    endpoints: readonly directories.Endpoint[],
    trials: boolean,
    now: number,
  ): readonly directories.Endpoint[] {
    const good = endpoints.filter((endpoint) => !this.isUnhealthy(endpoint.id));
    const due = trials ? endpoints.find((endpoint) => this.#isDue(endpoint.id, now)) : undefined;
    if (due !== undefined) {
      const state = this.#state(due.id);
      state.trialAt = now + state.trialGapMs;
      return [due];
    }
    return good.length > 0 ? good : endpoints;
  }

  #isDue(endpointId: string, now: number): boolean {
    return this.isUnhealthy(endpointId) && this.#state(endpointId).trialAt <= now;
  }

  /** @param endpointId - an endpoint that is gone */
  forget(endpointId: string): void {
    this.#states.delete(endpointId);
  }

  #state(endpointId: string): State {
    let state = this.#states.get(endpointId);
    if (state === undefined) {
      state = { badness: 0, trialAt: 0, trialGapMs: TRIAL_AFTER_MS, slowness: 1 };
      this.#states.set(endpointId, state);
    }
    return state;
  }
}

function clamp(value: number): number {
  return Math.max(SLOWNESS_RANGE.least, Math.min(SLOWNESS_RANGE.most, value));
}
