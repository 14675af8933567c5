import * as serving from "@camphorcourse/serving";
import type * as activeSends from "../activeSend.js";
import type * as decisionLogs from "../decisionLog.js";
import type * as exchangeParts from "../exchangeParts.js";
import * as plannedSends from "./plannedSend.js";

/** What belongs to the request whose sends are held. */
type HedgedParts = Pick<exchangeParts.ExchangeParts, "context" | "feedback" | "served">;

/**
 * The sends of one request in flight. A send to a silent endpoint is not given up until another one has brought a part of the
 * answer: the endpoint may go on at any moment, and the other one may not take the request.
 */
export class HedgedSends {
  readonly #parts: HedgedParts;
  readonly #race = new serving.SendRace<activeSends.ActiveSend>();
  /** Silent sends whose endpoints are not marked for it, as nothing was heard from any endpoint. */
  readonly #unproven = new Set<activeSends.ActiveSend>();
  #replacementTriedAt = Number.NEGATIVE_INFINITY;

  /** @param parts - what belongs to the request */
  constructor(parts: HedgedParts) {
    this.#parts = parts;
  }

  /** @returns the send that began last, if any is in flight */
  get latest(): activeSends.ActiveSend | undefined {
    return this.#race.latest;
  }

  /**
   * @returns whether a send is in flight that may still serve the request, as far as is known. A prefill doesn't once the request
   *   may have run and must not run again
   */
  get isAnyAlive(): boolean {
    const { context, served } = this.#parts;
    const { crashDetector, view } = context;
    const now = performance.now();
    return this.#race.sends.some(
      ({ endpoint, stage }) =>
        (stage === plannedSends.Stage.Answering || served.mayRun) &&
        view.directory.isSameIncarnation(endpoint) &&
        !crashDetector.hasCrashed(endpoint, now),
    );
  }

  /** @returns whether a run has been sent and is in flight; it goes on alone, whatever a prefill brings */
  get isRunUnderWay(): boolean {
    return this.#race.sends.some(({ stage, wasDispatched }) => stage === plannedSends.Stage.Answering && wasDispatched);
  }

  /**
   * @param entry - a send in the ledger
   * @returns whether it is in flight and nothing of it has left, so that cancelling it keeps it from the endpoint
   */
  isUndispatched(entry: serving.LedgerEntry): boolean {
    return this.#race.sends.some((active) => active.entry === entry && !active.wasDispatched);
  }

  /** @param active - a send that begins */
  begin(active: activeSends.ActiveSend): void {
    this.#race.begin(active);
  }

  /**
   * @param active - a send that is over
   * @returns whether it was in flight
   */
  end(active: activeSends.ActiveSend): boolean {
    if (!this.#race.end(active)) return false;
    active.release();
    return true;
  }

  /**
   * Cancels the other sends once one has brought a part of the answer. A prefill that is late doesn't replace a run that has been
   * sent meanwhile: it would run twice.
   *
   * @param active - that send
   * @returns the sends that it has won against; none if it was the only one
   */
  settle(active: activeSends.ActiveSend): readonly activeSends.ActiveSend[] {
    if (active.stage === plannedSends.Stage.Prefill && this.isRunUnderWay) return [];
    const losers = this.#race.settle(active);
    for (const loser of losers) {
      this.#logSuperseded(loser, active);
      loser.cancel();
      loser.release();
      if (this.#unproven.has(loser)) this.#parts.feedback.recordResult(loser, serving.SendResult.Silent);
    }
    return losers;
  }

  /**
   * @param active - a send whose endpoint is silent
   * @returns whether a replacement is to be looked for now
   */
  shouldReplace(active: activeSends.ActiveSend): boolean {
    const { context, served } = this.#parts;
    const now = performance.now();
    const shouldReplace = serving.shouldReplace({
      isRepeatable: active.stage === plannedSends.Stage.Prefill || served.isRepeatable,
      isReplaced: this.latest !== active,
      isBeingStopped: context.runs.isBeingStopped(served),
      sinceAttemptMs: now - this.#replacementTriedAt,
    });
    if (shouldReplace) this.#replacementTriedAt = now;
    return shouldReplace;
  }

  /**
   * Marks the endpoint of a silent send, at once or as soon as another endpoint has brought a part of the answer.
   *
   * @param active - the send
   * @param anyReceivedMs - time since data came from any endpoint, in milliseconds
   */
  blame(active: activeSends.ActiveSend, anyReceivedMs: number): void {
    if (serving.isEndpointToBlame(anyReceivedMs)) this.#parts.feedback.recordResult(active, serving.SendResult.Silent);
    else this.#unproven.add(active);
  }

  /** Cancels all sends in flight. */
  cancelAll(): void {
    for (const active of this.#race.clear()) {
      this.#logCancelled(active);
      active.cancel();
      active.release();
    }
  }

  #logSuperseded(loser: activeSends.ActiveSend, winner: activeSends.ActiveSend): void {
    const { context, served } = this.#parts;
    const isReplaced = winner.sentAt > loser.sentAt;
    context.metrics.count(isReplaced ? "silent_sends_replaced" : "silent_sends_resumed");
    context.log.info("send-superseded", {
      ...this.#fieldsOf(loser),
      by: winner.endpoint.id,
      bySilent: !isReplaced,
      after: served.progress.lastEventId,
      overlapMs: Math.round(performance.now() - Math.max(loser.sentAt, winner.sentAt)),
    });
  }

  #logCancelled(active: activeSends.ActiveSend): void {
    this.#parts.context.log.info("send-cancelled", this.#fieldsOf(active));
  }

  #fieldsOf(active: activeSends.ActiveSend): decisionLogs.LogFields {
    return {
      id: this.#parts.served.id,
      endpoint: active.endpoint.id,
      stage: active.stage,
      ...active.dispatchFields,
      tookMs: Math.round(performance.now() - active.sentAt),
    };
  }
}
