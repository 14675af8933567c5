import * as serving from "@camphorcourse/serving";
import type * as sendings from "./sending.js";
import type * as exchangeParts from "./exchangeParts.js";

const HTTP_OK = 200;

/** Takes the answer to a prompt that an engine only reads: a handle for another engine to go on with. */
export class PromptReceiver implements sendings.AnswerReceiver {
  readonly #send: exchangeParts.AnsweredSend;
  readonly #chunks: Buffer[] = [];
  #status = 0;
  #notRun = false;

  /** @param send - the send that is answered */
  constructor(send: exchangeParts.AnsweredSend) {
    this.#send = send;
  }

  /** {@inheritDoc sendings.AnswerReceiver.onHead} */
  onHead(status: number, headers: sendings.AnswerHeaders): boolean {
    const { active, context, served } = this.#send;
    const head = context.format.readAnswer(status, headers);
    this.#status = status;
    this.#notRun = head.notRun;
    if (head.misdirected) context.onMisdirected(active.endpoint, head.endpointId);
    return head.requestId === undefined || head.requestId === served.id;
  }

  /** {@inheritDoc sendings.AnswerReceiver.onData} */
  onData(chunk: Buffer): void {
    this.#chunks.push(chunk);
  }

  /** {@inheritDoc sendings.AnswerReceiver.onEnd} */
  onEnd(): void {
    const { active, results, context, served, memory, lessons } = this.#send;
    if (!results.end(active)) return;
    const whole = Buffer.concat(this.#chunks);
    const handle = this.#status === HTTP_OK ? context.format.readHandle(whole) : undefined;
    if (handle?.isOk() === true) {
      lessons.recordResult(active, serving.SendResult.Good);
      lessons.learnPrefillTime(active);
      memory.keep({ reader: active.endpoint, handle: handle.value.handle });
      served.forgetTry(active.endpoint.id);
      results.sendNext();
      return;
    }
    const detail = `status ${this.#status}${this.#notRun ? "" : ", no handle"}`;
    results.failed(active, serving.SendFate.Declined, detail);
  }

  /**
   * {@inheritDoc sendings.AnswerReceiver.onBroken}
   *
   * Reading a prompt runs nothing, so a lost answer to it leaves the request not run.
   */
  onBroken(fate: serving.SendFate, detail: string): void {
    const { active, results } = this.#send;
    if (!results.end(active)) return;
    const known = fate === serving.SendFate.NotSent ? fate : serving.SendFate.Declined;
    results.broken(active, known, detail);
  }
}
