import * as serving from "@camphorcourse/serving";
import type * as decisionLogs from "../decisionLog.js";
import type * as endpointLimits from "../limits/endpointLimits.js";
import type * as metricsModule from "../metrics.js";
import type * as ports from "../ports.js";
import type * as sendings from "../sending.js";

/** Maximum number of unlisted headers that are logged. */
const MAX_UNLISTED = 32;

/** Dependencies of {@link EndpointStatements}. */
export interface EndpointStatementsParts {
  readonly log: decisionLogs.DecisionLog;
  readonly metrics: metricsModule.Metrics;
  readonly format: Pick<ports.MessageFormat, "readAnswer">;
  readonly limits: endpointLimits.EndpointLimits;
  readonly directory: serving.EndpointDirectory;
  /** Called with an endpoint, as it was known at the send, whose answer says that it leaves. */
  readonly onLeaving: (endpoint: serving.Endpoint) => void;
}

/** Decodes what endpoints say of themselves in their answers, to whichever part of the gateway they answer. */
export class EndpointStatements implements sendings.TrafficGuard {
  readonly #parts: EndpointStatementsParts;
  readonly #unlisted = new Set<string>();

  /** @param parts - dependencies */
  constructor(parts: EndpointStatementsParts) {
    this.#parts = parts;
  }

  /**
   * {@inheritDoc sendings.TrafficGuard.mayReceive}
   *
   * Calls of the gateway itself go on to an endpoint that leaves: they free what it still keeps.
   */
  mayReceive(endpoint: serving.Endpoint, call: serving.AnsweredCall): boolean {
    return call === serving.AnsweredCall.Control || !this.#parts.directory.isStatedLeaving(endpoint);
  }

  /** {@inheritDoc sendings.TrafficGuard.onSend} */
  onSend(endpoint: serving.Endpoint, request: sendings.OutgoingRequest): sendings.AnswerObserver {
    const onLimitAnswer = this.#parts.limits.onSend(endpoint, request.call);
    return (status, headers, isForRequest) => {
      const head = this.#parts.format.readAnswer(status, headers);
      this.#noteAnswer(endpoint, head);
      if (isForRequest) onLimitAnswer(status, head);
    };
  }

  /** {@inheritDoc sendings.TrafficGuard.onSendForPeer} */
  onSendForPeer(endpoint: serving.Endpoint): sendings.AnswerObserver {
    return (status, headers) => this.#noteAnswer(endpoint, this.#parts.format.readAnswer(status, headers));
  }

  #noteAnswer(endpoint: serving.Endpoint, head: ports.AnswerHead): void {
    this.#noteUnlisted(endpoint, head);
    if (isByOther(endpoint, head)) return;
    if (head.isLeaving) this.#parts.onLeaving(endpoint);
  }

  /** Shows operators a header that nobody reads, before it matters that nobody does. */
  #noteUnlisted(endpoint: serving.Endpoint, { unlistedHeaders }: ports.AnswerHead): void {
    for (const name of unlistedHeaders) {
      if (this.#unlisted.has(name) || this.#unlisted.size >= MAX_UNLISTED) continue;
      this.#unlisted.add(name);
      this.#parts.metrics.count("endpoint_headers_unlisted");
      this.#parts.log.warn("endpoint-header-unlisted", { endpoint: endpoint.id, header: name });
    }
  }
}

/** Whether another endpoint answers at the address, or an answer doesn't tell that it is the one that the request was for. */
function isByOther(endpoint: serving.Endpoint, { endpointId, misdirected }: ports.AnswerHead): boolean {
  return endpointId === undefined ? misdirected : endpointId !== endpoint.id;
}
