import * as serving from "@camphorcourse/serving";
import type * as loads from "./load.js";
import * as outcomes from "./outcome.js";
import * as regionsModule from "./regions.js";
import type * as virtualTimes from "./virtualTime.js";

/** The caller of one request: its timeout, its retries and what it observes of the answer. */
export class EmulatedCaller {
  /** Called when the caller times out before the first event. */
  onDisconnect: () => void = () => undefined;
  readonly request: loads.LoadRequest;
  readonly #time: virtualTimes.VirtualTime;
  readonly #statistics: outcomes.OutcomeStatistics;
  readonly #startedAt: number;
  #firstEventMs: number | undefined;
  #maxPauseMs = 0;
  #totalPauseMs = 0;
  #events = 0;
  #hasEnded = false;
  #retries = 0;
  #attempts = 0;

  /**
   * @param request - the request
   * @param time - the virtual time of the experiment
   * @param statistics - records the outcome
   */
  constructor(request: loads.LoadRequest, time: virtualTimes.VirtualTime, statistics: outcomes.OutcomeStatistics) {
    this.request = request;
    this.#time = time;
    this.#statistics = statistics;
    this.#startedAt = time.now;
    this.#startTimeout();
  }

  /** @returns the time until the caller's deadline, in milliseconds */
  get remainingMs(): number {
    return this.#startedAt + this.request.kind.deadlineMs - this.#time.now;
  }

  /** @returns whether the caller retries if its request is rejected */
  get mayRetry(): boolean {
    return this.#retries < this.request.kind.returns;
  }

  /** Counts a rejection that the caller will retry; the current timeout no longer applies. */
  noteRejection(): void {
    this.#retries++;
    this.#attempts++;
  }

  /** Starts the timeout of a retry. */
  startRetry(): void {
    this.#startTimeout();
  }

  #startTimeout(): void {
    const attempts = this.#attempts;
    const { objectiveMs, pauseMs } = this.request.kind;
    const callerTimeoutMs = Math.min(this.remainingMs, serving.streamCallerTimeoutMs(objectiveMs, pauseMs));
    this.#time.after(callerTimeoutMs, () => {
      if (this.#hasEnded || this.#firstEventMs !== undefined || this.#attempts !== attempts) return;
      this.onDisconnect();
      this.end(outcomes.RequestOutcome.Failed);
    });
  }

  /** @returns whether the request was answered, rejected or given up */
  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /** @returns the mean pause between two events in milliseconds; undefined before the second event */
  get meanPauseMs(): number | undefined {
    return this.#events < 2 ? undefined : this.#totalPauseMs / (this.#events - 1);
  }

  /** @param pauseMs - pause before the event in milliseconds, 0 for the first event */
  recordEvent(pauseMs: number): void {
    this.#firstEventMs ??= this.#time.now - this.#startedAt + regionsModule.NETWORK_DELAY_MS;
    this.#maxPauseMs = Math.max(this.#maxPauseMs, pauseMs);
    this.#totalPauseMs += pauseMs;
    this.#events++;
  }

  /**
   * Records the outcome; calls after the first have no effect.
   *
   * @param outcome - how the request ended
   */
  end(outcome: outcomes.RequestOutcome): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    const { kind, atMs, prompt } = this.request;
    const beganInTime = (this.#firstEventMs ?? 0) <= kind.objectiveMs;
    const pausedTooLong = this.#maxPauseMs > kind.pauseMs;
    const inTime = beganInTime && !pausedTooLong;
    const hasReturned = this.#retries > 0;
    const ended = { kind, atMs, promptTokens: prompt.promptTokens, outcome, inTime, hasReturned };
    this.#statistics.record({ ...ended, beganInTime, pausedTooLong });
  }
}
