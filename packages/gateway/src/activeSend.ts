import * as serving from "@camphorcourse/serving";
import type * as callerAnswers from "./callerAnswer.js";
import type * as contexts from "./context.js";
import type * as sendings from "./sending.js";
import * as plannedSends from "./sends/plannedSend.js";
import type * as servedRequests from "./servedRequest.js";
import * as silenceWatches from "./silenceWatch.js";

/** Time after the first event of an answer within which its begin may still crash the engine, in milliseconds. */
const BEGIN_OF_ANSWER_MS = 1_000;

/** How much of a request has been sent, as fields of log lines. */
export interface DispatchFields {
  /** Time from the decision until the request was handed to its connection in milliseconds, if it was. */
  readonly leftAfterMs: number | undefined;
  /** Bytes of it that are still buffered here. */
  readonly unsentBytes: number;
}

/** One send of a request to an endpoint, while it is in flight. */
export class ActiveSend implements plannedSends.PlannedSend {
  readonly endpoint: serving.Endpoint;
  readonly stage: plannedSends.Stage;
  readonly predictedMs: number;
  readonly plan: serving.EnginePlan | undefined;
  readonly resume?: plannedSends.ResumedRun;
  /** The send in the ledger of its request. */
  readonly entry: serving.LedgerEntry;
  /** When it was decided on, in milliseconds. */
  readonly sentAt: number;
  /** Requests of all daemons that run at the endpoint after the send, this one included, as far as is known. */
  readonly runningAtSend: number;
  readonly #context: contexts.ServingContext;
  readonly #silence: silenceWatches.SilenceWatch;
  /** Tokens that count as held at the endpoint while the send is under way. */
  readonly #heldTokens: number;
  #pendingPrefill: serving.PendingPrefill | undefined;
  #request: sendings.InFlightRequest | undefined;
  #firstEventAt: number | undefined;
  readonly #pauseMs: number;
  #paced: serving.PacedStream | undefined;
  #isHeldBack = false;
  #onReleased: () => void = () => undefined;

  /**
   * @param context - what serving needs
   * @param served - the request
   * @param planned - the send that was decided on
   */
  constructor(
    context: contexts.ServingContext,
    served: servedRequests.ServedRequest,
    planned: plannedSends.PlannedSend,
  ) {
    this.#context = context;
    this.endpoint = planned.endpoint;
    this.stage = planned.stage;
    this.predictedMs = planned.predictedMs;
    this.plan = planned.plan;
    if (planned.resume !== undefined) this.resume = planned.resume;
    const isPrefill = planned.stage === plannedSends.Stage.Prefill;
    const kind = isPrefill ? serving.SendKind.Prefill : serving.SendKind.Run;
    this.entry = served.ledger.open(planned.endpoint.id, kind);
    this.sentAt = performance.now();
    this.#pauseMs = served.route.pauseMs;
    this.runningAtSend = context.loads.runningRequests(planned.endpoint.id, this.sentAt) + 1;
    const { plan, endpoint } = planned;
    this.#pendingPrefill =
      plan === undefined ? undefined : context.loads.beginPrefill(endpoint.id, plan.workTokens, plan.urgency);
    if (this.#pendingPrefill !== undefined) context.pacing.noteSend(endpoint, this.#pendingPrefill);
    this.#heldTokens = heldTokensOf(context, served, planned);
    this.#silence = new silenceWatches.SilenceWatch(context, served, planned, this.sentAt);
  }

  /** @returns whether a part of the request may have been sent to the endpoint */
  get wasDispatched(): boolean {
    return this.#request?.wasDispatched === true;
  }

  /** @returns whether the path over which it was sent has failed, without a sign of the endpoint since */
  get isPathLost(): boolean {
    return this.#request?.isPathLost === true;
  }

  /** @returns how much of the request has been sent, for the log */
  get dispatchFields(): DispatchFields {
    const { dispatchedAt, unsentBytes } = this.#request ?? {};
    return {
      leftAfterMs: dispatchedAt === undefined ? undefined : Math.round(dispatchedAt - this.sentAt),
      unsentBytes: unsentBytes ?? 0,
    };
  }

  /**
   * Sends the request; the receiver may be called before this returns.
   *
   * @param message - what to send
   * @param receiver - receives the answer
   * @param onSilent - called while the endpoint is silent, with the time since this send's last event in milliseconds
   */
  start(
    message: sendings.OutgoingRequest,
    receiver: sendings.AnswerReceiver,
    onSilent: (silentMs: number) => void,
  ): void {
    this.#context.loads.beginRequest(this.endpoint.id, this.#heldTokens);
    // Nothing is read while the caller reads too slowly, so that silence says nothing.
    this.#silence.start(
      () => this.isPathLost,
      (silentMs) => {
        if (!this.#isHeldBack) onSilent(silentMs);
      },
    );
    this.#request = this.#context.client.send(this.endpoint, message, receiver);
  }

  /**
   * Takes the prefill off the engine's pending work once the prompt has been read.
   *
   * @returns whether the prefill was still pending
   */
  finishPrefill(): boolean {
    if (this.#pendingPrefill === undefined) return false;
    this.#context.loads.endPrefill(this.#pendingPrefill);
    this.#pendingPrefill = undefined;
    this.#firstEventAt ??= performance.now();
    return true;
  }

  /** @returns whether this is the first event of the send */
  markFirstEvent(): boolean {
    const first = this.#firstEventAt === undefined;
    this.#firstEventAt ??= performance.now();
    return first;
  }

  /** Records an event of an engine's stream, from which its pace is learned unless the caller holds it back. */
  recordEvent(): void {
    const { pacing } = this.#context;
    this.#paced ??= pacing.beginStream(this.endpoint, this.#pauseMs);
    if (!this.#isHeldBack) pacing.recordEvent(this.#paced);
  }

  /** @returns whether it has brought an event */
  get hasEvents(): boolean {
    return this.#firstEventAt !== undefined;
  }

  /** @returns whether the endpoint has written events of the answer for so long that its begin is over */
  get hasWrittenForLong(): boolean {
    return this.#firstEventAt !== undefined && performance.now() - this.#firstEventAt > BEGIN_OF_ANSWER_MS;
  }

  /**
   * Stops reading from the endpoint until a slow caller has read what was written, so that answers don't pile up in
   * memory.
   *
   * @param answer - the answer to the caller
   */
  applyBackpressure(answer: callerAnswers.CallerAnswer): void {
    this.#request?.pause();
    this.#isHeldBack = true;
    if (this.#paced !== undefined) this.#context.pacing.suspend(this.#paced);
    answer.onDrain(() => {
      this.#isHeldBack = false;
      this.#request?.resume();
    });
  }

  /** Closes the connection, upon which the endpoint drops the request. */
  cancel(): void {
    this.#request?.cancel();
    this.entry.settle(this.wasDispatched ? serving.SendFate.Unanswered : serving.SendFate.Unsent);
  }

  /** @param onReleased - called once the send is over, to drop what is held of its answer */
  onReleased(onReleased: () => void): void {
    this.#onReleased = onReleased;
  }

  /** Takes the work of a send that is over off its endpoint. */
  release(): void {
    this.#onReleased();
    this.finishPrefill();
    this.#context.loads.endRequest(this.endpoint.id, this.#heldTokens);
    if (this.#paced !== undefined) this.#context.pacing.endStream(this.#paced);
    this.#silence.stop();
  }
}

/** What a request holds of an engine's memory at most: its prompt, and the requested output where it is answered. */
function heldTokensOf(
  { settings, view }: contexts.ServingContext,
  { caller, service }: servedRequests.ServedRequest,
  { stage }: plannedSends.PlannedSend,
): number {
  const { prompt } = caller.headers;
  const isCounted = settings.memoryBytes !== undefined && view.table?.service(service)?.engine !== undefined;
  if (!isCounted || prompt === undefined) return 0;
  return prompt.promptTokens + (stage === plannedSends.Stage.Prefill ? 0 : prompt.outputTokens);
}
