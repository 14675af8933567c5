import type * as serving from "@camphorcourse/serving";
import type * as contexts from "./context.js";

/** A prompt read at one engine, to be gone on with at another. */
export interface HandedOver {
  readonly reader: serving.Endpoint;
  readonly handle: string;
}

/** The memory that an engine keeps of a request's prompt, until another engine goes on with it. */
export class PrefillHandover {
  readonly #context: contexts.ServingContext;
  #handedOver: HandedOver | undefined;

  /** @param context - what serving needs */
  constructor(context: contexts.ServingContext) {
    this.#context = context;
  }

  /** @returns the prompt that was read, as long as nobody has gone on with it */
  get handedOver(): HandedOver | undefined {
    return this.#handedOver;
  }

  /** @param handedOver - a prompt that was read */
  keep(handedOver: HandedOver): void {
    this.#handedOver = handedOver;
  }

  /** An engine has gone on with it, or may have. */
  markTaken(): void {
    this.#handedOver = undefined;
  }

  /**
   * A reader that has started again keeps nothing of before. Its handle names nothing
   * there, or what it has read since for another request, whose answer the caller
   * would get: a handle of its former life is forgotten.
   *
   * @returns the reader, if it has started again since it read the prompt
   */
  dropLost(): serving.Endpoint | undefined {
    const handedOver = this.#handedOver;
    if (handedOver === undefined || this.#isKept(handedOver)) return undefined;
    this.#handedOver = undefined;
    return handedOver.reader;
  }

  /** Memory of a prompt that nobody goes on with is freed instead of being kept until it lapses. */
  free(): void {
    const handedOver = this.#handedOver;
    this.#handedOver = undefined;
    // At a later life the handle would name what that has read for another request.
    if (handedOver === undefined || !this.#isKept(handedOver)) return;
    const call = this.#context.format.freeHandleCall(handedOver.handle);
    const ignore = (): void => undefined;
    this.#context.client.send(
      handedOver.reader,
      { method: call.method, path: call.path, headers: [], body: undefined },
      { onHead: () => true, onData: ignore, onEnd: ignore, onBroken: ignore },
    );
  }

  #isKept(handedOver: HandedOver): boolean {
    return this.#context.view.directory.isSameLife(handedOver.reader);
  }
}
