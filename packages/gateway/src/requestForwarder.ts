import * as serving from "@camphorcourse/serving";
import * as trafficCounters from "./distance/trafficCounter.js";
import * as activeSends from "./activeSend.js";
import * as answerReceivers from "./answerReceiver.js";
import type * as callControls from "./calls/callControl.js";
import type * as sendings from "./sending.js";
import type * as exchangeParts from "./exchangeParts.js";
import type * as waitingRequests from "./limits/waitingRequests.js";
import type * as ownRuns from "./runs/ownRuns.js";
import * as prefillReceivers from "./prefillReceiver.js";
import * as sendChoosers from "./sendChooser.js";
import * as hedgedSends from "./sends/hedgedSends.js";
import * as outgoingMessages from "./sends/outgoingMessage.js";
import * as plannedSends from "./sends/plannedSend.js";
import * as sendLogs from "./sends/sendLog.js";
import * as statedWaits from "./sends/statedWait.js";

/** Step in the log after a failed send while another one of the request is in flight. */
const ANOTHER_AWAITED = "another-awaited";

/** What the ledger records for an outcome, unless the endpoint has answered. */
const FATES: Readonly<Record<serving.SendOutcome, serving.SendFate>> = {
  [serving.SendOutcome.NotSent]: serving.SendFate.Unsent,
  [serving.SendOutcome.Withheld]: serving.SendFate.Unsent,
  [serving.SendOutcome.Declined]: serving.SendFate.Declined,
  [serving.SendOutcome.Unknown]: serving.SendFate.Unanswered,
  [serving.SendOutcome.Foreign]: serving.SendFate.Unanswered,
};

/** Forwards one request to endpoints, one send after the other, until one gives its final answer. */
export class RequestForwarder
  implements exchangeParts.SendResultHandler, waitingRequests.WaitingRequest, callControls.WaitingCall, ownRuns.RunHost
{
  readonly #parts: exchangeParts.ExchangeParts;
  readonly #chooser: sendChoosers.SendChooser;
  readonly #sends: hedgedSends.HedgedSends;
  readonly #log: sendLogs.SendLog;
  /** The run that was sent beside a silent send, until it is known to go on alone and may be moved. */
  #replacementRun: activeSends.ActiveSend | undefined;
  /** Why the request must not be sent to run any more, if it must not. */
  #forbidden: string | undefined;
  /** Whether the request has waited for an endpoint that it may get to now, and is being sent. */
  #isResumed = false;

  /** @param parts - what belongs to the request */
  constructor(parts: exchangeParts.ExchangeParts) {
    this.#parts = parts;
    this.#chooser = new sendChoosers.SendChooser(parts.context, parts.served);
    this.#sends = new hedgedSends.HedgedSends(parts);
    this.#log = new sendLogs.SendLog(parts);
  }

  /** {@inheritDoc ownRuns.RunHost.active} */
  get active(): activeSends.ActiveSend | undefined {
    return this.#sends.latest;
  }

  /**
   * {@inheritDoc exchangeParts.SendResultHandler.sendNext}
   *
   * An exception in a decision fails this request only. Uncaught, it would end the daemon with all its callers, or leave
   * this caller without an answer if the HTTP library caught it.
   */
  sendNext(): void {
    this.#guard(() => this.#chooseAndSend());
  }

  #guard(send: () => void): void {
    try {
      send();
    } catch (error) {
      this.#log.fault(error as Error);
      this.#parts.end.reject("request-fault");
    }
  }

  #chooseAndSend(): void {
    const { end, handover, served } = this.#parts;
    if (end.over) return;
    // A lagging event loop may process an endpoint's result before the deadline timer. Sent again, the request would run
    // for a caller that no longer waits.
    if (served.remainingMs <= 0) {
      end.timeOut();
      return;
    }
    if (!served.followConfiguration()) {
      if (served.mayHaveRun) end.reject("route-removed");
      else if (this.#parts.context.configuration.isCurrent)
        end.fail(
          serving.FailureStatus.NotFound,
          "route-removed",
          "the request's route was removed from the configuration",
        );
      else end.reject("route-unconfirmed");
      return;
    }
    if (this.#forbidden !== undefined && !served.mayHaveRun) {
      end.reject(this.#forbidden);
      return;
    }
    // The configuration may have changed since the retry was decided on, and forbid it now.
    if (!served.mayRun) {
      end.reject("may-have-run");
      return;
    }
    const restartedEngine = handover.dropIfLost();
    if (restartedEngine !== undefined) {
      this.#prefillAgain(restartedEngine);
      return;
    }
    const admitted = this.#parts.context.suspects.admit(served);
    if (admitted.isErr()) {
      end.reject(admitted.error.reason, admitted.error.retryAfterMs);
      return;
    }
    if (admitted.value) handover.free();
    const choice = admitted.value ? this.#chooser.chooseIsolated() : this.#chooser.choose(handover.prefilled?.engine);
    if (choice.isErr()) this.#waitOrReject(choice.error);
    else this.#dispatch(choice.value);
  }

  /** Waits for an endpoint that will take the request in time by what it has said; otherwise the request is rejected. */
  #waitOrReject(rejection: plannedSends.SendRejection): void {
    const { reason, retryAfterMs, isFinal, limited, restMs, waitsForRoom } = rejection;
    if (isFinal === true) this.#parts.end.rejectForGood(reason);
    else if (waitsForRoom === true) this.#parts.context.calls.wait(this);
    else if (restMs !== undefined) statedWaits.waitForRest(restMs, this.#parts, this, this.#isResumed);
    else if (limited !== undefined) statedWaits.waitForLimit(limited, this.#parts, this, this.#isResumed);
    else this.#parts.end.reject(reason, retryAfterMs);
  }

  /** {@inheritDoc callControls.WaitingCall.service} */
  get service(): string {
    return this.#parts.served.service;
  }

  /** {@inheritDoc callControls.WaitingCall.arrivedAt} */
  get arrivedAt(): number {
    return this.#parts.served.caller.arrivedAt;
  }

  /** {@inheritDoc callControls.WaitingCall.order} */
  get order(): serving.CallOrder {
    const { context, served } = this.#parts;
    return serving.callOrder(context.fairness.callStandingOf(served, performance.now()));
  }

  /** {@inheritDoc callControls.WaitingCall.deadlineAt} */
  get deadlineAt(): number {
    return this.#parts.served.deadlineAt;
  }

  /** {@inheritDoc callControls.WaitingCall.objectiveMs} */
  get objectiveMs(): number {
    return this.#parts.served.route.objectiveMs;
  }

  /** {@inheritDoc callControls.WaitingCall.candidates} */
  candidates(): readonly serving.Endpoint[] {
    return this.#chooser.candidates();
  }

  /** {@inheritDoc callControls.WaitingCall.resumeCall} */
  resumeCall(freed?: serving.Endpoint): void {
    this.#chooser.asNextInQueue(() => this.sendNext(), freed);
  }

  /** {@inheritDoc waitingRequests.WaitingRequest.readyInMs} */
  readyInMs(): number {
    return this.#chooser.readyInMs();
  }

  /** {@inheritDoc waitingRequests.WaitingRequest.resume} */
  resume(): void {
    this.#isResumed = true;
    this.#chooser.asNextInQueue(() => this.sendNext());
    this.#isResumed = false;
  }

  /** {@inheritDoc exchangeParts.SendResultHandler.end} */
  end(active: activeSends.ActiveSend): boolean {
    return this.#sends.end(active) && !this.#parts.end.over;
  }

  /** {@inheritDoc exchangeParts.SendResultHandler.settle} */
  settle(active: activeSends.ActiveSend): void {
    const { context, served } = this.#parts;
    const losers = this.#sends.settle(active);
    if (losers.length === 0 && active !== this.#replacementRun) return;
    if (active.stage !== plannedSends.Stage.Answering) return;
    this.#replacementRun = undefined;
    // The copy at a backup is that of the first run.
    if (losers.some(({ sentAt }) => sentAt < active.sentAt)) context.backups.noteOver(served);
    context.runs.noteRunning({ active, served, host: this });
  }

  /** {@inheritDoc exchangeParts.SendResultHandler.isAnswerAwaited} */
  get isAnswerAwaited(): boolean {
    return this.#sends.isAnyAlive;
  }

  /** {@inheritDoc exchangeParts.SendResultHandler.isRunUnderWay} */
  get isRunUnderWay(): boolean {
    return this.#sends.isRunUnderWay;
  }

  /** {@inheritDoc exchangeParts.SendResultHandler.failed} */
  failed(active: activeSends.ActiveSend, outcome: serving.SendOutcome, detail: string): void {
    const { end, feedback, handover, served } = this.#parts;
    const declined = outcome === serving.SendOutcome.Declined;
    const isAnswering = active.stage === plannedSends.Stage.Answering;
    const isPrefillLost = !isAnswering && outcome === serving.SendOutcome.Unknown;
    if (outcome !== serving.SendOutcome.Withheld)
      feedback.recordResult(
        active,
        declined || isPrefillLost ? serving.SendResult.Declined : serving.SendResult.Failed,
      );
    active.entry.settle(FATES[outcome]);
    this.#countFailed(active, outcome);
    if (this.isAnswerAwaited) {
      // The endpoint of another send may still take the handle over, so that it isn't freed.
      if (!serving.isUnsent(outcome)) handover.markTaken();
      this.#log.failed(active, outcome, detail, ANOTHER_AWAITED);
      return;
    }
    // What is left in flight is at endpoints that have ended.
    this.#sends.cancelAll();
    const isRefused = active.resume !== undefined && outcome !== serving.SendOutcome.Unknown;
    if (isRefused && this.#resumeElsewhere(active, outcome, detail)) return;
    if (declined && isAnswering) handover.free();
    if (outcome === serving.SendOutcome.Unknown && isAnswering) handover.markTaken();
    const step = served.decideNextStep();
    this.#log.failed(active, outcome, detail, step);
    if (step === serving.NextStep.SendAgain) this.sendNext();
    else if (step === serving.NextStep.Reject) end.reject(`send-${outcome}`);
    else if (step === serving.NextStep.TimedOut) end.timeOut();
    else end.reject("endpoint-failed");
  }

  /** {@inheritDoc exchangeParts.SendResultHandler.broken} */
  broken(active: activeSends.ActiveSend, outcome: serving.SendOutcome, detail: string): void {
    const { context, served } = this.#parts;
    if (outcome === serving.SendOutcome.Foreign) {
      // The connection was closed here, which says nothing of the endpoint, nor of what it runs.
      this.failed(active, serving.SendOutcome.Unknown, detail);
      return;
    }
    const isBeingMoved = context.runs.onClosed({ active, served }, serving.StreamClose.Broken, {
      complete: () => undefined,
      break: () => this.broken(active, outcome, detail),
    });
    if (isBeingMoved) return;
    if (active.wasDispatched) {
      if (served.route.requestClass !== serving.RequestClass.Stream) served.noteBegunToRun();
      served.noteBroken(context.suspects.isSuspected(served));
      context.crashDetector.noteBroken(active.endpoint, {
        suspects: this.#suspectsOf(active),
        brokeAt: performance.now(),
      });
    }
    const giveUp = (): void => this.failed(active, outcome, detail);
    if (outcome === serving.SendOutcome.Unknown) active.entry.settle(serving.SendFate.Unanswered);
    const isRunLost = outcome === serving.SendOutcome.Unknown && active.stage === plannedSends.Stage.Answering;
    const mayGoOnAtBackup = isRunLost && !this.isAnswerAwaited;
    if (!mayGoOnAtBackup || !context.backups.onBroken({ active, served }, giveUp)) giveUp();
  }

  /**
   * What is suspected of having crashed the endpoint of a send. An engine crashes as it begins to write an answer: a part
   * of a prompt that it only reads, or on which it has written for long, is not to blame.
   */
  #suspectsOf(active: activeSends.ActiveSend): serving.SuspectName[] {
    const { served } = this.#parts;
    const { content, contentAndCaller } = served.fingerprints;
    const scope = serving.SuspectScope.Request;
    const requests = [content, contentAndCaller].map((fingerprint) => ({ fingerprint, scope }));
    const isReading = active.stage === plannedSends.Stage.Prefill;
    return isReading || active.hasWrittenForLong ? requests : [...requests, ...served.partNames];
  }

  /** @returns whether nothing that may run has been sent to an endpoint */
  get isUnsent(): boolean {
    return this.#parts.served.ledger.entries.every(
      (entry) => entry.isProvenNotRun || this.#sends.isUndispatched(entry),
    );
  }

  /** @param reason - why a request that has not run must not run any more */
  forbidRuns(reason: string): void {
    this.#forbidden = reason;
  }

  /** Cancels the sends in flight. */
  cancelSends(): void {
    this.#sends.cancelAll();
  }

  /** Cancels the sends in flight and frees what is kept for the request, which is over. */
  stop(): void {
    this.#sends.cancelAll();
    this.#parts.context.runs.noteOver(this.#parts.served);
    this.#parts.context.backups.noteOver(this.#parts.served);
    this.#parts.context.limits.waiting.remove(this);
    this.#parts.context.calls.remove(this);
    this.#parts.handover.free();
    this.#parts.context.suspects.release(this.#parts.served);
  }

  /** Starts over with a new prefill, which counts as a send: the engine has lost the KV cache that it kept. */
  #prefillAgain(engine: serving.Endpoint): void {
    const { context, end, served } = this.#parts;
    served.countSend();
    const step = served.decideNextStep();
    served.notePrefillPaid();
    context.log.info("handle-lost", { id: served.id, endpoint: engine.id, step });
    if (step === serving.NextStep.SendAgain) this.sendNext();
    else end.reject("handle-lost");
  }

  /**
   * @param planned - the send
   * @param replaced - the send in flight that it is to replace, if there is one
   */
  #dispatch(planned: plannedSends.PlannedSend, replaced?: activeSends.ActiveSend): void {
    const { context, served } = this.#parts;
    const leftMs = Math.floor(served.remainingMs);
    const active = new activeSends.ActiveSend(context, served, planned);
    this.#sends.begin(active);
    served.markTried(planned.endpoint.id);
    const isAnswering = planned.stage === plannedSends.Stage.Answering;
    if (isAnswering && planned.resume === undefined) served.countSend();
    const urgency = planned.plan?.urgency ?? (this.#parts.handover.prefilled === undefined ? undefined : 0);
    // The copy of a run that may still go on is kept until another run has taken its place.
    const backup =
      isAnswering && replaced === undefined ? context.backups.noteSend({ active, served, host: this }) : undefined;
    const message = outgoingMessages.createMessage(this.#parts, planned, urgency, backup);
    context.traffic?.add(trafficCounters.Traffic.Requests, planned.endpoint.dataCentre, message.body?.length ?? 0);
    this.#log.sent(planned, { leftMs, urgency, replaced });
    if (isAnswering && replaced !== undefined) this.#replacementRun = active;
    if (isAnswering && replaced === undefined) context.runs.noteRunning({ active, served, host: this });
    active.start(message, this.#receiver(active), (silentMs) => this.#onSilent(active, silentMs));
  }

  /** {@inheritDoc ownRuns.RunHost.resumeRun} */
  resumeRun(planned: plannedSends.PlannedSend & { readonly resume: plannedSends.ResumedRun }): void {
    const { end, handover } = this.#parts;
    if (end.over) return;
    handover.keep({ engine: planned.resume.source, handle: planned.resume.handle });
    this.#guard(() => this.#dispatch(planned));
  }

  /** {@inheritDoc ownRuns.RunHost.resumeAtBackup} */
  resumeAtBackup(planned: plannedSends.PlannedSend, lost: activeSends.ActiveSend): void {
    const { end, feedback, handover } = this.#parts;
    if (end.over) return;
    feedback.recordResult(lost, serving.SendResult.Failed);
    handover.markTaken();
    this.#guard(() => this.#dispatch(planned));
  }

  /** @returns whether a run goes on elsewhere with its handle after an engine has not taken it */
  #resumeElsewhere(active: activeSends.ActiveSend, outcome: serving.SendOutcome, detail: string): boolean {
    const { context, handover, served } = this.#parts;
    if (outcome === serving.SendOutcome.Declined) served.countRejectedResume();
    context.backups.onRefused(served, detail);
    if (context.runs.onRefused(served, detail)) return true;
    handover.free();
    return false;
  }

  #receiver(active: activeSends.ActiveSend): sendings.AnswerReceiver {
    const send: exchangeParts.AnsweredSend = { ...this.#parts, active, results: this };
    if (active.stage === plannedSends.Stage.Prefill) return new prefillReceivers.PrefillReceiver(send);
    return new answerReceivers.AnswerReceiver(send);
  }

  /** Sends the request to a second endpoint as well, if one may take it; the silent send goes on until that brings something. */
  #onSilent(active: activeSends.ActiveSend, silentMs: number): void {
    if (!this.#sends.shouldReplace(active)) return;
    try {
      this.#replace(active, silentMs);
    } catch (error) {
      this.#log.fault(error as Error);
      const { latest } = this.#sends;
      if (latest === undefined || latest === active) return;
      latest.cancel();
      this.#sends.end(latest);
    }
  }

  #replace(active: activeSends.ActiveSend, silentMs: number): void {
    const { context, handover, served } = this.#parts;
    const isPrefill = active.stage === plannedSends.Stage.Prefill;
    if (isPrefill) served.countSend();
    const planned = this.#chooseReplacement();
    if (planned === undefined) {
      if (isPrefill) served.uncountSend();
      return;
    }
    const anyReceivedMs = performance.now() - context.client.lastReceivedFromAnyAt;
    this.#log.silent(active, silentMs, planned.endpoint);
    this.#sends.blame(active, anyReceivedMs);
    if (active.resume !== undefined) handover.markTaken();
    context.runs.noteOver(served);
    this.#dispatch(planned, active);
  }

  /** The send that may replace a silent one, for which a retry is then spent; undefined if there is none now. */
  #chooseReplacement(): plannedSends.PlannedSend | undefined {
    const { context, handover, served } = this.#parts;
    if (!served.followConfiguration() || !served.allowsRetry()) return undefined;
    handover.dropIfLost();
    const admitted = context.suspects.admit(served);
    if (admitted.isErr()) return undefined;
    const choice = admitted.value ? this.#chooser.chooseIsolated() : this.#chooser.choose(handover.prefilled?.engine);
    if (choice.isErr() || !served.spendRetry()) return undefined;
    if (admitted.value) handover.markTaken();
    return choice.value;
  }

  /**
   * A send counts unless nothing of it was sent. A prefill counts only when it fails, not when the engine accepts it or may have
   * accepted it.
   */
  #countFailed(active: activeSends.ActiveSend, outcome: serving.SendOutcome): void {
    const { served } = this.#parts;
    if (active.resume !== undefined) return;
    if (active.stage === plannedSends.Stage.Answering && serving.isUnsent(outcome)) served.uncountSend();
    if (active.stage !== plannedSends.Stage.Prefill || serving.isUnsent(outcome)) return;
    const isLost = active.entry.fate === serving.SendFate.Unanswered;
    if (!isLost || !served.notePrefillLost()) served.countSend();
  }
}
