import type * as serving from "@camphorcourse/serving";
import type * as activeSends from "./activeSend.js";
import type * as contexts from "./context.js";
import type * as servedRequests from "./servedRequest.js";

/** What the sends of a request teach of the endpoints. */
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
   * What a former life did doesn't count against the present one, also if it shows only now.
   *
   * @param active - a send
   * @param result - what it says of its endpoint; a change of what is thought of it is logged
   */
  recordResult(active: activeSends.ActiveSend, result: serving.SendResult): void {
    if (!this.#isOfThisLife(active)) return;
    const changed = this.#context.health.record(active.endpoint.id, result, performance.now());
    if (!changed) return;
    const bad = this.#context.health.isBad(active.endpoint.id);
    this.#context.log.warn(bad ? "endpoint-bad" : "endpoint-good", { endpoint: active.endpoint.id, result });
  }

  /** @param active - a send whose prompt has been read: the time that it took corrects later predictions */
  learnPrefillTime(active: activeSends.ActiveSend): void {
    if (!this.#isOfThisLife(active)) return;
    const now = performance.now();
    const tookMs = now - active.sentAt;
    this.#noteRead(active);
    this.#learnReading(active, tookMs, now);
    this.#context.health.recordTime(active.endpoint.id, active.predictedMs, tookMs);
    this.#context.log.info("prompt-read", {
      id: this.#served.id,
      endpoint: active.endpoint.id,
      role: active.endpoint.role,
      unread: active.plan?.unreadTokens,
      ahead: active.plan?.tokensAhead,
      waiting: active.plan?.tokensWaiting,
      prompt: this.#served.caller.headers.prompt?.promptTokens,
      urgency: active.plan?.level,
      running: this.#context.board.running(active.endpoint.id, now),
      predictedMs: Math.round(active.predictedMs),
      leftAfterMs: active.departure.leftAfterMs,
      tookMs: Math.round(tookMs),
      slowness: this.#context.health.slowness(active.endpoint.id).toFixed(2),
      tokensPerMs: this.#speeds().figures(active.endpoint.role).tokensPerMs.toFixed(1),
      learnedFrom: this.#speeds().figures(active.endpoint.role).observations,
    });
  }

  /** @param active - a send that goes on from a prompt which another engine has read, at its first event */
  learnHandover(active: activeSends.ActiveSend): void {
    const { prompt } = this.#served.caller.headers;
    if (prompt === undefined || !this.#isOfThisLife(active)) return;
    const tookMs = performance.now() - active.sentAt;
    const speeds = this.#speeds();
    this.#context.log.info("handed-over", {
      id: this.#served.id,
      endpoint: active.endpoint.id,
      prompt: prompt.promptTokens,
      expectedMs: Math.round(speeds.handoverMs(prompt.promptTokens)),
      leftAfterMs: active.departure.leftAfterMs,
      tookMs: Math.round(tookMs),
    });
    speeds.learnHandover(prompt.promptTokens, tookMs);
  }

  /** @param active - a send whose whole stream has come from its endpoint */
  learnPause(active: activeSends.ActiveSend): void {
    const { events, meanPauseMs } = this.#served.progress;
    const { prompt } = this.#served.caller.headers;
    if (prompt !== undefined) this.#context.demand.learnEvents(prompt.outputTokens, events);
    if (meanPauseMs === undefined || this.#served.sends > 1 || !this.#isOfThisLife(active)) return;
    const streams = this.#context.board.running(active.endpoint.id, performance.now());
    this.#speeds().learnPause(streams, meanPauseMs);
  }

  /** The engine keeps the prompt's parts now, and others can copy them from there. */
  #noteRead(active: activeSends.ActiveSend): void {
    const { prompt } = this.#served.caller.headers;
    const memoryTokens = this.#context.view.table?.service(this.#served.service)?.engine?.memoryTokens;
    if (prompt === undefined || memoryTokens === undefined) return;
    this.#context.board.noteRead(active.endpoint.id, memoryTokens, prompt, true);
  }

  #learnReading(active: activeSends.ActiveSend, tookMs: number, now: number): void {
    const { plan, endpoint } = active;
    const { prompt } = this.#served.caller.headers;
    if (plan === undefined || prompt === undefined) return;
    // How much a copy brought isn't known: the engine may have had to read all of it.
    if (plan.copySource !== undefined) return;
    this.#speeds().observeReading(endpoint.role, {
      unreadTokens: plan.unreadTokens,
      cachedTokens: Math.max(0, prompt.promptTokens - plan.unreadTokens),
      tokensWaiting: plan.tokensWaiting,
      streams: this.#context.board.running(endpoint.id, now),
      tookMs,
    });
  }

  #speeds(): serving.EngineSpeeds {
    return this.#context.speeds.of(this.#served.service);
  }

  #isOfThisLife(active: activeSends.ActiveSend): boolean {
    return this.#context.view.directory.isSameLife(active.endpoint);
  }
}
