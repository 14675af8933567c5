import type * as directories from "./endpointDirectory.js";

/** Health of endpoints, judged by the results of requests that were sent to them. */

/** How one send to an endpoint ended, as far as its health is concerned. */
export enum SendResult {
  Good = "good",
  /** The endpoint declined without running the request: it is full, or not the expected endpoint. */
  Declined = "declined",
  /** The endpoint returned an error of its own or invalid bytes, or its connection broke. */
  Failed = "failed",
  /** No answer within the time that other endpoints take. */
  Silent = "silent",
}

/** Weight of the newest result in the moving average of the failure score. */
const RESULT_WEIGHT = 0.25;

/** Failure score from which an endpoint is unhealthy. */
const UNHEALTHY_SCORE = 0.45;

/** Time after which an unhealthy endpoint gets one request as a probe, in milliseconds. */
const FIRST_PROBE_DELAY_MS = 700;

/** Longest time between two probes of an endpoint that stays unhealthy, in milliseconds. */
const MAX_PROBE_DELAY_MS = 3_000;

/** Failure score of each result. */
const RESULT_SCORES: Record<SendResult, number> = {
  [SendResult.Good]: 0,
  // Five in a row make the endpoint unhealthy: it is full, or is changing its role.
  [SendResult.Declined]: 0.6,
  [SendResult.Failed]: 1,
  [SendResult.Silent]: 2,
};

interface State {
  failureScore: number;
  /** Whether a request may have run there without an answer since the endpoint was last healthy. */
  hasFailed: boolean;
  probeAt: number;
  probeDelayMs: number;
  slowness: number;
}

/** Bounds of the measured slowness. */
const SLOWNESS_BOUNDS = { min: 0.5, max: 8 };

/** Weight of the newest latency in the moving average of the slowness. */
const LATENCY_WEIGHT = 0.1;

/**
 * Judges endpoints by the results of requests, as the answers of health checks may be wrong either way. An unhealthy
 * endpoint gets no requests except for an occasional probe, so that it recovers without intervention;
 * {@link selectUsable} never excludes all endpoints.
 */
export class EndpointHealth {
  readonly #states = new Map<string, State>();

  /**
   * @param endpointId - the endpoint
   * @param result - how a send ended
   * @param now - current instant in milliseconds
   * @returns whether the endpoint has become unhealthy, or healthy again
   */
  recordResult(endpointId: string, result: SendResult, now: number): boolean {
    const state = this.#state(endpointId);
    const wasUnhealthy = state.failureScore >= UNHEALTHY_SCORE;
    state.failureScore = state.failureScore * (1 - RESULT_WEIGHT) + RESULT_SCORES[result] * RESULT_WEIGHT;
    const isUnhealthy = state.failureScore >= UNHEALTHY_SCORE;
    if (result === SendResult.Good && wasUnhealthy)
      state.failureScore = Math.min(state.failureScore, UNHEALTHY_SCORE / 2);
    if (result === SendResult.Failed || result === SendResult.Silent) state.hasFailed = true;
    if (state.failureScore < UNHEALTHY_SCORE) state.hasFailed = false;
    if (isUnhealthy && result !== SendResult.Good) {
      state.probeDelayMs = wasUnhealthy ? Math.min(MAX_PROBE_DELAY_MS, state.probeDelayMs * 2) : FIRST_PROBE_DELAY_MS;
      state.probeAt = now + state.probeDelayMs;
    }
    return wasUnhealthy !== state.failureScore >= UNHEALTHY_SCORE;
  }

  /**
   * @param endpointId - the endpoint
   * @param predictedMs - time to the first event that is predicted for a healthy endpoint
   * @param actualMs - time that it took
   */
  recordLatency(endpointId: string, predictedMs: number, actualMs: number): void {
    const state = this.#state(endpointId);
    const ratio = clampSlowness(actualMs / Math.max(1, predictedMs));
    state.slowness = clampSlowness(state.slowness * (1 - LATENCY_WEIGHT) + ratio * LATENCY_WEIGHT);
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
   * @returns whether its recent results are bad
   */
  isUnhealthy(endpointId: string): boolean {
    return (this.#states.get(endpointId)?.failureScore ?? 0) >= UNHEALTHY_SCORE;
  }

  /**
   * Selects within each role separately: with only prefill engines selected, no
   * tokens could be generated. A request that may run only once probes an endpoint that has merely declined requests:
   * declined again, it hasn't run and goes elsewhere.
   *
   * @param endpoints - endpoints that may be used
   * @param mayProbe - whether the request may be retried, so that it may be sent to an unhealthy endpoint as a probe
   * @param now - current instant in milliseconds
   * @returns those to choose from for each role: one that is due for a probe, else the healthy ones, or all if none is
   */
  selectUsable(endpoints: readonly directories.Endpoint[], mayProbe: boolean, now: number): directories.Endpoint[] {
    const roles = new Set(endpoints.map((endpoint) => endpoint.role));
    return [...roles].flatMap((role) =>
      this.#selectUsableOfRole(
        endpoints.filter((endpoint) => endpoint.role === role),
        mayProbe,
        now,
      ),
    );
  }

  #selectUsableOfRole(
    endpoints: readonly directories.Endpoint[],
    mayProbe: boolean,
    now: number,
  ): readonly directories.Endpoint[] {
    const healthy = endpoints.filter((endpoint) => !this.isUnhealthy(endpoint.id));
    const due = endpoints.find(({ id }) => this.#isProbeDue(id, now) && (mayProbe || !this.#state(id).hasFailed));
    if (due !== undefined) {
      const state = this.#state(due.id);
      state.probeAt = now + state.probeDelayMs;
      return [due];
    }
    return healthy.length > 0 ? healthy : endpoints;
  }

  #isProbeDue(endpointId: string, now: number): boolean {
    return this.isUnhealthy(endpointId) && this.#state(endpointId).probeAt <= now;
  }

  /**
   * Discards failures that turned out to be no fault of the endpoint.
   *
   * @param endpointId - the endpoint
   */
  forgive(endpointId: string): void {
    const state = this.#states.get(endpointId);
    if (state === undefined) return;
    state.failureScore = 0;
    state.hasFailed = false;
  }

  /** @param endpointId - an endpoint that is gone */
  forget(endpointId: string): void {
    this.#states.delete(endpointId);
  }

  #state(endpointId: string): State {
    let state = this.#states.get(endpointId);
    if (state === undefined) {
      state = { failureScore: 0, hasFailed: false, probeAt: 0, probeDelayMs: FIRST_PROBE_DELAY_MS, slowness: 1 };
      this.#states.set(endpointId, state);
    }
    return state;
  }
}

function clampSlowness(value: number): number {
  return Math.max(SLOWNESS_BOUNDS.min, Math.min(SLOWNESS_BOUNDS.max, value));
}
