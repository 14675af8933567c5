import type * as net from "node:net";
import * as serving from "@camphorcourse/serving";
import type * as undici from "undici";
import type * as sendings from "./sending.js";
import type * as connectionPools from "./endpointConnectionPool.js";
import * as pendingReads from "./pendingReads.js";

/** What one send needs. */
export interface SendParts {
  readonly pool: connectionPools.EndpointConnectionPool;
  readonly request: sendings.OutgoingRequest;
  readonly receiver: sendings.AnswerReceiver;
  /** Whether the event loop lags, so that the socket events it processes may be old. */
  readonly isLoopLagging: () => boolean;
  /** Whether the endpoint still takes the request; asked again once the connection is ready. */
  readonly mayDispatch: () => boolean;
  /** Called when the answer exceeds a bound, before its connection is closed. */
  readonly onOversized: () => void;
  /** Called when its connection breaks, with whether the request had been sent, or can't be established. */
  readonly onBroken: (wasDispatched: boolean) => void;
}

/** Lowest final status code; lower ones are informational and precede it. */
const MIN_FINAL_STATUS = 200;

/** One request over a pooled connection, and its answer. */
export class EndpointSend implements Omit<sendings.InFlightRequest, "isPathLost"> {
  readonly #parts: SendParts;
  readonly #connection: connectionPools.PooledConnection;
  readonly #framing = new serving.AnswerFraming();
  #bytesReadBefore = 0;
  #deferredDispatch: pendingReads.DeferredStep | undefined;
  #controller: undici.Dispatcher.DispatchController | undefined;
  #dispatchedAt: number | undefined;
  #isWithheld = false;
  #over = false;

  /**
   * Acquires a connection and sends the request.
   *
   * While the event loop lags, a caller's request is sent only after the pending socket events have been processed.
   * The loop handles events in the order in which they arrived, so it may handle an endpoint's answer, or the request
   * itself, before the disconnect of the caller, and the endpoint would work for nobody. A caller's disconnect cancels
   * this send before anything of it is sent. A loop without lag sends at once, as each deferred turn delays the answer.
   *
   * @param parts - what the send needs
   */
  constructor(parts: SendParts) {
    this.#parts = parts;
    this.#connection = parts.pool.acquire(parts.request.answerId);
    const isForCaller = parts.request.sendBefore !== undefined;
    if (!isForCaller || !parts.isLoopLagging()) this.#dispatch();
    else this.#deferredDispatch = new pendingReads.DeferredStep(() => this.#dispatch());
  }

  /** {@inheritDoc sendings.InFlightRequest.wasDispatched} */
  get wasDispatched(): boolean {
    return this.#dispatchedAt !== undefined;
  }

  /** {@inheritDoc sendings.InFlightRequest.dispatchedAt} */
  get dispatchedAt(): number | undefined {
    return this.#dispatchedAt;
  }

  /** {@inheritDoc sendings.InFlightRequest.unsentBytes} */
  get unsentBytes(): number {
    return this.#connection.socket?.writableLength ?? 0;
  }

  /** {@inheritDoc sendings.InFlightRequest.cancel} */
  cancel(): void {
    if (this.#over) return;
    if (this.#deferredDispatch?.cancel() === true) {
      this.#over = true;
      this.#parts.pool.release(this.#connection, performance.now());
      return;
    }
    // Discarded before the abort, which reports an error synchronously; that error says nothing about the endpoint.
    this.#discard();
    this.#controller?.abort(new Error("cancelled"));
  }

  /** {@inheritDoc sendings.InFlightRequest.pause} */
  pause(): void {
    this.#controller?.pause();
  }

  /** {@inheritDoc sendings.InFlightRequest.resume} */
  resume(): void {
    this.#controller?.resume();
  }

  #dispatch(): void {
    const { method, path, createHeaders, body } = this.#parts.request;
    const options = {
      method: method as undici.Dispatcher.HttpMethod,
      path,
      headers: createHeaders(),
      body: body ?? null,
    };
    this.#connection.client.dispatch(options, {
      onRequestStart: (controller) => this.#onStart(controller),
      onResponseStart: (_controller, status, answerHeaders) => this.#onHead(status, answerHeaders),
      onResponseData: (_controller, chunk) => this.#onData(chunk),
      onResponseEnd: () => this.#onEnd(),
      onResponseError: (_controller, error) => this.#onError(error),
    });
  }

  #onStart(controller: undici.Dispatcher.DispatchController): void {
    this.#controller = controller;
    const now = performance.now();
    if (this.#over) {
      controller.abort(new Error("cancelled"));
      return;
    }
    if (!this.#parts.mayDispatch()) {
      this.#isWithheld = true;
      controller.abort(new Error("the endpoint takes nothing now"));
      return;
    }
    // After a pause of the process, the connection may become ready only after the deadline: the endpoint would run the
    // request for a caller that no longer waits.
    if (now < (this.#parts.request.sendBefore ?? Infinity)) {
      this.#dispatchedAt = now;
      this.#bytesReadBefore = this.#connection.socket?.bytesRead ?? 0;
      this.#connection.onReadable = (socket) => this.#onReadable(socket);
    } else controller.abort(new Error("the connection was established after the request's deadline"));
  }

  #onHead(status: number, headers: sendings.AnswerHeaders): void {
    if (this.#over || status < MIN_FINAL_STATUS) return;
    this.#noteReceived();
    if (!this.#parts.receiver.onHead(status, headers)) {
      this.#break(serving.SendOutcome.Unknown, "the answer belongs to another request");
    }
  }

  #onData(chunk: Buffer): void {
    if (this.#over) return;
    this.#noteReceived();
    this.#framing.noteBody(chunk.length);
    if (!this.#parts.receiver.onData(chunk)) this.#breakOversized("the answer is larger than may be buffered");
  }

  /** Checks what has arrived before the HTTP client parses it. */
  #onReadable(socket: net.Socket): void {
    if (!this.#over && !this.#framing.noteReceived(socket.bytesRead - this.#bytesReadBefore))
      this.#breakOversized("the answer has too many bytes beside its body");
  }

  #breakOversized(detail: string): void {
    if (this.#over) return;
    this.#parts.onOversized();
    this.#break(serving.SendOutcome.Unknown, detail);
  }

  #onEnd(): void {
    if (this.#connection.reset)
      this.#break(serving.SendOutcome.Unknown, "the connection was reset before the answer was complete");
    if (this.#over) return;
    this.#over = true;
    this.#noteReceived();
    this.#parts.pool.release(this.#connection, this.#parts.pool.lastReceivedAt);
    this.#parts.receiver.onEnd();
  }

  #onError(error: Error): void {
    if (!this.#over) this.#parts.onBroken(this.wasDispatched);
    this.#break(this.#outcome, error.message);
  }

  get #outcome(): serving.SendOutcome {
    if (this.wasDispatched) return serving.SendOutcome.Unknown;
    return this.#isWithheld ? serving.SendOutcome.Withheld : serving.SendOutcome.NotSent;
  }

  #noteReceived(): void {
    this.#parts.pool.noteReceived(performance.now());
  }

  #discard(): void {
    if (this.#over) return;
    this.#over = true;
    this.#parts.pool.discard(this.#connection);
  }

  #break(outcome: serving.SendOutcome, detail: string): void {
    if (this.#over) return;
    this.#discard();
    this.#parts.receiver.onBroken(outcome, detail);
  }
}
