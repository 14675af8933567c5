import * as serving from "@camphorcourse/serving";
import type * as decisionLogs from "../decisionLog.js";
import type * as endpointLimits from "../limits/endpointLimits.js";
import type * as metricsModule from "../metrics.js";
import type * as ports from "../ports.js";
import type * as sendings from "../sending.js";
import * as foreignAnswers from "../answers/foreignAnswer.js";
import * as firstSightings from "./firstSightings.js";

/** Dependencies of {@link EndpointStatements}. */
export interface EndpointStatementsParts {
  readonly log: decisionLogs.DecisionLog;
  readonly metrics: metricsModule.Metrics;
  readonly format: Pick<ports.MessageFormat, "readAnswer">;
  readonly limits: endpointLimits.EndpointLimits;
  readonly directory: serving.EndpointDirectory;
  /** @returns a uniform random number in [0, 1) */
  readonly draw: () => number;
  /** Called with an endpoint, as it was known at the send, whose answer says that it leaves. */
  readonly onLeaving: (endpoint: serving.Endpoint) => void;
}

/** What endpoints say of themselves in their answers, to whichever part of the gateway they answer. */
export class EndpointStatements implements sendings.TrafficGuard {
  readonly rests = new serving.RestTable();
  readonly gate: serving.SendGate;
  readonly #parts: EndpointStatementsParts;
  readonly #unlisted = new firstSightings.FirstSightings();

  /** @param parts - dependencies */
  constructor(parts: EndpointStatementsParts) {
    this.#parts = parts;
    const { directory, limits } = parts;
    this.gate = new serving.SendGate({ directory, enforcer: limits.enforcer, rests: this.rests });
  }

  /**
   * {@inheritDoc sendings.TrafficGuard.mayReceive}
   *
   * Calls of the gateway itself go on to an endpoint that leaves: they free what it still keeps. So does a run that it
   * stopped and that goes back to it.
   */
  mayReceive(endpoint: serving.Endpoint, call: serving.AnsweredCall): boolean {
    const isNewWork = call === serving.AnsweredCall.Run || call === serving.AnsweredCall.Prefill;
    return this.gate.mayReceive(endpoint, isNewWork, performance.now());
  }

  /**
   * {@inheritDoc sendings.TrafficGuard.isAnswerTo}
   *
   * Endpoints echo the id of a request in each answer to it. An answer that names none may be that to any call on the connection.
   */
  isAnswerTo(
    endpoint: serving.Endpoint,
    { answerId, call }: Pick<sendings.OutgoingRequest, "answerId" | "call">,
    status: number,
    headers: sendings.AnswerHeaders,
  ): boolean {
    const head = this.#parts.format.readAnswer(status, headers);
    this.#noteUnlisted(endpoint, head);
    if (head.requestId === answerId) return true;
    foreignAnswers.noteForeignAnswer(this.#parts, { endpoint, id: answerId, call }, status, head);
    return false;
  }

  /** {@inheritDoc sendings.TrafficGuard.onSend} */
  onSend(endpoint: serving.Endpoint, request: sendings.OutgoingRequest): sendings.AnswerObserver {
    const onLimitAnswer = this.#parts.limits.onSend(endpoint, request.call);
    return this.#observe(endpoint, onLimitAnswer, request.call !== serving.AnsweredCall.Move);
  }

  /** {@inheritDoc sendings.TrafficGuard.onSendForPeer} */
  onSendForPeer(endpoint: serving.Endpoint): sendings.AnswerObserver {
    return this.#observe(endpoint, () => undefined);
  }

  #observe(
    endpoint: serving.Endpoint,
    onOwnAnswer: (status: number, head: ports.AnswerHead) => void,
    mayStateRest = true,
  ): sendings.AnswerObserver {
    const sentAt = performance.now();
    this.rests.noteSent(endpoint, sentAt);
    return (status, headers) => {
      const head = this.#parts.format.readAnswer(status, headers);
      if (!isByOther(endpoint, head)) this.#noteStatements(endpoint, head, mayStateRest);
      if (!head.notRun) this.#noteTaken(endpoint, sentAt);
      onOwnAnswer(status, head);
    };
  }

  #noteStatements(endpoint: serving.Endpoint, head: ports.AnswerHead, mayStateRest: boolean): void {
    if (head.isLeaving) this.#parts.onLeaving(endpoint);
    if (mayStateRest) this.#noteRest(endpoint, head.rest);
  }

  #noteTaken(endpoint: serving.Endpoint, sentAt: number): void {
    if (this.rests.noteTaken(endpoint, sentAt)) this.#parts.log.info("endpoint-rested", { endpoint: endpoint.id });
  }

  #noteRest(endpoint: serving.Endpoint, rest: serving.StatedRest): void {
    const { draw, log, metrics } = this.#parts;
    if (rest.statement === serving.RestStatement.Unreadable) {
      metrics.count("endpoint_rests_unreadable");
      log.warn("endpoint-rest-unreadable", { endpoint: endpoint.id, text: rest.text });
    }
    if (rest.statement !== serving.RestStatement.Stated) return;
    const change = this.rests.note(endpoint, rest.restMs, performance.now(), draw());
    if (change === undefined) return;
    if (change.isNew) metrics.count("endpoint_rests");
    log.info("endpoint-rest", {
      endpoint: endpoint.id,
      statedMs: Math.round(rest.restMs),
      keptMs: Math.round(change.remainingMs),
      isNew: change.isNew,
    });
  }

  /** Shows operators a header that nobody reads, before it matters that nobody does. */
  #noteUnlisted(endpoint: serving.Endpoint, { unlistedHeaders }: ports.AnswerHead): void {
    for (const name of unlistedHeaders) {
      if (!this.#unlisted.isFirst(name)) continue;
      this.#parts.metrics.count("endpoint_headers_unlisted");
      this.#parts.log.warn("endpoint-header-unlisted", { endpoint: endpoint.id, header: name });
    }
  }
}

/** Whether another endpoint answers at the address, or an answer doesn't tell that it is the one that the request was for. */
function isByOther(endpoint: serving.Endpoint, { endpointId, misdirected }: ports.AnswerHead): boolean {
  return endpointId === undefined ? misdirected : endpointId !== endpoint.id;
}
