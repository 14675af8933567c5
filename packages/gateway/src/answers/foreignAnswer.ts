import type * as serving from "@camphorcourse/serving";
import type * as decisionLogs from "../decisionLog.js";
import type * as metricsModule from "../metrics.js";
import type * as ports from "../ports.js";

/** The request or call in whose place an answer to another one came. */
export interface AwaitedAnswer {
  /** Id of the request; undefined for a call of the daemon itself. */
  readonly id: string | undefined;
  readonly endpoint: Pick<serving.Endpoint, "id">;
  readonly call: serving.AnsweredCall;
}

/**
 * Logs and counts an answer that belongs to another request than the one that it came for.
 *
 * @param context - log and counters
 * @param awaited - the request in whose place it came
 * @param status - status of the answer
 * @param head - its headers
 */
export function noteForeignAnswer(
  { log, metrics }: { readonly log: decisionLogs.DecisionLog; readonly metrics: metricsModule.Metrics },
  { call, endpoint, id }: AwaitedAnswer,
  status: number,
  { isLeaving, misdirected, notRun, requestId, rest }: ports.AnswerHead,
): void {
  metrics.count("foreign_answers");
  log.warn("foreign-answer", {
    id,
    endpoint: endpoint.id,
    call,
    answerTo: requestId ?? "unnamed",
    status,
    notRun,
    misdirected,
    isLeaving,
    rest: rest.statement,
  });
}
