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

/** One request of a caller, from its arrival to its one final answer. */
export class Exchange {
  readonly #context: contexts.ServingContext;
  readonly #served: servedRequests.ServedRequest;
  readonly #lessons: endpointFeedbacks.EndpointFeedback;
  readonly #end: requestEnds.RequestEnd;
  readonly #course: requestForwarders.RequestForwarder;
  #deadlineTimer: NodeJS.Timeout | undefined;

  /**
   * @param context - what serving needs
   * @param request - the caller's request
   * @param route - its route
   * @param body - its whole body
   * @param answer - takes the answer
   */
  constructor(
    context: contexts.ServingContext,
    request: callerRequests.CallerRequest,
    route: serving.Route,
    body: Buffer,
    answer: callerAnswers.CallerAnswer,
  ) {
    this.#context = context;
    this.#served = new servedRequests.ServedRequest(context, request, route, body);
    this.#lessons = new endpointFeedbacks.EndpointFeedback(context, this.#served);
    this.#end = new requestEnds.RequestEnd(context, this.#served, answer, () => this.#onOver());
    this.#course = new requestForwarders.RequestForwarder({
      context,
      served: this.#served,
      memory: new prefillHandovers.PrefillHandover(context),
      lessons: this.#lessons,
      answer,
      end: this.#end,
    });
  }

  /** @returns whether a part of the answer has left */
  get answerHasBegun(): boolean {
    return this.#end.hasBegun;
  }

  /** @returns whether nothing has run yet and nothing that may is on its way */
  get isUnsent(): boolean {
    return !this.#mayHaveRun();
  }

  /** Begins to serve the request. */
  start(): void {
    // After a standstill timers have their turn before sockets: an answer that came in time would be thrown away for 504.
    // What is put off to the end of the loop's turn comes after the sockets.
    const onTime = (): unknown => setImmediate(() => this.#onDeadline());
    this.#deadlineTimer = setTimeout(onTime, Math.max(0, this.#served.remainingMs));
    this.#served.chooseService();
    this.#context.budgets.of(this.#served.service).request(performance.now());
    this.#course.sendNext();
  }

  /** The caller has left: what runs for it is cancelled. */
  callerLeft(): void {
    this.#end.callerLeft();
  }

  /**
   * Gives the request its true final answer at once: to come back if nothing of
   * it can have run, else that its answer is lost. A stream is broken off.
   *
   * @param reason - why, for the log
   */
  endNow(reason: string): void {
    if (this.#end.over) return;
    if (this.#mayHaveRun()) this.#end.give(BAD_GATEWAY, reason, "the request may have run and its answer is lost");
    else this.#end.reject(reason);
  }

  #onDeadline(): void {
    if (this.#end.over) return;
    const { active } = this.#course;
    const ran = this.#mayHaveRun();
    if (active !== undefined) this.#lessons.recordResult(active, serving.SendResult.Silent);
    this.#end.timeUp(ran);
  }

  /** @returns whether a send may have run the request, the one under way included */
  #mayHaveRun(): boolean {
    const { active } = this.#course;
    const runs = active?.stage === sendChoosers.Stage.Answering && active.wasDispatched;
    return this.#served.mayHaveRun || runs;
  }

  #onOver(): void {
    clearTimeout(this.#deadlineTimer);
    this.#course.stop();
  }
}
