import * as serving from "@camphorcourse/serving";
import * as callerAnswers from "./callerAnswer.js";
import type * as sendings from "./sending.js";
import * as eventSplitters from "./eventSplitter.js";
import type * as exchangeParts from "./exchangeParts.js";
import * as metricsModule from "./metrics.js";

const SERVER_ERRORS_FROM = 500;

/** Status and headers of an endpoint's answer. */
export interface ReceivedHead {
  readonly status: number;
  readonly headers: sendings.AnswerHeaders;
}

/** Takes the body of an endpoint's answer. */
export interface AnswerBody {
  /** @param chunk - the next bytes */
  onData(chunk: Buffer): void;
  /** The answer has come to its end, and its head says that it counts. */
  onEnd(): void;
}

/** A body that is passed on once it is whole. */
export class WholeBody implements AnswerBody {
  readonly #send: exchangeParts.AnsweredSend;
  readonly #head: ReceivedHead;
  readonly #chunks: Buffer[] = [];

  /**
   * @param send - the send that is answered
   * @param head - the answer's head
   */
  constructor(send: exchangeParts.AnsweredSend, head: ReceivedHead) {
    this.#send = send;
    this.#head = head;
  }

  /** {@inheritDoc AnswerBody.onData} */
  onData(chunk: Buffer): void {
    this.#chunks.push(chunk);
  }

  /** {@inheritDoc AnswerBody.onEnd} */
  onEnd(): void {
    const { active, answer, end, lessons, memory, results, served } = this.#send;
    const { status, headers } = this.#head;
    memory.markTaken();
    const failed = status >= SERVER_ERRORS_FROM;
    const now = performance.now();
    lessons.recordResult(active, failed ? serving.SendResult.Failed : serving.SendResult.Good);
    if (answer.state === callerAnswers.AnswerState.Streaming) {
      const detail = `status ${status} to a stream that goes on`;
      results.failed(active, serving.SendFate.Unknown, detail);
      return;
    }
    if (failed) {
      served.noteMayHaveRun();
      const step = served.decide(serving.SendFate.Unknown);
      if (step === serving.NextStep.SendAgain) {
        results.sendNext();
        return;
      }
    }
    end.pass(status, headers, Buffer.concat(this.#chunks), now);
  }
}

/** A body whose events are passed on one by one. */
export class StreamBody implements AnswerBody {
  readonly #send: exchangeParts.AnsweredSend;
  readonly #head: ReceivedHead;
  readonly #splitter = new eventSplitters.EventSplitter();

  /**
   * @param send - the send that is answered
   * @param head - the answer's head
   */
  constructor(send: exchangeParts.AnsweredSend, head: ReceivedHead) {
    this.#send = send;
    this.#head = head;
  }

  /** {@inheritDoc AnswerBody.onData} */
  onData(chunk: Buffer): void {
    for (const event of this.#splitter.push(chunk)) this.#onEvent(event);
  }

  /** {@inheritDoc AnswerBody.onEnd} */
  onEnd(): void {
    const { active, end, lessons, results, served } = this.#send;
    if (this.#splitter.unfinishedBytes > 0 || !served.progress.begun) {
      results.failed(active, serving.SendFate.Unknown, "the stream ended inside an event");
      return;
    }
    lessons.recordResult(active, serving.SendResult.Good);
    lessons.learnPause(active);
    end.endStream();
  }

  #onEvent(event: eventSplitters.StreamEvent): void {
    const { active, answer, context, lessons, memory, served } = this.#send;
    if (active.finishPrefill()) lessons.learnPrefillTime(active);
    else if (active.markFirstEvent()) lessons.learnHandover(active);
    const now = performance.now();
    if (!served.progress.begun) {
      context.metrics.record(metricsModule.Duration.FirstEvent, now - served.caller.arrivedAt);
    }
    served.progress.note(event.id, now);
    served.noteMayHaveRun();
    memory.markTaken();
    answer.beginStream(this.#head.status, this.#head.headers);
    if (!answer.write(event.bytes)) active.applyBackpressure(answer);
  }
}
