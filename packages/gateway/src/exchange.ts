import * as serving from "@camphorcourse/serving";
import type * as callerAnswers from "./callerAnswer.js";
import type * as callerRequests from "./callerRequest.js";
import type * as contexts from "./context.js";
import * as endpointFeedbacks from "./endpointFeedback.js";
import type * as ports from "./ports.js";
import * as prefillHandovers from "./prefillHandover.js";
import * as requestEnds from "./requestEnd.js";
import * as requestForwarders from "./requestForwarder.js";
import * as servedRequests from "./servedRequest.js";

/** Outcome in the log of a request whose stream can't go on, as nobody knows what began it. */
const UNKNOWN_ORIGIN = "stream-unknown";

/** Serves one request of a caller, from its arrival to its single final answer. */
export class Exchange {
  readonly #context: contexts.ServingContext;
  readonly #served: servedRequests.ServedRequest;
  readonly #feedback: endpointFeedbacks.EndpointFeedback;
  readonly #end: requestEnds.RequestEnd;
  readonly #forwarder: requestForwarders.RequestForwarder;
  #deadlineTimer: NodeJS.Timeout | undefined;

  /**
   * @param context - dependencies shared by all requests
   * @param request - the caller's request
   * @param route - the route that matched
   * @param body - the complete body
   * @param answer - the answer to the caller
   * @param access - on whose behalf the request is served
   */
  constructor(
    context: contexts.ServingContext,
    request: callerRequests.CallerRequest,
    route: serving.Route,
    body: Buffer,
    answer: callerAnswers.CallerAnswer,
    access: serving.Access,
  ) {
    this.#context = context;
    this.#served = new servedRequests.ServedRequest(context, request, route, body, access);
    this.#feedback = new endpointFeedbacks.EndpointFeedback(context, this.#served);
    this.#end = new requestEnds.RequestEnd(context, this.#served, answer, {
      onConclude: () => this.#forwarder.cancelSends(),
      onEnded: () => this.#onEnded(),
    });
    this.#forwarder = new requestForwarders.RequestForwarder({
      context,
      served: this.#served,
      handover: new prefillHandovers.PrefillHandover(context),
      feedback: this.#feedback,
      answer,
      end: this.#end,
    });
  }

  /** @returns whether a part of the answer has been sent to the caller */
  get answerHasBegun(): boolean {
    return this.#end.hasBegun;
  }

  /**
   * Rejects the request as not run if nothing of it has been sent to run, and keeps one from running whose prompt is being
   * prefilled: it is rejected as soon as that is over.
   *
   * @param reason - outcome in the log
   */
  endUnsent(reason: string): void {
    if (this.#forwarder.isUnsent) this.endNow(reason);
    else this.#forwarder.forbidRuns(reason);
  }

  /** Begins to serve the request. */
  start(): void {
    // After a pause of the process, timers run before pending socket reads: an answer that came in time would be
    // discarded in favour of a 504. setImmediate runs the deadline after the reads.
    const onTime = (): unknown => setImmediate(() => this.#onDeadline());
    this.#deadlineTimer = setTimeout(onTime, Math.max(0, this.#served.remainingMs));
    const { caller, route } = this.#served;
    const { resumption } = caller.headers;
    if (resumption === undefined || route.requestClass !== serving.RequestClass.Stream) this.#sendFirst();
    else this.#takeUp(resumption).catch((error: unknown) => this.#onFault(error));
  }

  #sendFirst(): void {
    this.#served.chooseService();
    this.#context.budgets.of(this.#served.service).noteRequest(performance.now());
    this.#forwarder.sendNext();
  }

  /** Goes on with a stream where it began, or rejects the request at once if that isn't known. */
  async #takeUp(resumption: ports.Resumption): Promise<void> {
    const { origin, isFinal } = await this.#context.streams.find(this.#served, resumption);
    if (this.#end.over) return;
    this.#served.noteStreamBegun(origin);
    if (origin !== undefined) this.#sendFirst();
    else if (isFinal) this.#end.rejectForGood(UNKNOWN_ORIGIN);
    else this.#end.reject(UNKNOWN_ORIGIN);
  }

  /** Handles that the caller has disconnected: the send under way is cancelled. */
  onCallerDisconnected(): void {
    this.#end.onCallerDisconnected();
  }

  /**
   * Ends the request at once. If it is proven not to have run, the caller is told to retry, otherwise that the answer is
   * lost. A stream that has begun is aborted.
   *
   * @param reason - outcome in the log
   */
  endNow(reason: string): void {
    this.#end.reject(reason);
  }

  /** An exception ends this request only; uncaught, it would end the daemon. */
  #onFault(error: unknown): void {
    this.#context.log.warn("request-fault", { id: this.#served.id, detail: String(error) });
    this.#end.reject("request-fault");
  }

  #onDeadline(): void {
    if (this.#end.over) return;
    const { active } = this.#forwarder;
    if (active !== undefined) this.#feedback.recordDeadline(active);
    this.#end.timeOut();
  }

  #onEnded(): void {
    clearTimeout(this.#deadlineTimer);
    this.#forwarder.stop();
  }
}
