import * as serving from "@camphorcourse/serving";
import type * as callerAnswers from "./callerAnswer.js";
import type * as callerRequests from "./callerRequest.js";
import type * as contexts from "./context.js";
import * as endpointFeedbacks from "./endpointFeedback.js";
import * as prefillHandovers from "./prefillHandover.js";
import * as requestEnds from "./requestEnd.js";
import * as sendChoosers from "./sendChooser.js";
import * as requestForwarders from "./requestForwarder.js";
import * as servedRequests from "./servedRequest.js";

const BAD_GATEWAY = 502;

/** Characters of the id of another request that are kept for the log. */
const MAX_LOGGED_ID_LENGTH = 60;

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
    this.#end = new requestEnds.RequestEnd(context, this.#served, answer, () => this.#onEnded());
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

  /** @returns whether nothing has run yet, and nothing that may run has been sent to an endpoint */
  get isUnsent(): boolean {
    return !this.#mayHaveRun();
  }

  /** Begins to serve the request. */
  start(): void {
    // After a pause of the process, timers run before pending socket reads: an answer that came in time would be
    // discarded in favour of a 504. setImmediate runs the deadline after the reads.
    const onTime = (): unknown => setImmediate(() => this.#onDeadline());
    this.#deadlineTimer = setTimeout(onTime, Math.max(0, this.#served.remainingMs));
    this.#logTakenUp();
    this.#served.chooseService();
    this.#context.budgets.of(this.#served.service).noteRequest(performance.now());
    this.#forwarder.sendNext();
  }

  /** Handles that the caller has disconnected: the send under way is cancelled. */
  onCallerDisconnected(): void {
    this.#end.onCallerDisconnected();
  }

  /**
   * Ends the request at once. If nothing of it can have run, the caller is told to retry, otherwise that the answer is
   * lost. A stream that has begun is aborted.
   *
   * @param reason - outcome in the log
   */
  endNow(reason: string): void {
    if (this.#end.over) return;
    if (this.#mayHaveRun()) this.#end.fail(BAD_GATEWAY, reason, "the request may have run and its answer is lost");
    else this.#end.reject(reason);
  }

  #logTakenUp(): void {
    const { caller, id, route } = this.#served;
    const { resumption } = caller.headers;
    if (resumption === undefined || route.requestClass !== serving.RequestClass.Stream) return;
    this.#context.metrics.count("streams_taken_up");
    this.#context.log.info("stream-taken-up", {
      id,
      attempt: resumption.attemptId?.slice(0, MAX_LOGGED_ID_LENGTH),
      after: resumption.lastEventId?.slice(0, MAX_LOGGED_ID_LENGTH),
      route: route.name,
    });
  }

  #onDeadline(): void {
    if (this.#end.over) return;
    const { active } = this.#forwarder;
    const mayHaveRun = this.#mayHaveRun();
    if (active !== undefined) this.#feedback.recordResult(active, serving.SendResult.Silent);
    this.#end.timeOut(mayHaveRun);
  }

  /** @returns whether a send may have run the request, including the one under way */
  #mayHaveRun(): boolean {
    const { active } = this.#forwarder;
    const mayBeRunning = active?.stage === sendChoosers.Stage.Answering && active.wasDispatched;
    return this.#served.mayHaveRun || mayBeRunning;
  }

  #onEnded(): void {
    clearTimeout(this.#deadlineTimer);
    this.#forwarder.stop();
  }
}
