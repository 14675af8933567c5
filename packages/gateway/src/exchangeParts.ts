import * as serving from "@camphorcourse/serving";
import type * as activeSends from "./activeSend.js";
import type * as callerAnswers from "./callerAnswer.js";
import type * as contexts from "./context.js";
import type * as endpointFeedbacks from "./endpointFeedback.js";
import type * as prefillHandovers from "./prefillHandover.js";
import type * as requestEnds from "./requestEnd.js";
import type * as servedRequests from "./servedRequest.js";

/** Objects of one exchange that its sends and the receivers of their answers share. */
export interface ExchangeParts {
  readonly context: contexts.ServingContext;
  readonly served: servedRequests.ServedRequest;
  readonly handover: prefillHandovers.PrefillHandover;
  readonly feedback: endpointFeedbacks.EndpointFeedback;
  readonly answer: callerAnswers.CallerAnswer;
  readonly end: requestEnds.RequestEnd;
}

/** Handles the result of a send. */
export interface SendResultHandler {
  /**
   * Ends a send; nothing more is accepted from it.
   *
   * @param active - the send
   * @returns whether its result counts: the send was under way and the request has not ended
   */
  end(active: activeSends.ActiveSend): boolean;
  /**
   * Handles a send that gave no answer to forward.
   *
   * @param active - the send
   * @param outcome - whether the request may have run
   * @param detail - what went wrong
   */
  failed(active: activeSends.ActiveSend, outcome: serving.SendOutcome, detail: string): void;
  /**
   * Handles a send whose connection broke, possibly because its endpoint crashed.
   *
   * @param active - the send
   * @param outcome - whether the request may have run
   * @param detail - what went wrong
   */
  broken(active: activeSends.ActiveSend, outcome: serving.SendOutcome, detail: string): void;
  /**
   * Cancels the other sends of the request, as one has brought a part of the answer.
   *
   * @param active - that send
   */
  settle(active: activeSends.ActiveSend): void;
  /** Whether a send is in flight whose endpoint isn't known to have ended: the answer may still come from there. */
  readonly isAnswerAwaited: boolean;
  /** Whether a run has been sent and is in flight, so that the request needs no other. */
  readonly isRunUnderWay: boolean;
  /** Continues the request with another send. */
  sendNext(): void;
}

/** A send, with everything that the receiver of its answer needs. */
export interface AnsweredSend extends ExchangeParts {
  readonly active: activeSends.ActiveSend;
  readonly results: SendResultHandler;
}
