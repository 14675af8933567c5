import * as serving from "@camphorcourse/serving";
import * as neverthrow from "neverthrow";
import * as boundedBuffers from "./answers/boundedBuffer.js";
import type * as contexts from "./context.js";
import type * as ports from "./ports.js";

/** Time for an engine to answer a call, in milliseconds. */
const CALL_TIMEOUT_MS = 1_500;

/** The complete answer of an engine to a call. */
export interface EngineAnswer {
  readonly status: number;
  readonly body: Buffer;
}

/** Calls that the gateway itself makes to engines: queries of their state, and role orders. */
export class EngineCalls {
  readonly #context: contexts.ServingContext;

  /** @param context - what serving needs */
  constructor(context: contexts.ServingContext) {
    this.#context = context;
  }

  /**
   * @param engine - the engine
   * @returns its state, or why it is not known
   */
  async fetchState(engine: serving.Endpoint): Promise<neverthrow.Result<ports.EngineState, string>> {
    const { format } = this.#context;
    const answer = await this.call(engine, format.engineStateCall());
    return answer === undefined ? neverthrow.err("no answer") : format.readEngineState(answer.body);
  }

  /**
   * @param engine - the engine
   * @param order - the order to take another role
   * @returns status of the answer, or undefined if there was none
   */
  async sendRoleOrder(engine: serving.Endpoint, order: ports.RoleOrder): Promise<number | undefined> {
    const answer = await this.call(engine, this.#context.format.roleOrderCall(order));
    return answer?.status;
  }

  /**
   * @param engine - the engine
   * @param call - the call
   * @param timeoutMs - time for the answer, in milliseconds
   * @param kind - what the answer is read for
   * @returns the answer, or undefined if there was none: the call may have been executed
   */
  call(
    engine: serving.Endpoint,
    call: ports.EngineCall,
    timeoutMs = CALL_TIMEOUT_MS,
    kind = serving.AnsweredCall.Control,
  ): Promise<EngineAnswer | undefined> {
    return new Promise((resolve) => {
      const buffer = new boundedBuffers.BoundedBuffer(this.#context.answerMemory, serving.SHORT_ANSWER);
      let status = 0;
      // Deferred to the end of the event loop's turn: after a pause of the process, the answer may wait in the socket.
      const timer = setTimeout(() => setImmediate(giveUp), timeoutMs);
      const giveUp = (): void => {
        request.cancel();
        finish(undefined);
      };
      const finish = (answer: EngineAnswer | undefined): void => {
        clearTimeout(timer);
        buffer.close();
        resolve(answer);
      };
      const request = this.#context.client.send(
        engine,
        {
          method: call.method,
          path: call.path,
          createHeaders: () => call.headers(engine.id),
          body: call.body === undefined ? undefined : Buffer.from(call.body),
          call: kind,
          answerId: undefined,
          usesOwnConnection: true,
        },
        {
          onHead: (answerStatus) => {
            status = answerStatus;
            return true;
          },
          onData: (chunk) => buffer.push(chunk),
          onEnd: () => finish({ status, body: buffer.join() }),
          onBroken: () => finish(undefined),
        },
      );
    });
  }
}
