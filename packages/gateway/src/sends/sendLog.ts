import type * as serving from "@camphorcourse/serving";
import type * as activeSends from "../activeSend.js";
import type * as decisionLogs from "../decisionLog.js";
import type * as exchangeParts from "../exchangeParts.js";
import type * as plannedSends from "./plannedSend.js";

/** What belongs to the request whose sends are logged. */
type LoggedParts = Pick<exchangeParts.ExchangeParts, "context" | "served">;

/** What a send is logged with beside its plan. */
export interface SentFields {
  /** Time that was left of the request, in milliseconds. */
  readonly leftMs: number;
  readonly urgency: number | undefined;
  /** The silent send that it is to replace, if there is one. */
  readonly replaced: activeSends.ActiveSend | undefined;
}

/** Logs the sends of one request: when they begin, fail and fall silent, and on what that was decided. */
export class SendLog {
  readonly #parts: LoggedParts;

  /** @param parts - what belongs to the request */
  constructor(parts: LoggedParts) {
    this.#parts = parts;
  }

  /**
   * @param planned - a send that begins
   * @param fields - what else it was decided on
   */
  sent(planned: plannedSends.PlannedSend, { leftMs, replaced, urgency }: SentFields): void {
    const { context, served } = this.#parts;
    context.log.info("send", {
      id: served.id,
      stage: planned.stage,
      endpoint: planned.endpoint.id,
      way: context.distances?.wayTo(planned.endpoint.dataCentre),
      version: planned.endpoint.softwareVersion,
      after: served.progress.lastEventId,
      service: served.service,
      sends: served.sends,
      leftMs,
      predictedMs: Math.round(planned.predictedMs),
      unread: planned.plan?.unreadTokens,
      copyFrom: planned.plan?.copySource?.id,
      replaces: replaced?.endpoint.id,
      urgency,
      entryRevision: context.view.directory.revision,
      configuration: context.view.configurationRevision,
      ...planned.admission,
      ...planned.pacing,
    });
  }

  /**
   * @param active - a send that gave no answer to forward
   * @param fate - whether the request may have run
   * @param detail - what went wrong
   * @param step - what follows
   */
  failed(active: activeSends.ActiveSend, fate: serving.SendOutcome, detail: string, step: string): void {
    const { context, served } = this.#parts;
    context.log.info("send-failed", {
      id: served.id,
      endpoint: active.endpoint.id,
      stage: active.stage,
      fate,
      detail,
      sends: served.sends,
      step,
      ...active.dispatchFields,
      tookMs: Math.round(performance.now() - active.sentAt),
      ...this.#silenceFields(active),
    });
  }

  /**
   * @param active - a send whose endpoint is silent
   * @param silentMs - time since its last event, in milliseconds
   * @param replacement - endpoint that is sent the request as well
   */
  silent(active: activeSends.ActiveSend, silentMs: number, replacement: serving.Endpoint): void {
    const { context, served } = this.#parts;
    context.log.warn("endpoint-silent", {
      id: served.id,
      endpoint: active.endpoint.id,
      stage: active.stage,
      silentMs: Math.round(silentMs),
      replacement: replacement.id,
      ...this.#silenceFields(active),
      events: served.progress.events,
      acceptedUnder: served.acceptedUnder,
      configuration: context.view.configurationRevision,
    });
  }

  /** @param error - an exception in a decision on the request */
  fault({ message, stack }: Error): void {
    const { context, served } = this.#parts;
    context.log.warn("request-fault", { id: served.id, detail: message, stack });
  }

  /**
   * Ages of the last data from the endpoint and from any, and the delay of the event loop: only together they tell a failed
   * endpoint from a lost link and from a paused process.
   */
  #silenceFields({ endpoint }: activeSends.ActiveSend): decisionLogs.LogFields {
    const { context } = this.#parts;
    return {
      endpointHeardMs: ageMs(context.client.lastReceivedAt(endpoint.id)),
      anyHeardMs: ageMs(context.client.lastReceivedFromAnyAt),
      loopLateMs: Math.round(context.lateMs()),
    };
  }
}

/** Age of an instant in whole milliseconds; undefined if it is 0, for never. */
function ageMs(instant: number): number | undefined {
  return instant === 0 ? undefined : Math.round(performance.now() - instant);
}
