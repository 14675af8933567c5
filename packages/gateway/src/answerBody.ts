import * as serving from "@camphorcourse/serving";
import * as callerAnswers from "./callerAnswer.js";
import * as boundedBuffers from "./answers/boundedBuffer.js";
import * as unframedAnswers from "./answers/unframedAnswer.js";
import type * as contexts from "./context.js";
import * as sendings from "./sending.js";
import * as eventSplitters from "./eventSplitter.js";
import type * as exchangeParts from "./exchangeParts.js";
import * as metricsModule from "./metrics.js";

const CLIENT_ERRORS_FROM = 400;
const SERVER_ERRORS_FROM = 500;

/** Status and headers of an endpoint's answer. */
export interface ReceivedHead {
  readonly status: number;
  readonly headers: sendings.AnswerHeaders;
  /** The endpoint that answered, if the answer names it. */
  readonly endpointId: string | undefined;
}

/**
 * @param context - what serving needs
 * @param endpoint - the endpoint that a request was sent to
 * @param answeredBy - id of the endpoint that answered, if its answer names it
 * @returns version of the software that answered, or undefined if it isn't known
 */
export function answeringVersion(
  { view }: contexts.ServingContext,
  endpoint: serving.Endpoint,
  answeredBy: string | undefined,
): string | undefined {
  if (answeredBy !== undefined && answeredBy !== endpoint.id) return undefined;
  return view.directory.softwareVersionOf(endpoint);
}

function limitsOf({ headers, status }: ReceivedHead): serving.BufferLimits {
  if (status >= CLIENT_ERRORS_FROM) return serving.SHORT_ANSWER;
  const stated = headers["content-length"];
  return stated === undefined ? serving.UNSTATED_ANSWER : serving.statedAnswer(Number(stated));
}

/** Handles the body of an endpoint's answer. */
export interface AnswerBody {
  /**
   * @param chunk - the next bytes
   * @returns false if the answer is larger than may be buffered and is to be given up
   */
  onData(chunk: Buffer): boolean;
  /** Handles the end of an answer that was received completely and whose headers were accepted. */
  onEnd(): void;
}

/** A body that is buffered and forwarded once it is complete. */
export class BufferedBody implements AnswerBody {
  readonly #send: exchangeParts.AnsweredSend;
  readonly #head: ReceivedHead;
  readonly #buffer: boundedBuffers.BoundedBuffer;

  /**
   * @param send - the send that is answered
   * @param head - status and headers of the answer
   */
  constructor(send: exchangeParts.AnsweredSend, head: ReceivedHead) {
    this.#send = send;
    this.#head = head;
    const { active, answer, context } = send;
    this.#buffer = new boundedBuffers.BoundedBuffer(context.answerMemory, limitsOf(head));
    active.onReleased(() => {
      this.#buffer.close();
      // From here on it counts as unsent until the caller has read it, if it is forwarded.
      context.memory.addAnswer(answer.connection, -this.#buffer.length);
    });
  }

  /** {@inheritDoc AnswerBody.onData} */
  onData(chunk: Buffer): boolean {
    if (!this.#buffer.push(chunk)) return false;
    const { answer, context } = this.#send;
    context.memory.addAnswer(answer.connection, chunk.length);
    return true;
  }

  /** {@inheritDoc AnswerBody.onEnd} */
  onEnd(): void {
    const { active, handover } = this.#send;
    active.entry.settle(serving.SendFate.Answered);
    handover.markTaken();
    if (unframedAnswers.endsWithConnection(this.#head))
      void unframedAnswers.completeUnlessCut(this.#send, () => this.#complete());
    else this.#complete();
  }

  #complete(): void {
    const { active, answer, end, feedback, results, served } = this.#send;
    const { status, headers } = this.#head;
    const failed = status >= SERVER_ERRORS_FROM;
    const now = performance.now();
    feedback.recordResult(active, failed ? serving.SendResult.Failed : serving.SendResult.Good);
    if (answer.state === callerAnswers.AnswerState.Streaming) {
      const detail = `status ${status} to a resumed stream`;
      results.failed(active, serving.SendOutcome.Unknown, detail);
      return;
    }
    if (failed) {
      if (results.isAnswerAwaited) return;
      const step = served.decideNextStep();
      if (step === serving.NextStep.SendAgain) {
        results.sendNext();
        return;
      }
    }
    end.forward(status, headers, this.#buffer.join(), now);
  }
}

/** A body whose events are forwarded one by one. */
export class StreamBody implements AnswerBody {
  readonly #send: exchangeParts.AnsweredSend;
  readonly #head: ReceivedHead;
  readonly #splitter = new eventSplitters.EventSplitter();
  readonly #incomplete: serving.AnswerHolding;

  /**
   * @param send - the send that is answered
   * @param head - status and headers of the answer
   */
  constructor(send: exchangeParts.AnsweredSend, head: ReceivedHead) {
    this.#send = send;
    this.#head = head;
    const { active, context } = send;
    this.#incomplete = context.answerMemory.open();
    active.onReleased(() => context.answerMemory.close(this.#incomplete));
  }

  /** {@inheritDoc AnswerBody.onData} */
  onData(chunk: Buffer): boolean {
    for (const event of this.#splitter.push(chunk)) this.#onEvent(event);
    const { answerMemory } = this.#send.context;
    return answerMemory.hold(this.#incomplete, this.#splitter.heldBytes, serving.STREAM_EVENT);
  }

  /** {@inheritDoc AnswerBody.onEnd} */
  onEnd(): void {
    const { active, results, served } = this.#send;
    if (this.#splitter.unfinishedBytes > 0 || !served.isStreamBegun)
      results.broken(active, serving.SendOutcome.Unknown, "the stream ended inside an event");
    else if (sendings.isFramed(this.#head.headers)) this.#complete();
    else this.#endUnframed();
  }

  /** An engine that stops a run to move it closes its stream like one that has written all of it. */
  #endUnframed(): void {
    const { active, context, results, served } = this.#send;
    const complete = (): void => void unframedAnswers.completeUnlessCut(this.#send, () => this.#complete());
    const isBeingMoved = context.runs.onClosed({ active, served }, serving.StreamClose.Unframed, {
      complete,
      break: () => results.broken(active, serving.SendOutcome.Unknown, "the stream closed while its run was moved"),
    });
    if (!isBeingMoved) complete();
  }

  #complete(): void {
    const { active, answer, end, feedback } = this.#send;
    feedback.recordResult(active, serving.SendResult.Good);
    feedback.learnPause(active);
    // A caller that has all events takes the stream up for its end alone.
    answer.beginStream(this.#head.status, this.#head.headers);
    end.endStream();
  }

  #onEvent(event: eventSplitters.StreamEvent): void {
    const { active, answer, context, feedback, handover, results, served } = this.#send;
    active.entry.settle(serving.SendFate.Answered);
    results.settle(active);
    if (active.finishPrefill()) feedback.learnPrefillTime(active);
    else if (active.markFirstEvent()) {
      if (active.resume === undefined) feedback.learnHandover(active);
      else {
        context.runs.noteResumed({ active, served });
        context.backups.noteResumed(served);
      }
    }
    if (served.caller.headers.prompt !== undefined) active.recordEvent();
    const now = performance.now();
    if (!served.progress.hasBegun) this.#onFirstEvent(now);
    served.progress.recordEvent(event.id, now);
    served.noteBegunToRun();
    handover.markTaken();
    answer.beginStream(this.#head.status, this.#head.headers);
    if (!answer.write(event.bytes) && !context.memory.mayReadAhead) active.applyBackpressure(answer);
  }

  #onFirstEvent(now: number): void {
    const { active, context, served } = this.#send;
    context.metrics.record(metricsModule.Duration.FirstEvent, now - served.caller.arrivedAt);
    const { service } = active.endpoint;
    const softwareVersion = answeringVersion(context, active.endpoint, this.#head.endpointId);
    served.noteStreamBegun(softwareVersion === undefined ? undefined : { service, softwareVersion });
    context.streams.noteBegun(served);
  }
}
