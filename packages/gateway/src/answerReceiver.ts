import * as serving from "@camphorcourse/serving";
import * as answerBodies from "./answerBody.js";
import type * as sendings from "./sending.js";
import type * as exchangeParts from "./exchangeParts.js";
import type * as ports from "./ports.js";

const HTTP_OK = 200;
const CLIENT_ERRORS_FROM = 400;

/** Receives an endpoint's answer to a request, and checks that it may bring the rest of a stream and is complete. */
export class AnswerReceiver implements sendings.AnswerReceiver {
  readonly #send: exchangeParts.AnsweredSend;
  readonly #isStream: boolean;
  #body: answerBodies.AnswerBody | undefined;
  #status = 0;
  #notRun = false;
  #sealed = false;

  /** @param send - the send that is answered */
  constructor(send: exchangeParts.AnsweredSend) {
    this.#send = send;
    this.#isStream = send.served.route.requestClass === serving.RequestClass.Stream;
  }

  /** {@inheritDoc sendings.AnswerReceiver.onHead} */
  onHead(status: number, headers: sendings.AnswerHeaders): boolean {
    const { active, context, served } = this.#send;
    const head = context.format.readAnswer(status, headers);
    this.#status = status;
    this.#notRun = head.notRun;
    this.#sealed = head.sealed;
    this.#body = this.#createBody(status, headers, head.endpointId);
    if (head.misdirected) context.onMisdirected(active.endpoint, head.endpointId);
    // The endpoint may have been replaced under its address since it was chosen.
    if (!this.#mayBring(head)) return false;
    // A stream has begun to run with its first event.
    if (!head.notRun && !this.#isStream) served.noteBegunToRun();
    if (this.#lacksSeal) this.#rejectUnsealed();
    return true;
  }

  /** {@inheritDoc sendings.AnswerReceiver.onData} */
  onData(chunk: Buffer): boolean {
    return this.#body?.onData(chunk) ?? false;
  }

  /** {@inheritDoc sendings.AnswerReceiver.onEnd} */
  onEnd(): void {
    const { active, results } = this.#send;
    if (!results.end(active)) return;
    if (this.#notRun) {
      results.failed(active, serving.SendOutcome.Declined, `status ${this.#status}`);
    } else {
      this.#body?.onEnd();
    }
  }

  /** {@inheritDoc sendings.AnswerReceiver.onBroken} */
  onBroken(outcome: serving.SendOutcome, detail: string): void {
    const { active, results } = this.#send;
    if (!results.end(active)) return;
    if (this.#notRun) results.failed(active, serving.SendOutcome.Declined, detail);
    else results.broken(active, outcome, detail);
  }

  get #lacksSeal(): boolean {
    return !this.#notRun && this.#status < CLIENT_ERRORS_FROM && !this.#sealed;
  }

  /** Ends the send before anything of the answer is passed on: events of a stream can't be taken back. */
  #rejectUnsealed(): void {
    const { active, results } = this.#send;
    if (!results.end(active)) return;
    active.cancel();
    results.failed(active, serving.SendOutcome.Unknown, "the answer bears no seal");
  }

  /** Whether a stream that has begun may go on with this answer. */
  #mayBring({ endpointId, notRun }: ports.AnswerHead): boolean {
    const { active, context, served } = this.#send;
    if (notRun || !served.isStreamBegun) return true;
    const softwareVersion = answerBodies.answeringVersion(context, active.endpoint, endpointId);
    return served.mayGoOnAt({ ...active.endpoint, softwareVersion });
  }

  #createBody(
    status: number,
    headers: sendings.AnswerHeaders,
    endpointId: string | undefined,
  ): answerBodies.AnswerBody {
    const head = { status, headers, endpointId };
    if (this.#isStream && status === HTTP_OK) {
      return new answerBodies.StreamBody(this.#send, head);
    }
    return new answerBodies.BufferedBody(this.#send, head);
  }
}
