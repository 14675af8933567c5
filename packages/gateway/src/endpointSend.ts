import * as serving from "@camphorcourse/serving";
import type * as undici from "undici";
import type * as sendings from "./sending.js";
import type * as endpointLanes from "./endpointLanes.js";
import * as socketTurns from "./socketTurn.js";

/** What one send works with. */
export interface SendParts {
  readonly lanes: endpointLanes.EndpointLanes;
  readonly request: sendings.OutgoingRequest;
  readonly receiver: sendings.AnswerReceiver;
  /** Whether the event loop is late, so that what it hears may be old. */
  readonly isLate: () => boolean;
  /** Called when its connection breaks. */
  readonly onBroken: () => void;
}

/** Final status codes; lower ones only announce them. */
const FINAL_FROM = 200;

/** One request on its way to an endpoint, and its answer on the way back. */
export class EndpointSend implements sendings.InFlightRequest {
  readonly #parts: SendParts;
  readonly #lane: endpointLanes.Lane;
  #waiting: socketTurns.WaitingStep | undefined;
  #controller: undici.Dispatcher.DispatchController | undefined;
  #leftAt: number | undefined;
  #over = false;

  /**
   * Takes a connection and sends.
   *
   * What a late event loop sends for a caller waits for the sockets' turn: it hears of an endpoint's answer, or of the
   * request itself, before it hears that the caller has left, and the endpoint would work for nobody. Whoever learns
   * that the caller has left cancels this send, and nothing of it leaves. A loop that is on time sends at once: each
   * turn that a request waits for makes its answer later.
   *
   * @param parts - what it works with
   */
  constructor(parts: SendParts) {
    this.#parts = parts;
    this.#lane = parts.lanes.take();
    const isForCaller = parts.request.sendBefore !== undefined;
    if (!isForCaller || !parts.isLate()) this.#dispatch();
    else this.#waiting = new socketTurns.WaitingStep(() => this.#dispatch());
  }

  /** {@inheritDoc sendings.Sending.hasLeft} */
  get wasDispatched(): boolean {
    return this.#leftAt !== undefined;
  }

  /** {@inheritDoc sendings.Sending.leftAt} */
  get dispatchedAt(): number | undefined {
    return this.#leftAt;
  }

  /** {@inheritDoc sendings.Sending.unsentBytes} */
  get unsentBytes(): number {
    return this.#lane.socket?.writableLength ?? 0;
  }

  /** {@inheritDoc sendings.Sending.cancel} */
  cancel(): void {
    if (this.#over) return;
    if (this.#waiting?.drop() === true) {
      this.#over = true;
      this.#parts.lanes.giveBack(this.#lane, performance.now());
      return;
    }
    // First: the abort reports an error at once, which is no result of the endpoint's.
    this.#discard();
    this.#controller?.abort(new Error("cancelled"));
  }

  /** {@inheritDoc sendings.Sending.pause} */
  pause(): void {
    this.#controller?.pause();
  }

  /** {@inheritDoc sendings.Sending.resume} */
  resume(): void {
    this.#controller?.resume();
  }

  #dispatch(): void {
    const { method, path, headers, body } = this.#parts.request;
    const options = { method: method as undici.Dispatcher.HttpMethod, path, headers, body: body ?? null };
    this.#lane.client.dispatch(options, {
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
    // After a standstill a connection may be there only once the time is up: what is sent then runs for nobody.
    if (now < (this.#parts.request.sendBefore ?? Infinity)) this.#leftAt = now;
    else controller.abort(new Error("the connection came too late"));
  }

  #onHead(status: number, headers: sendings.AnswerHeaders): void {
    if (this.#over || status < FINAL_FROM) return;
    this.#noteHeard();
    if (!this.#parts.receiver.onHead(status, headers)) {
      this.#break(serving.SendFate.Unknown, "the answer is not this request's");
    }
  }

  #onData(chunk: Buffer): void {
    if (this.#over) return;
    this.#noteHeard();
    this.#parts.receiver.onData(chunk);
  }

  #onEnd(): void {
    if (this.#lane.reset) this.#break(serving.SendFate.Unknown, "the connection was reset inside the answer");
    if (this.#over) return;
    this.#over = true;
    this.#noteHeard();
    this.#parts.lanes.giveBack(this.#lane, this.#parts.lanes.heardAt);
    this.#parts.receiver.onEnd();
  }

  #onError(error: Error): void {
    this.#parts.onBroken();
    this.#break(this.wasDispatched ? serving.SendFate.Unknown : serving.SendFate.NotSent, error.message);
  }

  #noteHeard(): void {
    this.#parts.lanes.heardAt = performance.now();
  }

  #discard(): void {
    if (this.#over) return;
    this.#over = true;
    this.#parts.lanes.discard(this.#lane);
  }

  #break(fate: serving.SendFate, detail: string): void {
    if (this.#over) return;
    this.#discard();
    this.#parts.receiver.onBroken(fate, detail);
  }
}
