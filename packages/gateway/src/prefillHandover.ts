import * as serving from "@camphorcourse/serving";
import type * as contexts from "./context.js";

/** A prompt that one engine has prefilled, so that another can decode. */
export interface PrefilledPrompt {
  readonly engine: serving.Endpoint;
  /** Names the prompt's KV cache at the engine. */
  readonly handle: string;
}

/** The KV cache that an engine keeps of a request's prefilled prompt until another engine takes it over. */
export class PrefillHandover {
  readonly #context: contexts.ServingContext;
  #prefilled: PrefilledPrompt | undefined;

  /** @param context - what serving needs */
  constructor(context: contexts.ServingContext) {
    this.#context = context;
  }

  /** @returns the prefilled prompt, until another engine has taken it over */
  get prefilled(): PrefilledPrompt | undefined {
    return this.#prefilled;
  }

  /** @param prefilled - a prompt that has been prefilled */
  keep(prefilled: PrefilledPrompt): void {
    this.#prefilled = prefilled;
  }

  /** An engine has taken the prefilled prompt over, or may have. */
  markTaken(): void {
    this.#prefilled = undefined;
  }

  /**
   * Drops the handle of an engine that has restarted, as the engine has lost its KV cache. After the restart the handle
   * names nothing, or the prompt of another request, whose answer the caller would get.
   *
   * @returns the engine, if it has restarted since the prefill
   */
  dropIfLost(): serving.Endpoint | undefined {
    const prefilled = this.#prefilled;
    if (prefilled === undefined || this.#isKept(prefilled)) return undefined;
    this.#prefilled = undefined;
    return prefilled.engine;
  }

  /** Frees the KV cache of a prompt that no engine will take over, instead of leaving it until it expires. */
  free(): void {
    const prefilled = this.#prefilled;
    this.#prefilled = undefined;
    // After a restart of the engine, the handle may name the prompt of another request.
    if (prefilled === undefined || !this.#isKept(prefilled)) return;
    const call = this.#context.format.freeHandleCall(prefilled.handle);
    const ignore = (): void => undefined;
    let receivedBytes = 0;
    const onData = (chunk: Buffer): boolean => (receivedBytes += chunk.length) <= serving.SHORT_ANSWER.maxBytes;
    this.#context.client.send(
      prefilled.engine,
      {
        method: call.method,
        path: call.path,
        createHeaders: () => [],
        body: undefined,
        call: serving.AnsweredCall.Control,
        answerId: undefined,
        passOnAs: prefilled.handle,
      },
      { onHead: () => true, onData, onEnd: ignore, onBroken: ignore },
    );
  }

  #isKept(prefilled: PrefilledPrompt): boolean {
    return this.#context.view.directory.isSameIncarnation(prefilled.engine);
  }
}
