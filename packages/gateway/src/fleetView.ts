import * as serving from "@camphorcourse/serving";
import type * as daemonEntries from "./daemonEntry.js";
import * as formerDaemons from "./formerDaemons.js";

/** An order to an engine to change its role. */
export interface PendingRoleChange {
  /** Time at which the engine is used again, whatever became of the order, in milliseconds. */
  readonly until: number;
  readonly role: serving.EngineRole;
  /**
   * Start of the incarnation that got the order, in Unix milliseconds, if known. A later incarnation knows of no order.
   */
  readonly bornAt: number | undefined;
}

/** What this daemon knows about the fleet, from the key-value service and its peers. */
export class FleetView {
  readonly directory = new serving.EndpointDirectory();
  /** Endpoints' entries as written, for peers that the key-value service doesn't answer. */
  readonly endpointDocuments = new Map<string, { readonly value: Uint8Array; readonly revision: number }>();
  /** Engines that were ordered to change their role, and get no new work meanwhile. */
  readonly pendingRoleChanges = new Map<string, PendingRoleChange>();
  readonly daemons = new Map<string, daemonEntries.DaemonEntry>();
  /** As of when the configuration in force is known to be the newest. */
  readonly freshness = new serving.ConfigurationFreshness();
  /** Versions of the endpoints' software that may have begun streams which callers take up. */
  readonly versions = new serving.SoftwareVersions();
  /** The longest timeout of streams, and what of it the key-value service holds. */
  readonly longestTimeout = new serving.LongestTimeout();
  /** Services to which the routes have led of late. */
  readonly routes = new serving.RouteHistory();
  /** Daemons that left recently and may restart. */
  readonly former = new formerDaemons.FormerDaemons();
  #table: serving.RouteTable | undefined;
  #configurationRevision = 0;
  #configurationDocument: Uint8Array | undefined;

  /**
   * Upper bound of the number of daemons that may be sending, this one included. Entries lapse while the key-value
   * service is unreachable although the daemons are alive. If these were not counted, each of the other daemons would
   * take a larger share of limits that are divided among all without coordination, such as retries, and together they
   * would exceed them.
   *
   * @returns a number that is never too low
   */
  get daemonsUpperBound(): number {
    return Math.max(1, this.daemons.size + this.former.count);
  }

  /** @returns the configuration in force, once one is known */
  get table(): serving.RouteTable | undefined {
    return this.#table;
  }

  /**
   * @param endpoint - an engine
   * @param now - current time in milliseconds
   * @returns whether it is changing to another role
   */
  isChangingRole(endpoint: serving.Endpoint, now: number): boolean {
    const change = this.pendingRoleChanges.get(endpoint.id);
    if (change === undefined) return false;
    const isSameIncarnation = change.bornAt === undefined || change.bornAt === endpoint.bornAt;
    if (isSameIncarnation && change.until > now && change.role !== endpoint.role) return true;
    this.pendingRoleChanges.delete(endpoint.id);
    return false;
  }

  /**
   * @param endpoint - an engine
   * @param now - current time in milliseconds
   * @returns its role, or the role it will have once a pending order is carried out
   */
  targetRole(endpoint: serving.Endpoint, now: number): serving.EngineRole {
    const change = this.pendingRoleChanges.get(endpoint.id);
    return change !== undefined && this.isChangingRole(endpoint, now) ? change.role : endpoint.role;
  }

  /** @returns revision of the configuration in force, 0 if none is known */
  get configurationRevision(): number {
    return this.#configurationRevision;
  }

  /** @returns the operators' document in force */
  get configurationDocument(): Uint8Array | undefined {
    return this.#configurationDocument;
  }

  /**
   * Puts a configuration into force. The revision never goes back: an older configuration from a delayed peer or reply
   * is ignored.
   *
   * @param configuration - the configuration
   * @param document - the operators' document that it was decoded from
   * @param revision - revision of its write
   * @returns whether it is now in force
   */
  configure(configuration: serving.Configuration, document: Uint8Array, revision: number): boolean {
    if (revision <= this.#configurationRevision) return false;
    this.#table = new serving.RouteTable(configuration);
    this.#configurationRevision = revision;
    this.#configurationDocument = document;
    this.freshness.noteInForce(revision);
    this.routes.noteInForce(this.#table, performance.now());
    const streams = configuration.routes.filter(({ requestClass }) => requestClass === serving.RequestClass.Stream);
    const timeoutMs = Math.max(0, ...streams.map((route) => route.timeoutMs));
    this.longestTimeout.noteInForce(timeoutMs);
    this.versions.noteTimeout(timeoutMs);
    return true;
  }

  /**
   * Notes the longest timeout of streams that the key-value service holds: streams may have begun under it before this
   * daemon started.
   *
   * @param stored - what was read or written
   * @returns whether it is news
   */
  noteStoredTimeout(stored: serving.StoredTimeout): boolean {
    this.versions.noteTimeout(stored.timeoutMs);
    return this.longestTimeout.noteStored(stored);
  }
}
