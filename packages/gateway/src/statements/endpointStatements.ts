import type * as serving from "@camphorcourse/serving";
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
}

/** Decodes what endpoints say of themselves in their answers, to whichever part of the gateway they answer. */
export class EndpointStatements implements sendings.TrafficObserver {
  readonly #parts: EndpointStatementsParts;
  readonly #unlisted = new Set<string>();

  /** @param parts - dependencies */
  constructor(parts: EndpointStatementsParts) {
    this.#parts = parts;
  }

  /** {@inheritDoc sendings.TrafficObserver.onSend} */
  onSend(endpoint: serving.Endpoint, request: sendings.OutgoingRequest): sendings.AnswerObserver {
    const onLimitAnswer = this.#parts.limits.onSend(endpoint, request.call);
    return (status, headers, isForRequest) => {
      const head = this.#parts.format.readAnswer(status, headers);
      this.#noteUnlisted(endpoint, head);
      if (isForRequest) onLimitAnswer(status, head);
    };
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
