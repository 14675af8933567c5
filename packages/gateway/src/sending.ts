import type * as serving from "@camphorcourse/serving";

/** Headers of an answer by lower-case name. */
export type AnswerHeaders = Readonly<Record<string, string | string[] | undefined>>;

/**
 * @param headers - headers of an endpoint's answer
 * @returns whether they delimit the body; otherwise it ends where the connection closes
 */
export function isFramed(headers: AnswerHeaders): boolean {
  return headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
}

/** A request to an endpoint. */
export interface OutgoingRequest {
  readonly method: string;
  readonly path: string;
  /** @returns alternating names and values, with the time that is left now */
  readonly createHeaders: () => string[];
  readonly body: Buffer | undefined;
  readonly call: serving.AnsweredCall;
  /** Id that it carries, which its answer names; undefined if it carries none, so that its answer names none. */
  readonly answerId: string | undefined;
  /** Whether it has a connection of its own, as its answer doesn't tell to which call it belongs. */
  readonly usesOwnConnection?: boolean;
  /** Instant from which it must not be sent any more, in milliseconds, if there is one. */
  readonly sendBefore?: number;
  /** Id of the caller's request; present if a peer may send the request in place of this daemon. */
  readonly passOnAs?: string;
}

/** Receives an answer as it arrives. */
export interface AnswerReceiver {
  /** @returns false to close the connection because the answer isn't for this request */
  onHead(status: number, headers: AnswerHeaders): boolean;
  /** @returns false to close the connection because the answer is larger than may be buffered */
  onData(chunk: Buffer): boolean;
  /** The answer is complete. */
  onEnd(): void;
  /**
   * The connection broke before the answer was complete.
   *
   * @param outcome - whether the request may have run
   * @param detail - what went wrong
   */
  onBroken(outcome: serving.SendOutcome, detail: string): void;
}

/** Called with status and headers of the answer to a request. */
export type AnswerObserver = (status: number, headers: AnswerHeaders) => void;

/** Guards all requests to endpoints and observes their answers, whichever part of the gateway sends them. */
export interface TrafficGuard {
  /**
   * @param endpoint - where a request is to be sent
   * @param call - kind of the request
   * @returns whether the endpoint may get it now, by what it has said of itself
   */
  mayReceive(endpoint: serving.Endpoint, call: serving.AnsweredCall): boolean;
  /**
   * Decides whose answer has come, before anything of it is read: an endpoint may answer an earlier request a second time, in
   * the place of the next answer.
   *
   * @param endpoint - where a request was sent
   * @param request - the request
   * @param status - status of an answer that has come on its connection
   * @param headers - headers of that answer
   * @returns whether it is the answer to the request
   */
  isAnswerTo(
    endpoint: serving.Endpoint,
    request: Pick<OutgoingRequest, "answerId" | "call">,
    status: number,
    headers: AnswerHeaders,
  ): boolean;
  /**
   * @param endpoint - where a request is sent now
   * @param request - the request
   * @returns called with the answer
   */
  onSend(endpoint: serving.Endpoint, request: OutgoingRequest): AnswerObserver;
  /**
   * @param endpoint - where a request of a peer is sent now, which the peer counts towards limits
   * @returns called with the answer
   */
  onSendForPeer(endpoint: serving.Endpoint): AnswerObserver;
}

/** A request that is being sent to an endpoint, or waits for its answer. */
export interface InFlightRequest {
  /** Whether a part of the request may have been sent; before that, its connection is being opened. */
  readonly wasDispatched: boolean;
  /** Instant at which the request was handed to its connection, in milliseconds, or undefined before that. */
  readonly dispatchedAt: number | undefined;
  /** Whether it was sent over a path that has failed since, without a sign of the endpoint. */
  readonly isPathLost: boolean;
  /** Bytes buffered for the connection but not yet sent: its link or the endpoint is slow. */
  readonly unsentBytes: number;
  /** Closes the connection, upon which the endpoint drops the request. */
  cancel(): void;
  /** Stops reading the answer until {@link InFlightRequest.resume}. */
  pause(): void;
  resume(): void;
}
