import * as crypto from "node:crypto";
import * as serving from "@camphorcourse/serving";
import type * as decisionLogs from "../decisionLog.js";
import type * as fleetViews from "../fleetView.js";
import type * as metricsModule from "../metrics.js";
import type * as servedRequests from "../servedRequest.js";

/** Time for which other daemons are asked what began a stream, in milliseconds. */
const ASK_TIMEOUT_MS = 250;

/** Greatest age of the configuration by which a route is taken to lead to the only service that it has had, in milliseconds. */
const MAX_CONFIGURATION_AGE_MS = 2_500;

/** Largest number of own streams whose records are published in one go; the next go continues. */
const MAX_PUBLISHED_AT_ONCE = 64;

/** Largest number of records that a daemon hands on when it stops; the newest ones. */
const MAX_HANDED_ON = 1_024;

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

/** Names a stream to other daemons. */
export interface StreamQuery {
  /** Hash of the id of the request that brought its first event. */
  readonly attempt: string;
  /** Host and path of the request that takes it up. */
  readonly host: string;
  readonly path: string;
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

/** A stream that this daemon serves or has served in part, and whose caller may take it up. */
interface OwnStream extends Omit<StreamQuery, "attempt"> {
  readonly record: serving.StreamRecord;
}

/**
 * What began the streams that callers may take up, at this daemon or another. Where only one version can have begun them,
 * nothing is exchanged; otherwise each record is sent to two daemons that the request's id chooses. What isn't known for
 * sure is unknown.
 */
export class StreamOrigins {
  readonly #parts: StreamOriginsParts;
  /** Records of own streams and of those of other daemons. */
  readonly #table = new serving.StreamTable();
  /** Own streams whose records nobody else has, by hash of the request's id. */
  readonly #unpublished = new Map<string, OwnStream>();

  /** @param parts - dependencies */
  constructor(parts: StreamOriginsParts) {
    this.#parts = parts;
  }

  /** @returns number of records that are kept here */
  get count(): number {
    return this.#table.size;
  }

  /** @param served - a request that has brought an event of its stream, its first one */
  noteBegun(served: servedRequests.ServedRequest): void {
    const { origin } = served;
    if (origin === undefined || !serving.mayRetry(served.route)) return;
    const { host, path } = served.caller;
    const attempt = attemptHash(served, served.id);
    const record = { attempt, origin, begunAt: performance.now() };
    this.#put(record);
    this.#unpublished.set(attempt, { record, host, path });
    if (this.#onlyOrigin(host, path) === undefined) this.#publish([record]);
  }

  /** @param served - a request whose stream is complete, so that its caller has no reason to take it up */
  noteComplete(served: servedRequests.ServedRequest): void {
    const attempt = attemptHash(served, served.id);
    this.#table.remove(attempt);
    this.#unpublished.delete(attempt);
  }

  /** Sends the records of own streams of which more than one version may be the origin by now. */
  publishDue(): void {
    const expired = this.#expiry();
    const due: serving.StreamRecord[] = [];
    for (const [attempt, { record, host, path }] of this.#unpublished) {
      if (record.begunAt < expired) this.#unpublished.delete(attempt);
      else if (due.length < MAX_PUBLISHED_AT_ONCE && this.#onlyOrigin(host, path) === undefined) due.push(record);
    }
    if (due.length > 0) this.#publish(due);
  }

  /** Sends all records to the daemons that keep them once this one has stopped. */
  handOn(): void {
    this.#publish(this.#table.current(this.#expiry()).slice(-MAX_HANDED_ON));
  }

  /** @param record - what a peer says that began a stream */
  merge(record: serving.StreamRecord): void {
    this.#put(record);
  }

  /**
   * @param query - a stream that a caller of a peer takes up
   * @returns what began it, if this daemon knows
   */
  answer({ attempt, host, path }: StreamQuery): serving.StreamOrigin | undefined {
    return this.#table.find(attempt, this.#expiry()) ?? this.#onlyOrigin(host, path);
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
    { attemptId, lastEventId }: { readonly attemptId: string | undefined; readonly lastEventId: string | undefined },
  ): Promise<OriginFinding> {
    const startedAt = performance.now();
    const { host, path } = served.caller;
    const query = { attempt: attemptHash(served, attemptId ?? served.id), host, path };
    const finding = this.#findHere(query) ?? (await this.#ask(query));
    const { origin, source, isFinal } = finding;
    const ageMs = this.#parts.view.versions.ageMs(startedAt);
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
      tookMs: Math.round(performance.now() - startedAt),
    });
    return finding;
  }

  #findHere({ attempt, host, path }: StreamQuery): OriginFinding | undefined {
    const recorded = this.#table.find(attempt, this.#expiry());
    if (recorded !== undefined) return { origin: recorded, source: OriginSource.Record, isFinal: true };
    const only = this.#onlyOrigin(host, path);
    return only === undefined ? undefined : { origin: only, source: OriginSource.OnlyVersion, isFinal: true };
  }

  /** The first daemon that knows decides. Those that don't answer may know; the caller may try again. */
  async #ask(query: StreamQuery): Promise<OriginFinding> {
    const peers = this.#parts.peers();
    const asked = serving.askedFor(query.attempt, peers.holders());
    let answers = 0;
    const answersOf = asked.map(async (vm) => {
      const origin = await peers.findStream(vm, query, ASK_TIMEOUT_MS);
      answers++;
      if (origin === undefined) throw new Error("unknown");
      return origin;
    });
    try {
      return { origin: await Promise.any(answersOf), source: OriginSource.Peer, isFinal: true };
    } catch {
      return { origin: undefined, source: OriginSource.Unknown, isFinal: answers === asked.length };
    }
  }

  /** What began all streams of a route, where only one version of one service can have. */
  #onlyOrigin(host: string, path: string): serving.StreamOrigin | undefined {
    const { freshness, routes, versions } = this.#parts.view;
    const now = performance.now();
    if (freshness.ageMs(now) > MAX_CONFIGURATION_AGE_MS) return undefined;
    const [service, ...others] = routes.servicesSince(host, path, now - versions.windowMs) ?? [];
    if (service === undefined || others.length > 0) return undefined;
    const softwareVersion = versions.soleVersion(service, now);
    return softwareVersion === undefined ? undefined : { service, softwareVersion };
  }

  #publish(records: readonly serving.StreamRecord[]): void {
    const peers = this.#parts.peers();
    const holders = peers.holders();
    const byHolder = new Map<string, serving.StreamRecord[]>();
    for (const record of records) {
      const chosen = serving.holdersOf(record.attempt, holders);
      for (const vm of chosen) byHolder.set(vm, [...(byHolder.get(vm) ?? []), record]);
      if (chosen.length > 0) this.#unpublished.delete(record.attempt);
    }
    for (const [vm, each] of byHolder) peers.sendRecords(vm, each);
  }

  #put(record: serving.StreamRecord): void {
    if (!this.#table.put(record)) return;
    this.#parts.metrics.count("stream_records_disputed");
    this.#parts.log.warn("stream-record-disputed", { attempt: record.attempt, ...record.origin });
  }

  /** Instant before which the records have expired, in milliseconds. */
  #expiry(): number {
    return performance.now() - this.#parts.view.versions.windowMs;
  }
}

/** The organisation is a part of the hash: nobody learns whether a request of another organisation exists. */
function attemptHash({ access }: servedRequests.ServedRequest, id: string): string {
  const named = JSON.stringify([access.organisation?.name ?? null, id]);
  return crypto.createHash("sha256").update(named).digest("hex").slice(0, ATTEMPT_DIGITS);
}
