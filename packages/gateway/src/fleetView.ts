import * as serving from "@camphorcourse/serving";
import type * as daemonEntries from "./daemonEntry.js";
import * as formerDaemons from "./formerDaemons.js";

/** An engine that was ordered to take another role. */
export interface EngineInChange {
  /** Instant at which it is used again whatever became of the order, in milliseconds. */
  readonly until: number;
  readonly role: serving.EngineRole;
  /** Start of the life that got the order, in Unix milliseconds, if it says one: a later life knows of no order. */
  readonly bornAt: number | undefined;
}

/** What this daemon believes of the fleet, from the key-value service and its peers. */
export class FleetView {
  readonly directory = new serving.EndpointDirectory();
  /** Endpoints' entries as written, to be told to peers that the service doesn't answer. */
  readonly endpointDocuments = new Map<string, { readonly value: Uint8Array; readonly revision: number }>();
  /** Engines that were ordered to take another role and get no new work meanwhile. */
  readonly pendingRoleChanges = new Map<string, EngineInChange>();
  readonly daemons = new Map<string, daemonEntries.DaemonEntry>();
  /** Daemons that have left a short time ago, and may start again. */
  readonly former = new formerDaemons.FormerDaemons();
  #table: serving.RouteTable | undefined;
  #configurationRevision = 0;
  #configurationDocument: Uint8Array | undefined;

  /**
   * Daemons that may be sending now, this one included. Entries lapse while the
   * key-value service is away, though the daemons live: were these not counted,
   * each of the others would take a larger share of what they share without a
   * word, such as repeats, and together they would exceed it.
   *
   * @returns a number that errs upwards
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
   * @param now - current instant in milliseconds
   * @returns whether it is on the way to another role
   */
  isChangingRole(endpoint: serving.Endpoint, now: number): boolean {
    const change = this.pendingRoleChanges.get(endpoint.id);
    if (change === undefined) return false;
    const ofThisLife = change.bornAt === undefined || change.bornAt === endpoint.bornAt;
    if (ofThisLife && change.until > now && change.role !== endpoint.role) return true;
    this.pendingRoleChanges.delete(endpoint.id);
    return false;
  }

  /**
   * @param endpoint - an engine
   * @param now - current instant in milliseconds
   * @returns the role that it has, or will have once an order is carried out
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
   * Puts a configuration into force. It only ever goes forward: a peer or a
   * reply that lags can't bring an older one back.
   *
   * @param configuration - the configuration
   * @param document - the operators' document that it was read from
   * @param revision - revision of its write
   * @returns whether it is now in force
   */
  configure(configuration: serving.Configuration, document: Uint8Array, revision: number): boolean {
    if (revision <= this.#configurationRevision) return false;
    this.#table = new serving.RouteTable(configuration);
    this.#configurationRevision = revision;
    this.#configurationDocument = document;
    return true;
  }
}
