import type * as serving from "@camphorcourse/serving";

/** Headers of an answer by lower-case name. */
export type AnswerHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** A request to an endpoint. */
export interface OutgoingRequest {
  readonly method: string;
  readonly path: string;
  /** Names and values by turns. */
  readonly headers: string[];
  readonly body: Buffer | undefined;
  /** Instant from which it is not sent any more, in milliseconds, where there is one. */
  readonly sendBefore?: number;
}

/** Takes an answer as it comes. */
export interface AnswerReceiver {
  /** @returns false to break the connection: the answer isn't for this request */
  onHead(status: number, headers: AnswerHeaders): boolean;
  onData(chunk: Buffer): void;
  /** The whole answer has come. */
  onEnd(): void;
  /**
   * @param fate - whether the request may have run
   * @param detail - what went wrong
   */
  onBroken(fate: serving.SendFate, detail: string): void;
}

/** A send that is under way. */
export interface InFlightRequest {
  /** Whether a part of the request may have left; before, its connection is being opened. */
  readonly wasDispatched: boolean;
  /** Instant at which the request was handed to its connection, in milliseconds, once it was. */
  readonly dispatchedAt: number | undefined;
  /** Bytes that the connection has been given and has not taken yet: its link or the endpoint is slow. */
  readonly unsentBytes: number;
  /** Closes the connection; the endpoint drops the request. */
  cancel(): void;
  /** Reads no more of the answer until {@link InFlightRequest.resume}. */
  pause(): void;
  resume(): void;
}
