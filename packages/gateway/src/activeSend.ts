import * as serving from "@camphorcourse/serving";
import type * as callerAnswers from "./callerAnswer.js";
import type * as contexts from "./context.js";
import type * as sendings from "./sending.js";
import type * as sendChoosers from "./sendChooser.js";
import type * as servedRequests from "./servedRequest.js";
import * as silenceWatches from "./silenceWatch.js";

/** When the bytes of a send left, as log lines tell it. */
export interface Departure {
  /** Time from the decision until the request was handed to its connection in milliseconds, if it was. */
  readonly leftAfterMs: number | undefined;
  /** Bytes of it that are still here. */
  readonly unsentBytes: number;
}

/** One send to an endpoint, while it is under way. */
export class ActiveSend implements sendChoosers.PlannedSend {
  readonly endpoint: serving.Endpoint;
  readonly stage: sendChoosers.Stage;
  readonly predictedMs: number;
  readonly plan: serving.EnginePlan | undefined;
  /** When it was sent, in milliseconds. */
  readonly sentAt: number;
  readonly #context: contexts.ServingContext;
  readonly #silence: silenceWatches.SilenceWatch;
  #read: serving.PendingRead | undefined;
  #sending: sendings.InFlightRequest | undefined;
  #begun = false;

  /**
   * @param context - what serving needs
   * @param served - the request
   * @param planned - the send that was decided on
   */
  constructor(
    context: contexts.ServingContext,
    served: servedRequests.ServedRequest,
    planned: sendChoosers.PlannedSend,
  ) {
    this.#context = context;
    this.endpoint = planned.endpoint;
    this.stage = planned.stage;
    this.predictedMs = planned.predictedMs;
    this.plan = planned.plan;
    this.sentAt = performance.now();
    const { plan, endpoint } = planned;
    this.#read = plan === undefined ? undefined : context.board.beginRead(endpoint.id, plan.workTokens, plan.level);
    this.#silence = new silenceWatches.SilenceWatch(context, served, planned, this.sentAt);
  }

  /** @returns whether a part of the request may have left for the endpoint */
  get wasDispatched(): boolean {
    return this.#sending?.wasDispatched === true;
  }

  /** @returns when its bytes left, for the log */
  get departure(): Departure {
    const { dispatchedAt: leftAt, unsentBytes } = this.#sending ?? {};
    return {
      leftAfterMs: leftAt === undefined ? undefined : Math.round(leftAt - this.sentAt),
      unsentBytes: unsentBytes ?? 0,
    };
  }

  /**
   * Sends; the answer may come before this returns.
   *
   * @param message - what to send
   * @param receiver - takes the answer
   * @param onSilent - called while the endpoint is silent, with how long the send has been, in milliseconds
   */
  begin(
    message: sendings.OutgoingRequest,
    receiver: sendings.AnswerReceiver,
    onSilent: (silentMs: number) => void,
  ): void {
    this.#context.board.beginRun(this.endpoint.id);
    this.#silence.start(onSilent);
    this.#sending = this.#context.client.send(this.endpoint, message, receiver);
  }

  /**
   * The prompt has been read: the engine has that work no more.
   *
   * @returns whether it was still being read
   */
  finishPrefill(): boolean {
    if (this.#read === undefined) return false;
    this.#context.board.endRead(this.#read);
    this.#read = undefined;
    this.#begun = true;
    return true;
  }

  /** @returns whether this is the first event of the send */
  markFirstEvent(): boolean {
    const first = !this.#begun;
    this.#begun = true;
    return first;
  }

  /**
   * A caller that reads slowly holds the endpoint back, instead of filling memory here.
   *
   * @param answer - the caller's answer
   */
  applyBackpressure(answer: callerAnswers.CallerAnswer): void {
    this.#sending?.pause();
    answer.onDrain(() => this.#sending?.resume());
  }

  /** Closes the connection; the endpoint drops the request. */
  cancel(): void {
    this.#sending?.cancel();
  }

  /** The send is over: its work is taken off the endpoint. */
  release(): void {
    this.finishPrefill();
    this.#context.board.endRun(this.endpoint.id);
    this.#silence.stop();
  }
}
