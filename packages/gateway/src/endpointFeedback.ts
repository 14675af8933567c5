import * as serving from "@camphorcourse/serving";
import type * as activeSends from "./activeSend.js";
import type * as contexts from "./context.js";
import type * as servedRequests from "./servedRequest.js";

/** Updates the health and speed estimates of endpoints from the results of one request's sends. */
export class EndpointFeedback {
  readonly #context: contexts.ServingContext;
  readonly #served: servedRequests.ServedRequest;

  /**
   * @param context - what serving needs
   * @param served - the request
   */
  constructor(context: contexts.ServingContext, served: servedRequests.ServedRequest) {
    this.#context = context;
    this.#served = served;
  }

  /**
   * Records the result of a send in its endpoint's health, and logs a change of the health. The result of an earlier
   * incarnation of the endpoint doesn't count against the present one, however late it becomes known.
   *
   * @param active - a send
   * @param result - its result
   */
  recordResult(active: activeSends.ActiveSend, result: serving.SendResult): void {
    if (!this.#isCurrentIncarnation(active)) return;
    const isStream = this.#served.route.requestClass === serving.RequestClass.Stream;
    if (result === serving.SendResult.Good && !isStream) {
      this.#learnAnswerTime(active);
      this.#context.calls.noteAnswer(active.endpoint, performance.now() - active.sentAt, active.runningAtSend);
    }
    if (result === serving.SendResult.Declined) this.#context.calls.noteDeclined(active.endpoint);
    // A failure of the path says nothing about the endpoint.
    const isPathFailure = result === serving.SendResult.Silent || result === serving.SendResult.Failed;
    if (isPathFailure && active.isPathLost) return;
    if (result === serving.SendResult.Declined && this.#isResting(active)) return;
    const changed = this.#context.health.recordResult(active.endpoint.id, result, performance.now());
    if (!changed) return;
    const isUnhealthy = this.#context.health.isUnhealthy(active.endpoint.id);
    if (isUnhealthy) this.#context.backups.noteUnreliable(active.endpoint);
    this.#context.log.warn(isUnhealthy ? "endpoint-bad" : "endpoint-good", {
      endpoint: active.endpoint.id,
      result,
    });
  }

  /**
   * Records that the request has reached its deadline without an answer of this send. That says nothing against an
   * endpoint that usually takes longer, as when a configuration has lowered the route's timeout.
   *
   * @param active - the send under way
   */
  recordDeadline(active: activeSends.ActiveSend): void {
    const { answerTimes, log, metrics } = this.#context;
    const { progress, route } = this.#served;
    if (!this.#isCurrentIncarnation(active)) return;
    const waitedMs = performance.now() - Math.max(active.sentAt, progress.lastEventAt);
    const expectedMs = Math.max(active.predictedMs, answerTimes.usualMs(active.endpoint.id) ?? route.objectiveMs);
    this.#context.calls.noteUnanswered(active.endpoint, performance.now() - active.sentAt, active.runningAtSend);
    const verdict = answerTimes.judgeDeadline(active.endpoint.id, { waitedMs, expectedMs });
    if (verdict.isSilent) {
      this.recordResult(active, serving.SendResult.Silent);
      return;
    }
    metrics.count("deadlines_before_usual_time");
    log.info("deadline-early", {
      id: this.#served.id,
      endpoint: active.endpoint.id,
      waitedMs: Math.round(waitedMs),
      usualMs: Math.round(verdict.usualMs),
    });
  }

  /**
   * Learns from the time that a prefill took, which corrects later predictions.
   *
   * @param active - a send whose prompt has just been prefilled
   */
  learnPrefillTime(active: activeSends.ActiveSend): void {
    if (!this.#isCurrentIncarnation(active)) return;
    const now = performance.now();
    const tookMs = now - active.sentAt;
    this.#learnAnswerTime(active);
    this.#noteCachedPrompt(active);
    this.#learnPrefillSpeed(active, tookMs, now);
    this.#context.health.recordLatency(active.endpoint.id, active.predictedMs, tookMs);
    this.#context.log.info("prompt-read", {
      id: this.#served.id,
      endpoint: active.endpoint.id,
      role: active.endpoint.role,
      unread: active.plan?.unreadTokens,
      ahead: active.plan?.tokensAhead,
      waiting: active.plan?.tokensWaiting,
      prompt: this.#served.caller.headers.prompt?.promptTokens,
      urgency: active.plan?.urgency,
      running: this.#context.loads.runningRequests(active.endpoint.id, now),
      predictedMs: Math.round(active.predictedMs),
      leftAfterMs: active.dispatchFields.leftAfterMs,
      tookMs: Math.round(tookMs),
      slowness: this.#context.health.slowness(active.endpoint.id).toFixed(2),
      tokensPerMs: this.#speeds().prefillEstimate(active.endpoint.role).tokensPerMs.toFixed(1),
      learnedFrom: this.#speeds().prefillEstimate(active.endpoint.role).observations,
    });
  }

  /**
   * Learns from the time that handing a prefilled prompt over to another engine took.
   *
   * @param active - a send to the engine that decodes, at its first event
   */
  learnHandover(active: activeSends.ActiveSend): void {
    const { prompt } = this.#served.caller.headers;
    if (!this.#isCurrentIncarnation(active)) return;
    this.#learnAnswerTime(active);
    if (prompt === undefined) return;
    const tookMs = performance.now() - active.sentAt;
    const speeds = this.#speeds();
    this.#context.log.info("handed-over", {
      id: this.#served.id,
      endpoint: active.endpoint.id,
      prompt: prompt.promptTokens,
      expectedMs: Math.round(speeds.handoverMs(prompt.promptTokens)),
      leftAfterMs: active.dispatchFields.leftAfterMs,
      tookMs: Math.round(tookMs),
    });
    speeds.learnHandover(prompt.promptTokens, this.#withoutNetworkMs(active, tookMs));
  }

  /**
   * Learns from the number of a stream's events and the pauses between them.
   *
   * @param active - a send whose stream is complete
   */
  learnPause(active: activeSends.ActiveSend): void {
    const { events, meanPauseMs } = this.#served.progress;
    const { prompt } = this.#served.caller.headers;
    if (prompt !== undefined) this.#context.demand.learnEvents(prompt.outputTokens, events);
    // The pauses of a run that was moved are those of two engines, and the move.
    if (active.resume !== undefined) return;
    if (meanPauseMs === undefined || this.#served.sends > 1 || !this.#isCurrentIncarnation(active)) return;
    const streams = this.#context.loads.runningRequests(active.endpoint.id, performance.now());
    this.#speeds().learnPause(streams, meanPauseMs);
  }

  #learnAnswerTime(active: activeSends.ActiveSend): void {
    this.#context.answerTimes.learn(active.endpoint.id, performance.now() - active.sentAt);
  }

  /** Records that the engine now caches the prompt's parts, so that other engines can copy them. */
  #noteCachedPrompt(active: activeSends.ActiveSend): void {
    const { prompt } = this.#served.caller.headers;
    const memoryTokens = this.#context.view.table?.service(this.#served.service)?.engine?.memoryTokens;
    if (prompt === undefined || memoryTokens === undefined) return;
    this.#context.loads.noteCachedPrompt(active.endpoint.id, memoryTokens, prompt, true);
  }

  #learnPrefillSpeed(active: activeSends.ActiveSend, tookMs: number, now: number): void {
    const { plan, endpoint } = active;
    const { prompt } = this.#served.caller.headers;
    if (plan === undefined || prompt === undefined) return;
    // It isn't known how much of the prompt was copied: the engine may have had to prefill all of it.
    if (plan.copySource !== undefined) return;
    this.#speeds().learnLocalPrefill(endpoint.role, {
      unreadTokens: plan.unreadTokens,
      cachedTokens: Math.max(0, prompt.promptTokens - plan.unreadTokens),
      tokensWaiting: plan.tokensWaiting,
      streams: this.#context.loads.runningRequests(endpoint.id, now),
      tookMs: this.#withoutNetworkMs(active, tookMs),
    });
  }

  /** The speed of an engine is the same for all daemons, and predictions add the distance of each; engines of one region are learned with it. */
  #withoutNetworkMs({ endpoint }: activeSends.ActiveSend, tookMs: number): number {
    return Math.max(0, tookMs - (this.#context.distances?.roundTripMs(endpoint.dataCentre) ?? 0));
  }

  /** An endpoint that says when it takes requests again is judged by that. */
  #isResting({ endpoint }: activeSends.ActiveSend): boolean {
    return this.#context.statements.rests.isResting(endpoint, performance.now());
  }

  #speeds(): serving.EngineSpeeds {
    return this.#context.speeds.of(this.#served.service);
  }

  #isCurrentIncarnation(active: activeSends.ActiveSend): boolean {
    return this.#context.view.directory.isSameIncarnation(active.endpoint);
  }
}
