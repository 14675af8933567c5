import * as serving from "@camphorcourse/serving";
import * as engineCalls from "../engineCalls.js";
import type * as contexts from "../context.js";
import type * as ports from "../ports.js";

/** Calls to the engine that runs a request, which copy or free the run's KV cache. */
export class RunCalls {
  readonly #calls: engineCalls.EngineCalls;
  readonly #format: ports.MessageFormat;

  /** @param context - what serving needs */
  constructor(context: contexts.ServingContext) {
    this.#calls = new engineCalls.EngineCalls(context);
    this.#format = context.format;
  }

  /**
   * @param source - the engine that runs the request
   * @param move - what is copied where
   * @param timeoutMs - time for the answer, in milliseconds
   * @returns what became of the copy
   */
  async move(source: serving.Endpoint, move: ports.RunMove, timeoutMs: number): Promise<serving.MoveAnswer> {
    const call = this.#format.moveRunCall(move);
    const answer = await this.#calls.call(source, call, timeoutMs, serving.AnsweredCall.Move);
    return this.#format.readMoveResult(answer?.status ?? 0, answer?.body ?? Buffer.alloc(0));
  }

  /**
   * @param source - the engine that keeps a KV cache
   * @param handle - names it
   */
  free(source: serving.Endpoint, handle: string): void {
    const { method, path } = this.#format.freeHandleCall(handle);
    void this.#calls.call(source, { method, path, headers: () => [], body: undefined });
  }
}
