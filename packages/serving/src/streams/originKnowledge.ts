import type * as routeHistories from "./routeHistory.js";
import type * as softwareVersions from "./softwareVersions.js";
import type * as streamOrigins from "./streamOrigin.js";
import * as streamTables from "./streamTable.js";

/** Greatest age of the configuration by which a route is taken to lead to the only service that it has had, in milliseconds. */
const MAX_CONFIGURATION_AGE_MS = 2_500;

/** Largest number of own streams whose records are published in one go; the next go continues. */
const MAX_PUBLISHED_AT_ONCE = 64;

/** Largest number of records that a daemon hands on when it stops; the newest ones. */
const MAX_HANDED_ON = 1_024;

/** What a daemon knows of the fleet, as far as it tells what may have begun a stream. */
export interface FleetKnowledge {
  readonly versions: softwareVersions.SoftwareVersions;
  readonly routes: routeHistories.RouteHistory;
  /** How old the knowledge of the configuration is. */
  readonly freshness: { ageMs(now: number): number };
}

/** Host and path of a stream's requests. */
export interface StreamPath {
  readonly host: string;
  readonly path: string;
}

interface OwnStream extends StreamPath {
  readonly record: streamTables.StreamRecord;
}

/** What one daemon knows of what began the streams that callers may take up, and which records others must get. */
export class OriginKnowledge {
  readonly #fleet: FleetKnowledge;
  /** Records of own streams and of those of other daemons. */
  readonly #table = new streamTables.StreamTable();
  /** Own streams whose records nobody else has, by hash of the request's id. */
  readonly #unpublished = new Map<string, OwnStream>();

  /** @param fleet - what the daemon knows of the fleet */
  constructor(fleet: FleetKnowledge) {
    this.#fleet = fleet;
  }

  /** @returns number of records that are kept */
  get count(): number {
    return this.#table.size;
  }

  /**
   * @param record - what began a stream of this daemon
   * @param streamPath - host and path of its request
   */
  noteBegun(record: streamTables.StreamRecord, streamPath: StreamPath): void {
    this.#table.put(record);
    this.#unpublished.set(record.attempt, { record, ...streamPath });
  }

  /** @param attempt - hash of the id of a request whose stream is complete, so that its caller has no reason to take it up */
  noteComplete(attempt: string): void {
    this.#table.remove(attempt);
    this.#unpublished.delete(attempt);
  }

  /** @param attempt - hash of the id of a request whose record other daemons have got */
  notePublished(attempt: string): void {
    this.#unpublished.delete(attempt);
  }

  /**
   * @param record - what another daemon says that began a stream
   * @returns whether it contradicts what is known
   */
  merge(record: streamTables.StreamRecord): boolean {
    return this.#table.put(record);
  }

  /**
   * @param now - current time in milliseconds
   * @returns records of own streams that other daemons must get now, as more than one version may have begun them
   */
  due(now: number): streamTables.StreamRecord[] {
    const due: streamTables.StreamRecord[] = [];
    for (const [attempt, { record, ...streamPath }] of this.#unpublished) {
      if (record.begunAt < this.#expiry(now)) this.#unpublished.delete(attempt);
      else if (due.length < MAX_PUBLISHED_AT_ONCE && this.onlyOrigin(streamPath, now) === undefined) due.push(record);
    }
    return due;
  }

  /**
   * @param now - current time in milliseconds
   * @returns records to hand on to the daemons that keep them once this one has stopped
   */
  handedOn(now: number): streamTables.StreamRecord[] {
    return this.#table.current(this.#expiry(now)).slice(-MAX_HANDED_ON);
  }

  /**
   * @param attempt - hash of the id of a request
   * @param now - current time in milliseconds
   * @returns what began its stream, by a record
   */
  recorded(attempt: string, now: number): streamOrigins.StreamOrigin | undefined {
    return this.#table.find(attempt, this.#expiry(now));
  }

  /**
   * @param streamPath - host and path of a request
   * @param now - current time in milliseconds
   * @returns what began all streams there that may be taken up, if only one version of one service can have
   */
  onlyOrigin({ host, path }: StreamPath, now: number): streamOrigins.StreamOrigin | undefined {
    const { freshness, routes, versions } = this.#fleet;
    if (freshness.ageMs(now) > MAX_CONFIGURATION_AGE_MS) return undefined;
    const [service, ...others] = routes.servicesSince(host, path, now - versions.windowMs) ?? [];
    if (service === undefined || others.length > 0) return undefined;
    const softwareVersion = versions.soleVersion(service, now);
    return softwareVersion === undefined ? undefined : { service, softwareVersion };
  }

  /** Instant before which records have expired, in milliseconds. */
  #expiry(now: number): number {
    return now - this.#fleet.versions.recordLifetimeMs;
  }
}
