import * as serving from "@camphorcourse/serving";
import type * as contexts from "../context.js";
import * as plannedSends from "../sends/plannedSend.js";
import type * as ownRuns from "./ownRuns.js";
import type * as runCalls from "./runCalls.js";

/** Time for the stream of a stopped run to close in milliseconds; a caller that reads slowly delays it. */
const CLOSE_TIMEOUT_MS = 500;

/**
 * Time for the answer to the call that stops a run in milliseconds, where the stream may be repeated anyhow. Where it may not,
 * the answer is waited for as long as a handle lives.
 */
const REPEATABLE_STOP_TIMEOUT_MS = 1_500;

/** Dependencies of {@link RunMove}. */
export interface RunMoveParts {
  readonly context: contexts.ServingContext;
  readonly calls: runCalls.RunCalls;
  readonly run: ownRuns.OwnRun;
  readonly destination: serving.Endpoint;
  /** Time for which the engines keep handles, in milliseconds. */
  readonly handleMs: number;
  readonly reason: serving.MoveReason;
  /** @returns instant until which the run may go back to its source, in milliseconds; infinite if the source stays */
  readonly returnBefore: () => number;
}

/** Moves one run: makes the calls that {@link serving.RunState} decides on. */
export class RunMove {
  readonly #parts: RunMoveParts;
  readonly #state = new serving.RunState();
  readonly #startedAt = performance.now();
  #closeTimer: NodeJS.Timeout | undefined;
  #followUp: ownRuns.CloseFollowUp | undefined;
  #stopSentAt = 0;

  /** @param parts - dependencies */
  constructor(parts: RunMoveParts) {
    this.#parts = parts;
  }

  /** @returns the engine that is to take the run */
  get destination(): serving.Endpoint {
    return this.#parts.destination;
  }

  /** @returns the run that is moved */
  get run(): ownRuns.OwnRun {
    return this.#parts.run;
  }

  /** @returns whether it is under way: the request has not been sent again, and the move was not given up */
  get isUnderWay(): boolean {
    return this.#state.phase !== serving.RunPhase.Running && this.#state.phase !== serving.RunPhase.Ended;
  }

  /** @returns whether the run may go on silently stopped, so that it is not moved again */
  get mayBeStopped(): boolean {
    return this.#state.mayBeStopped;
  }

  /** @returns whether the source has been told to stop the run, and the request has not been sent again yet */
  get isBeingStopped(): boolean {
    return this.#state.isBeingStopped;
  }

  /** Begins the move. */
  start(): void {
    this.#apply(this.#state.begin(), this.#parts.reason);
  }

  /**
   * @param close - how the stream at the source closed
   * @param followUp - what follows unless the run goes on elsewhere
   * @returns whether the move decides what follows, now or later
   */
  onClosed(close: serving.StreamClose, followUp: ownRuns.CloseFollowUp): boolean {
    if (this.#state.phase === serving.RunPhase.Ended) return false;
    clearTimeout(this.#closeTimer);
    this.#followUp = followUp;
    const step = this.#state.closed(close);
    if (step === serving.RunStep.Break && close === serving.StreamClose.Broken) return false;
    if (step === serving.RunStep.Complete) return false;
    this.#apply(step, `stream-${close}`);
    return true;
  }

  /**
   * @param detail - why the engine that got the request with the handle didn't take it
   * @returns whether the request goes on elsewhere with the handle
   */
  onRefused(detail: string): boolean {
    const step = this.#state.refused();
    if (step === serving.RunStep.ResumeAtSource) {
      this.#apply(step, detail);
      return true;
    }
    this.#log("ended", `refused: ${detail}`);
    this.#parts.context.metrics.count("run_moves_failed");
    return false;
  }

  /**
   * The engine that got the request with the handle has brought an event.
   *
   * @param isReturn - whether that engine is the source
   */
  noteResumed(isReturn: boolean): void {
    this.#state.end(true);
    const { context, reason } = this.#parts;
    const isSlow = reason === serving.MoveReason.Slow;
    context.metrics.count(isReturn ? "run_moves_failed" : "runs_moved");
    if (isSlow && !isReturn) context.metrics.count("runs_moved_off_slow");
    this.#log(isReturn ? "returned" : "moved", isSlow ? reason : undefined);
  }

  /** The engine that got the request with the handle has broken it off before its first event, or fell silent. */
  noteLost(): void {
    this.#state.end(true);
    this.#parts.context.metrics.count("run_moves_failed");
    this.#log("lost", undefined);
  }

  /** The request is over. */
  noteOver(): void {
    clearTimeout(this.#closeTimer);
    // Once the request has been sent with the handle, the hand-over of the request frees it.
    const isHandedOver = this.#state.phase === serving.RunPhase.Resuming;
    this.#apply(this.#state.end(isHandedOver), "request-over");
  }

  #apply(step: serving.RunStep, reason: string): void {
    if (step === serving.RunStep.Wait) return;
    this.#log(step, reason);
    const act: Partial<Record<serving.RunStep, () => void>> = {
      [serving.RunStep.Copy]: () => void this.#copy().catch((error: unknown) => this.#onFault(error)),
      [serving.RunStep.Stop]: () => void this.#stop().catch((error: unknown) => this.#onFault(error)),
      [serving.RunStep.ResumeAtDestination]: () => this.#resumeAt(this.#parts.destination, false),
      [serving.RunStep.ResumeAtSource]: () => this.#resumeAt(this.run.active.endpoint, true),
      [serving.RunStep.Abandon]: () => this.#parts.context.metrics.count("run_moves_failed"),
      [serving.RunStep.Break]: () => this.#break(),
      [serving.RunStep.Complete]: () => this.#followUp?.complete(),
      [serving.RunStep.FreeHandle]: () => this.#free(),
    };
    act[step]?.();
  }

  async #copy(): Promise<void> {
    const answer = await this.#call(false, this.#parts.handleMs);
    const { mayContinue, reason } = this.#mayContinue();
    const isCopied = answer.outcome === serving.MoveOutcome.Copied;
    this.#apply(this.#state.copied(answer, mayContinue), isCopied ? reason : answer.outcome);
  }

  async #stop(): Promise<void> {
    this.#stopSentAt = performance.now();
    const { handleMs } = this.#parts;
    const isRepeatable = this.run.served.isRepeatable;
    const answer = await this.#call(true, isRepeatable ? Math.min(handleMs, REPEATABLE_STOP_TIMEOUT_MS) : handleMs);
    this.#apply(this.#state.stopped(answer), answer.outcome);
    if (this.#state.phase === serving.RunPhase.Stopped) {
      this.#closeTimer = setTimeout(() => setImmediate(() => this.#cancelStream()), CLOSE_TIMEOUT_MS);
    }
  }

  /** An exception in a move fails this request at most; uncaught, it would end the daemon. */
  #onFault(error: unknown): void {
    const { id } = this.run.served;
    this.#parts.context.log.warn("run-move-fault", { id, detail: String(error) });
    this.#state.end(false);
    this.#followUp?.break();
  }

  #call(isLast: boolean, timeoutMs: number): Promise<serving.MoveAnswer> {
    const { calls, destination } = this.#parts;
    const { active, served } = this.run;
    return calls.move(active.endpoint, { requestId: served.id, target: destination.address, isLast }, timeoutMs);
  }

  /** Whether the run may still be stopped for its destination: both engines are as they were when the move began. */
  #mayContinue(): { readonly mayContinue: boolean; readonly reason: string } {
    const { context, destination } = this.#parts;
    const { active, served } = this.run;
    const { directory } = context.view;
    const isThere = directory.availableEndpoint(destination.id)?.address === destination.address;
    if (!isThere || !directory.isSameIncarnation(destination) || !served.mayGoOnAt(destination))
      return { mayContinue: false, reason: "destination-unusable" };
    if (!directory.isSameIncarnation(active.endpoint)) return { mayContinue: false, reason: "source-restarted" };
    // Resumed after an earlier event that has an id, the stream would bring the last one twice.
    if (!served.progress.isLastEventNamed) return { mayContinue: false, reason: "not-resumable" };
    return { mayContinue: true, reason: "copied" };
  }

  /** The source has said that the run is stopped; what is left of its stream here is brought again by the next engine. */
  #cancelStream(): void {
    if (this.#state.phase !== serving.RunPhase.Stopped) return;
    const { active, host } = this.run;
    active.cancel();
    if (host.end(active)) this.#apply(this.#state.cancelled(), "stream-open");
  }

  #resumeAt(endpoint: serving.Endpoint, isReturn: boolean): void {
    const { active, host } = this.run;
    const handle = this.#state.handle ?? "";
    const source = active.endpoint;
    const obstacle = isReturn ? this.#obstacleToReturn(source) : undefined;
    if (obstacle !== undefined) {
      this.#apply(this.#state.refused(), obstacle);
      return;
    }
    const resume = { source, handle, isReturn };
    host.resumeRun({ endpoint, stage: plannedSends.Stage.Answering, predictedMs: 0, plan: undefined, resume });
  }

  #obstacleToReturn(source: serving.Endpoint): string | undefined {
    // After a restart of the source the handle may name the run of another request.
    if (!this.#parts.context.view.directory.isSameIncarnation(source)) return "source-restarted";
    // An engine may exit at any time once its drain time is over, and must get nothing from then on.
    return performance.now() < this.#parts.returnBefore() ? undefined : "source-drained";
  }

  #break(): void {
    this.#parts.context.metrics.count("run_moves_failed");
    const { active, host } = this.run;
    if (this.#followUp !== undefined) this.#followUp.break();
    else host.broken(active, serving.SendOutcome.Unknown, "the run was stopped and can't go on");
  }

  #free(): void {
    const { handle } = this.#state;
    const { endpoint } = this.run.active;
    if (handle !== undefined && this.#parts.context.view.directory.isSameIncarnation(endpoint))
      this.#parts.calls.free(endpoint, handle);
  }

  #log(state: string, reason: string | undefined): void {
    const { context, destination } = this.#parts;
    const { active, served } = this.run;
    const now = performance.now();
    const { prompt } = served.caller.headers;
    context.log.info("run-move", {
      id: served.id,
      state,
      reason,
      source: active.endpoint.id,
      destination: destination.id,
      tokens: prompt?.promptTokens,
      events: served.progress.events,
      after: served.progress.lastEventId,
      tookMs: Math.round(now - this.#startedAt),
      stoppedMs: this.#stopSentAt === 0 ? undefined : Math.round(now - this.#stopSentAt),
    });
  }
}
