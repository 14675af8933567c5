import * as serving from "@camphorcourse/serving";
import * as boundedBuffers from "./answers/boundedBuffer.js";
import type * as sendings from "./sending.js";
import type * as exchangeParts from "./exchangeParts.js";

const HTTP_OK = 200;

/** Receives the answer to a prefill: a handle with which another engine can decode. */
export class PrefillReceiver implements sendings.AnswerReceiver {
  readonly #send: exchangeParts.AnsweredSend;
  readonly #buffer: boundedBuffers.BoundedBuffer;
  #status = 0;
  #notRun = false;

  /** @param send - the send that is answered */
  constructor(send: exchangeParts.AnsweredSend) {
    this.#send = send;
    const { active, context } = send;
    this.#buffer = new boundedBuffers.BoundedBuffer(context.answerMemory, serving.SHORT_ANSWER);
    active.onReleased(() => this.#buffer.close());
  }

  /** {@inheritDoc sendings.AnswerReceiver.onHead} */
  onHead(status: number, headers: sendings.AnswerHeaders): boolean {
    const { active, context } = this.#send;
    const head = context.format.readAnswer(status, headers);
    this.#status = status;
    this.#notRun = head.notRun;
    if (head.misdirected) context.onMisdirected(active.endpoint, head.endpointId);
    return true;
  }

  /** {@inheritDoc sendings.AnswerReceiver.onData} */
  onData(chunk: Buffer): boolean {
    return this.#buffer.push(chunk);
  }

  /** {@inheritDoc sendings.AnswerReceiver.onEnd} */
  onEnd(): void {
    const { active, results, context, served, handover, feedback } = this.#send;
    const result = this.#status === HTTP_OK ? context.format.readHandle(this.#buffer.join()) : undefined;
    active.entry.settle(this.#fateOfAnswer(result?.isOk() === true));
    if (result?.isOk() === true) results.settle(active);
    if (!results.end(active)) return;
    if (result?.isOk() === true) {
      feedback.recordResult(active, serving.SendResult.Good);
      feedback.learnPrefillTime(active);
      handover.keep({ engine: active.endpoint, handle: result.value.handle });
      served.unmarkTried(active.endpoint.id);
      served.notePrefilled();
      if (results.isRunUnderWay) handover.free();
      else results.sendNext();
      return;
    }
    const outcome = this.#notRun ? serving.SendOutcome.Declined : serving.SendOutcome.Unknown;
    results.failed(active, outcome, `status ${this.#status}${this.#notRun ? "" : ", no handle"}`);
  }

  /** {@inheritDoc sendings.AnswerReceiver.onBroken} */
  onBroken(outcome: serving.SendOutcome, detail: string): void {
    const { active, results } = this.#send;
    if (!results.end(active)) return;
    if (this.#notRun) results.failed(active, serving.SendOutcome.Declined, detail);
    else results.broken(active, outcome, detail);
  }

  #fateOfAnswer(hasHandle: boolean): serving.SendFate {
    if (hasHandle) return serving.SendFate.Prefilled;
    return this.#notRun ? serving.SendFate.Declined : serving.SendFate.Answered;
  }
}
