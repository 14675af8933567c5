import * as serving from "@camphorcourse/serving";
import type * as activeSends from "./activeSend.js";
import type * as callerAnswers from "./callerAnswer.js";
import type * as contexts from "./context.js";
import type * as endpointFeedbacks from "./endpointFeedback.js";
import type * as prefillHandovers from "./prefillHandover.js";
import type * as requestEnds from "./requestEnd.js";
import type * as servedRequests from "./servedRequest.js";

/** What the sends of one request and the receivers of their answers share. */
export interface ExchangeParts {
  readonly context: contexts.ServingContext;
  readonly served: servedRequests.ServedRequest;
  readonly memory: prefillHandovers.PrefillHandover;
  readonly lessons: endpointFeedbacks.EndpointFeedback;
  readonly answer: callerAnswers.CallerAnswer;
  readonly end: requestEnds.RequestEnd;
}

/** Takes what came of a send. */
export interface SendResults {
  /**
   * The send is over; nothing more is taken from it.
   *
   * @param active - the send
   * @returns whether its result counts: it was under way and the request is not over
   */
  end(active: activeSends.ActiveSend): boolean;
  /**
   * @param active - a send that gave no answer to pass on
   * @param fate - whether the request may have run
   * @param detail - what went wrong
   */
  failed(active: activeSends.ActiveSend, fate: serving.SendFate, detail: string): void;
  /**
   * The connection of a send broke: its endpoint may have ended.
   *
   * @param active - the send
   * @param fate - whether the request may have run
   * @param detail - what went wrong
   */
  broken(active: activeSends.ActiveSend, fate: serving.SendFate, detail: string): void;
  /** The request goes on with another send. */
  sendNext(): void;
}

/** A send and all that the receiver of its answer needs. */
export interface AnsweredSend extends ExchangeParts {
  readonly active: activeSends.ActiveSend;
  readonly results: SendResults;
}
