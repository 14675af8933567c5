import * as serving from "@camphorcourse/serving";
import * as activeSends from "./activeSend.js";
import * as answerReceivers from "./answerReceiver.js";
import type * as sendings from "./sending.js";
import type * as exchangeParts from "./exchangeParts.js";
import * as promptReceivers from "./promptReceiver.js";
import * as sendChoosers from "./sendChooser.js";

const NOT_FOUND = 404;
const BAD_GATEWAY = 502;
const GATEWAY_TIMEOUT = 504;

/** The sends of one request, one after the other, until one gives its final answer. */
export class RequestForwarder implements exchangeParts.SendResults {
  readonly #parts: exchangeParts.ExchangeParts;
  readonly #chooser: sendChoosers.SendChooser;
  #active: activeSends.ActiveSend | undefined;

  /** @param parts - what belongs to the request */
  constructor(parts: exchangeParts.ExchangeParts) {
    this.#parts = parts;
    this.#chooser = new sendChoosers.SendChooser(parts.context, parts.served);
  }

  /** @returns the send that is under way */
  get active(): activeSends.ActiveSend | undefined {
    return this.#active;
  }

  /**
   * {@inheritDoc exchangeParts.SendResults.sendNext}
   *
   * A fault in a decision costs this request only: uncaught, it would end the daemon with all its callers, or leave
   * this one without an answer where the HTTP library catches it.
   */
  sendNext(): void {
    const { context, end, served } = this.#parts;
    try {
      this.#goOn();
    } catch (error) {
      const { message, stack } = error as Error;
      context.log.warn("request-fault", { id: served.id, detail: message, stack });
      if (this.#active?.wasDispatched === true && this.#active.stage === sendChoosers.Stage.Answering)
        served.noteMayHaveRun();
      end.reject("request-fault");
    }
  }

  #goOn(): void {
    const { end, memory, served } = this.#parts;
    if (end.over) return;
    // A loop that has fallen behind hears an endpoint before the deadline's own timer: sent on, the request would run
    // for a caller that has gone.
    if (served.remainingMs <= 0) {
      end.timeUp(served.mayHaveRun);
      return;
    }
    if (!served.followConfiguration()) {
      end.give(NOT_FOUND, "route-removed", "no route leads there any more");
      return;
    }
    const lostReader = memory.dropLost();
    if (lostReader !== undefined) {
      this.#readAgain(lostReader);
      return;
    }
    const admitted = this.#parts.context.suspects.admit(served);
    if (admitted.isErr()) {
      end.reject(admitted.error.reason, admitted.error.returnAfterMs);
      return;
    }
    if (admitted.value) memory.free();
    const choice = admitted.value ? this.#chooser.chooseAlone() : this.#chooser.choose(memory.handedOver?.reader);
    if (choice.isErr()) end.reject(choice.error.reason, choice.error.returnAfterMs);
    else this.#dispatch(choice.value);
  }

  /** {@inheritDoc exchangeParts.SendResults.end} */
  end(active: activeSends.ActiveSend): boolean {
    if (this.#active !== active) return false;
    this.#active = undefined;
    active.release();
    return !this.#parts.end.over;
  }

  /** {@inheritDoc exchangeParts.SendResults.failed} */
  failed(active: activeSends.ActiveSend, fate: serving.SendFate, detail: string): void {
    const { context, end, lessons, memory, served } = this.#parts;
    const declined = fate === serving.SendFate.Declined;
    lessons.recordResult(active, declined ? serving.SendResult.Declined : serving.SendResult.Failed);
    this.#countFailed(active, fate);
    if (fate === serving.SendFate.Unknown) served.noteMayHaveRun();
    if (declined && active.stage === sendChoosers.Stage.Answering) memory.free();
    if (fate === serving.SendFate.Unknown) memory.markTaken();
    const step = served.decide(fate);
    context.log.info("send-failed", {
      id: served.id,
      endpoint: active.endpoint.id,
      fate,
      detail,
      sends: served.sends,
      step,
      ...active.departure,
      tookMs: Math.round(performance.now() - active.sentAt),
    });
    if (step === serving.NextStep.SendAgain) this.sendNext();
    else if (step === serving.NextStep.Reject) end.reject(`send-${fate}`);
    else if (step === serving.NextStep.TimedOut) end.give(GATEWAY_TIMEOUT, "timed-out", "the time is up");
    else end.give(BAD_GATEWAY, "endpoint-failed", "the request may have run and its answer is lost");
  }

  /** {@inheritDoc exchangeParts.SendResults.broken} */
  broken(active: activeSends.ActiveSend, fate: serving.SendFate, detail: string): void {
    const { context, served } = this.#parts;
    if (active.wasDispatched) {
      served.noteBroken(context.suspects.isSuspected(served));
      context.crashDetector.noteBroken(active.endpoint, {
        fingerprints: served.fingerprints,
        brokeAt: performance.now(),
      });
    }
    this.failed(active, fate, detail);
  }

  /** The request is over: what runs for it is cancelled. */
  stop(): void {
    const active = this.#active;
    this.#active = undefined;
    if (active !== undefined) {
      this.#logCancelled(active);
      active.cancel();
      active.release();
    }
    this.#parts.memory.free();
    this.#parts.context.suspects.release(this.#parts.served);
  }

  #logCancelled(active: activeSends.ActiveSend): void {
    const { context, served } = this.#parts;
    context.log.info("send-cancelled", {
      id: served.id,
      endpoint: active.endpoint.id,
      stage: active.stage,
      ...active.departure,
      tookMs: Math.round(performance.now() - active.sentAt),
    });
  }

  /** What the reader kept of the prompt is lost: the prompt is read anew, which counts as a send. */
  #readAgain(reader: serving.Endpoint): void {
    const { context, end, served } = this.#parts;
    served.countSend();
    const step = served.decide(serving.SendFate.Declined);
    context.log.info("handle-lost", { id: served.id, endpoint: reader.id, step });
    if (step === serving.NextStep.SendAgain) this.sendNext();
    else end.reject("handle-lost");
  }

  #dispatch(planned: sendChoosers.PlannedSend): void {
    const { context, served } = this.#parts;
    const remainingMs = Math.floor(served.remainingMs);
    const active = new activeSends.ActiveSend(context, served, planned);
    this.#active = active;
    served.noteTry(planned.endpoint.id);
    if (planned.stage === sendChoosers.Stage.Answering) served.countSend();
    const urgency = planned.plan?.level ?? (this.#parts.memory.handedOver === undefined ? undefined : 0);
    const message = this.#message(planned, remainingMs, urgency);
    context.log.info("send", {
      id: served.id,
      stage: planned.stage,
      endpoint: planned.endpoint.id,
      service: served.service,
      sends: served.sends,
      leftMs: remainingMs,
      predictedMs: Math.round(planned.predictedMs),
      unread: planned.plan?.unreadTokens,
      copyFrom: planned.plan?.copySource?.id,
      urgency,
      entryRevision: context.view.directory.revision,
      configuration: context.view.configurationRevision,
    });
    active.begin(message, this.#receiver(active), (silentMs) => {
      if (this.#active === active) this.#leaveSilent(active, silentMs);
    });
  }

  #message(
    planned: sendChoosers.PlannedSend,
    remainingMs: number,
    urgency: number | undefined,
  ): sendings.OutgoingRequest {
    const { context, memory, served } = this.#parts;
    const source = memory.handedOver;
    const { lastEventId } = served.progress;
    const headers = context.format.writeRequestHeaders(served.caller.headers, {
      deadlineMs: remainingMs,
      endpointId: planned.endpoint.id,
      ...(urgency === undefined ? {} : { urgency }),
      ...(planned.stage === sendChoosers.Stage.Reading ? { prefillOnly: true } : {}),
      ...(source === undefined ? {} : { source: { address: source.reader.address, handle: source.handle } }),
      ...(planned.plan?.copySource === undefined ? {} : { copyFrom: planned.plan.copySource.address }),
      ...(lastEventId === undefined ? {} : { lastEventId }),
    });
    const body = served.body.length === 0 ? undefined : served.body;
    const { method, target: path } = served.caller;
    return { method, path, headers, body, sendBefore: served.deadlineAt };
  }

  #receiver(active: activeSends.ActiveSend): sendings.AnswerReceiver {
    const send: exchangeParts.AnsweredSend = { ...this.#parts, active, results: this };
    if (active.stage === sendChoosers.Stage.Reading) return new promptReceivers.PromptReceiver(send);
    return new answerReceivers.AnswerReceiver(send);
  }

  #leaveSilent(active: activeSends.ActiveSend, silentMs: number): void {
    const { context, lessons, served } = this.#parts;
    const reading = active.stage === sendChoosers.Stage.Reading;
    if (!reading && !serving.mayRepeat(served.route)) return;
    const fate = reading ? serving.SendFate.Declined : serving.SendFate.Unknown;
    if (reading) served.countSend();
    const step = served.decide(fate);
    if (step !== serving.NextStep.SendAgain) {
      if (reading) served.uncountSend();
      return;
    }
    context.log.warn("endpoint-silent", {
      id: served.id,
      endpoint: active.endpoint.id,
      stage: active.stage,
      silentMs: Math.round(silentMs),
      step,
    });
    if (!reading) served.noteMayHaveRun();
    lessons.recordResult(active, serving.SendResult.Silent);
    active.cancel();
    if (this.end(active)) this.sendNext();
  }

  /** A send counts unless nothing of it left; the first read that an engine accepts doesn't, a rejected one does. */
  #countFailed(active: activeSends.ActiveSend, fate: serving.SendFate): void {
    const { served } = this.#parts;
    if (active.stage === sendChoosers.Stage.Answering && fate === serving.SendFate.NotSent) served.uncountSend();
    if (active.stage === sendChoosers.Stage.Reading && fate !== serving.SendFate.NotSent) served.countSend();
  }
}
