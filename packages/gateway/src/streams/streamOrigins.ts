import * as crypto from "node:crypto";
import * as serving from "@camphorcourse/serving";
import type * as decisionLogs from "../decisionLog.js";
import type * as fleetViews from "../fleetView.js";
import type * as metricsModule from "../metrics.js";
import type * as ports from "../ports.js";
import type * as servedRequests from "../servedRequest.js";

/** Time for which daemons are asked what began a stream, in milliseconds; there are two rounds of them. */
const ASK_TIMEOUT_MS = 200;

/** Hexadecimal digits of the hash of a request's id: 64 bits. */
const ATTEMPT_DIGITS = 16;

/** Characters of an id that a caller names that are kept for the log. */
const MAX_LOGGED_ID_LENGTH = 60;

/** How it is known what began a stream. */
export enum OriginSource {
  /** This daemon has a record. */
  Record = "record",
  /** Only one version can have begun it. */
  OnlyVersion = "only-version",
  Peer = "peer",
  Unknown = "unknown",
}

/** What began a stream that a caller takes up, as far as it is known. */
export interface OriginFinding {
  readonly origin: serving.StreamOrigin | undefined;
  readonly source: OriginSource;
  /** Whether nobody will know more later. */
  readonly isFinal: boolean;
}

/** Names a stream to other daemons, with host and path of the request that takes it up. */
export interface StreamQuery extends serving.StreamPath {
  /** Hash of the id of the request that brought its first event. */
  readonly attempt: string;
}

/** The other daemons, as holders of records. */
export interface RecordPeers {
  /** @returns the other daemons that serve */
  holders(): readonly serving.PossibleHolder[];
  /** @param vm - VM of a daemon; @param records - what it is to keep */
  sendRecords(vm: string, records: readonly serving.StreamRecord[]): void;
  /**
   * @param vm - VM of a daemon
   * @param query - a stream
   * @param timeoutMs - time for the answer, in milliseconds
   * @returns what began it, if that daemon knows
   * @throws if there is no answer
   */
  findStream(vm: string, query: StreamQuery, timeoutMs: number): Promise<serving.StreamOrigin | undefined>;
}

/** Dependencies of {@link StreamOrigins}. */
export interface StreamOriginsParts {
  readonly log: decisionLogs.DecisionLog;
  readonly metrics: metricsModule.Metrics;
  readonly view: fleetViews.FleetView;
  readonly peers: () => RecordPeers;
}

/**
 * What began the streams that callers may take up, at this daemon or another. Where only one version can have begun them,
 * nothing is exchanged; otherwise each record is sent to two daemons that the request's id chooses. What isn't known for
 * sure is unknown.
 */
export class StreamOrigins {
  readonly #parts: StreamOriginsParts;
  readonly #knowledge: serving.OriginKnowledge;

  /** @param parts - dependencies */
  constructor(parts: StreamOriginsParts) {
    this.#parts = parts;
    this.#knowledge = new serving.OriginKnowledge(parts.view);
  }

  /** @returns number of records that are kept here */
  get count(): number {
    return this.#knowledge.count;
  }

  /** @param served - a request that has brought an event of its stream, its first one */
  noteBegun(served: servedRequests.ServedRequest): void {
    const { caller, id, origin, route } = served;
    if (origin === undefined || !serving.mayRetry(route)) return;
    const now = performance.now();
    const record = { attempt: attemptHash(served, id), origin, begunAt: now };
    this.#knowledge.noteBegun(record, caller);
    if (this.#knowledge.onlyOrigin(caller, now) === undefined) this.#publish([record]);
  }

  /** @param served - a request whose stream is complete */
  noteComplete(served: servedRequests.ServedRequest): void {
    this.#knowledge.noteComplete(attemptHash(served, served.id));
  }

  /** Sends the records of own streams that other daemons must get now. */
  publishDue(): void {
    this.#publish(this.#knowledge.due(performance.now()));
  }

  /** Sends all records to the daemons that keep them once this one has stopped. */
  handOn(): void {
    this.#publish(this.#knowledge.handedOn(performance.now()));
  }

  /** @param record - what a peer says that began a stream */
  merge(record: serving.StreamRecord): void {
    if (!this.#knowledge.merge(record)) return;
    this.#parts.metrics.count("stream_records_disputed");
    this.#parts.log.warn("stream-record-disputed", { attempt: record.attempt, ...record.origin });
  }

  /**
   * @param query - a stream that a caller of a peer takes up
   * @returns what began it, if this daemon knows
   */
  answer(query: StreamQuery): serving.StreamOrigin | undefined {
    return this.#findHere(query)?.origin;
  }

  /**
   * Finds what began the stream that a request goes on with.
   *
   * @param served - the request
   * @param resumption - what the caller says of the stream
   * @returns what began it, as far as that is known
   */
  async find(
    served: servedRequests.ServedRequest,
    { attemptId, lastEventId }: ports.Resumption,
  ): Promise<OriginFinding> {
    const startedAt = performance.now();
    const { host, path } = served.caller;
    const query = { attempt: attemptHash(served, attemptId ?? served.id), host, path };
    const finding = this.#findHere(query) ?? (await this.#ask(query));
    const { origin, source, isFinal } = finding;
    const { freshness, versions } = this.#parts.view;
    const ageMs = versions.ageMs(startedAt);
    this.#parts.metrics.count(`streams_taken_up_${source.replaceAll("-", "_")}`);
    this.#parts.log.info("stream-taken-up", {
      id: served.id,
      attempt: attemptId?.slice(0, MAX_LOGGED_ID_LENGTH),
      after: lastEventId?.slice(0, MAX_LOGGED_ID_LENGTH),
      route: served.route.name,
      source,
      service: origin?.service,
      version: origin?.softwareVersion,
      isFinal,
      versionsAgeMs: ageMs === undefined ? undefined : Math.round(ageMs),
      versionsKnownMs: Math.round(versions.knownMs),
      confirmedByPeer: versions.isConfirmedByPeer,
      windowMs: Math.round(versions.windowMs),
      configurationAgeMs: Math.round(freshness.ageMs(startedAt)),
      tookMs: Math.round(performance.now() - startedAt),
    });
    return finding;
  }

  #findHere(query: StreamQuery): OriginFinding | undefined {
    const now = performance.now();
    const recorded = this.#knowledge.recorded(query.attempt, now);
    if (recorded !== undefined) return { origin: recorded, source: OriginSource.Record, isFinal: true };
    const only = this.#knowledge.onlyOrigin(query, now);
    return only === undefined ? undefined : { origin: only, source: OriginSource.OnlyVersion, isFinal: true };
  }

  /** Asks the daemons that keep the record, then others. Those that don't answer may know; the caller may try again. */
  async #ask(query: StreamQuery): Promise<OriginFinding> {
    let isFinal = true;
    for (const round of serving.askedFor(query.attempt, this.#parts.peers().holders())) {
      const answers = await this.#askAll(round, query);
      if (answers.origin !== undefined) return { ...answers, source: OriginSource.Peer, isFinal: true };
      isFinal &&= answers.isFinal;
    }
    return { origin: undefined, source: OriginSource.Unknown, isFinal };
  }

  /** The first daemon that knows decides. */
  async #askAll(vms: readonly string[], query: StreamQuery): Promise<Pick<OriginFinding, "origin" | "isFinal">> {
    let answers = 0;
    const findings = vms.map(async (vm) => {
      const origin = await this.#parts.peers().findStream(vm, query, ASK_TIMEOUT_MS);
      answers++;
      if (origin === undefined) throw new Error("unknown");
      return origin;
    });
    try {
      return { origin: await Promise.any(findings), isFinal: true };
    } catch {
      return { origin: undefined, isFinal: answers === vms.length };
    }
  }

  #publish(records: readonly serving.StreamRecord[]): void {
    if (records.length === 0) return;
    const peers = this.#parts.peers();
    const holders = peers.holders();
    const byHolder = new Map<string, serving.StreamRecord[]>();
    for (const record of records) {
      const chosen = serving.holdersOf(record.attempt, holders);
      for (const vm of chosen) byHolder.set(vm, [...(byHolder.get(vm) ?? []), record]);
      if (chosen.length > 0) this.#knowledge.notePublished(record.attempt);
    }
    for (const [vm, each] of byHolder) peers.sendRecords(vm, each);
  }
}

/** The organisation is a part of the hash: nobody learns whether a request of another organisation exists. */
function attemptHash({ access }: servedRequests.ServedRequest, id: string): string {
  const named = JSON.stringify([access.organisation?.name ?? null, id]);
  return crypto.createHash("sha256").update(named).digest("hex").slice(0, ATTEMPT_DIGITS);
}
