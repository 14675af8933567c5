import * as serving from "@camphorcourse/serving";
import type * as decisionLogs from "../decisionLog.js";
import type * as metricsModule from "../metrics.js";
import type * as ports from "../ports.js";
import * as waitingRequests from "./waitingRequests.js";

const FIRST_UNSUCCESSFUL_STATUS = 300;
const MS_PER_SECOND = 1_000;

/** Dependencies of {@link EndpointLimits}. */
export interface EndpointLimitsParts {
  readonly log: decisionLogs.DecisionLog;
  readonly metrics: metricsModule.Metrics;
  /** @returns true time in Unix milliseconds */
  readonly unixMs: () => number;
  readonly directory: serving.EndpointDirectory;
  /** VM of this daemon. */
  readonly vm: string;
  /** @returns VMs of all daemons that may send requests, this one included; the same array while they don't change */
  readonly senders: () => readonly string[];
  /** @returns prompts that all daemons together get per millisecond, as far as this one can tell */
  readonly promptsPerMs: (now: number) => number;
}

/** The request limits that endpoints state in their answers, and this daemon's part of them. */
export class EndpointLimits {
  readonly table = new serving.LimitTable();
  readonly enforcer: serving.LimitEnforcer;
  readonly waiting = new waitingRequests.WaitingRequests();
  readonly #parts: EndpointLimitsParts;

  /** @param parts - dependencies */
  constructor(parts: EndpointLimitsParts) {
    this.#parts = parts;
    this.enforcer = new serving.LimitEnforcer({
      table: this.table,
      division: serving.LIMIT_DIVISION,
      own: parts.vm,
      senders: parts.senders,
      unixMs: parts.unixMs,
    });
  }

  /**
   * @param now - current time in milliseconds
   * @returns the statements to send in the next heartbeat
   */
  recordsToPublish(now: number): serving.LimitRecord[] {
    this.table.removeUnlisted((record) => this.#isListed(record), this.#parts.unixMs());
    this.enforcer.refresh(now);
    return this.table.recordsToPublish(now, (record) => this.#isListed(record) && this.enforcer.hasPart(record));
  }

  /** @param record - a statement that a peer has observed */
  merge(record: serving.LimitRecord): void {
    const change = this.table.merge(record);
    if (change !== undefined) this.#logChange(change);
  }

  /**
   * @param engines - the engines of a service
   * @param now - current time in milliseconds
   * @returns a function from an engine to the share of its usual work that its limit lets through
   */
  capacityShares(engines: readonly serving.Endpoint[], now: number): (engine: serving.Endpoint) => number {
    const promptsPerSecond = this.#parts.promptsPerMs(now) * MS_PER_SECOND;
    return (engine) => {
      const limit = this.table.limitOf(engine)?.requestsPerSecond;
      if (limit === undefined) return 1;
      const sameRole = engines.filter(({ role }) => role === engine.role).length;
      return serving.limitedCapacityShare(limit, promptsPerSecond / Math.max(1, sameRole));
    };
  }

  /**
   * @param endpoint - where a request is sent now
   * @param call - kind of the request
   * @returns called with the answer to the request
   */
  onSend(endpoint: serving.Endpoint, call: serving.AnsweredCall): (status: number, head: ports.AnswerHead) => void {
    const versionAtSend = this.table.versionOf(endpoint);
    this.enforcer.noteSent(endpoint, performance.now());
    return (status, head) => this.#onAnswer(endpoint, call, versionAtSend, status, head);
  }

  #onAnswer(
    endpoint: serving.Endpoint,
    call: serving.AnsweredCall,
    versionAtSend: number,
    status: number,
    head: ports.AnswerHead,
  ): void {
    const { log, metrics, unixMs } = this.#parts;
    // Another endpoint answers at this address.
    if (head.misdirected) return;
    if (head.limit.statement === serving.LimitStatement.Unreadable) {
      metrics.count("endpoint_limits_unreadable");
      log.warn("endpoint-limit-unreadable", { endpoint: endpoint.id, text: head.limit.text });
    }
    const isRun = call === serving.AnsweredCall.Run;
    const isSuccess = status < FIRST_UNSUCCESSFUL_STATUS && !head.notRun && (head.sealed || !isRun);
    const answer = { call, stated: head.limit, isSuccess, versionAtSend };
    const change = this.table.noteAnswer(endpoint, answer, performance.now(), unixMs());
    if (change !== undefined) this.#logChange(change);
  }

  #isListed({ endpointId, bornAt }: serving.LimitRecord): boolean {
    const { directory } = this.#parts;
    return directory.revisionOf(endpointId) > 0 && directory.bornAtOf(endpointId) === bornAt;
  }

  #logChange({ before, after, isObserved }: serving.LimitChange): void {
    this.#parts.log.info("endpoint-limit", {
      endpoint: after.endpointId,
      requestsPerSecond: after.requestsPerSecond ?? "none",
      before: before?.requestsPerSecond ?? "none",
      statedIn: after.statedIn,
      source: isObserved ? "endpoint" : "peer",
      version: after.version,
      ageMs: Math.round(this.#parts.unixMs() - after.version),
    });
  }
}
