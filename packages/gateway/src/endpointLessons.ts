import type * as serving from "@camphorcourse/serving";
import type * as activeSends from "./activeSend.js";
import type * as contexts from "./context.js";
import type * as servedRequests from "./servedRequest.js";

/** What the sends of a request teach of the endpoints. */
export class EndpointLessons {
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
  judge(active: activeSends.ActiveSend, result: serving.SendResult): void {
    if (!this.#isOfThisLife(active)) return;
    const changed = this.#context.health.record(active.endpoint.id, result, performance.now());
    if (!changed) return;
    const bad = this.#context.health.isBad(active.endpoint.id);
    this.#context.log.warn(bad ? "endpoint-bad" : "endpoint-good", { endpoint: active.endpoint.id, result });
  }

  /** @param active - a send whose prompt has been read: the time that it took corrects later predictions */
  learnTime(active: activeSends.ActiveSend): void {
    if (!this.#isOfThisLife(active)) return;
    const tookMs = performance.now() - active.sentAt;
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
      running: this.#context.board.running(active.endpoint.id, performance.now()),
      predictedMs: Math.round(active.predictedMs),
      tookMs: Math.round(tookMs),
      slowness: this.#context.health.slowness(active.endpoint.id).toFixed(2),
    });
  }

  #isOfThisLife(active: activeSends.ActiveSend): boolean {
    return this.#context.view.directory.isSameLife(active.endpoint);
  }
}
