import * as endpointIncarnations from "./endpointIncarnations.js";

/** Known endpoints of the fleet: which are alive, and which are leaving. */

/** Which phase of a prompt an engine runs. */
export enum EngineRole {
  /** Runs the prefill of prompts, which other engines continue. */
  Prefill = "prefill",
  /** Generates tokens, and can run the prefill itself at a lower speed. */
  Decode = "decode",
  /** Not a model engine. */
  None = "none",
}

/** An endpoint as it registered itself. */
export interface Endpoint {
  /** Identifies the endpoint; it may be the same after a restart. */
  readonly id: string;
  readonly service: string;
  /** IP:PORT */
  readonly address: string;
  readonly dataCentre: string;
  readonly slots: number;
  readonly role: EngineRole;
  readonly leaving: boolean;
  /** Whether the platform may reclaim it at any time, together with all others of its data centre. */
  readonly reclaimable?: boolean;
  /** Start of this incarnation, in Unix milliseconds; undefined if the entry has the older format without it. */
  readonly bornAt?: number | undefined;
  /** Version of the software that it runs, not of a model's weights; undefined if its entry states none. */
  readonly softwareVersion?: string | undefined;
}

/** How the known state of an endpoint changed. */
export enum EndpointChange {
  Joined = "joined",
  Changed = "changed",
  Leaving = "leaving",
  Gone = "gone",
  Returned = "returned",
  /** The endpoint has restarted under its id, and has lost the state of its previous incarnation. */
  Restarted = "restarted",
  /** The entry was written by another writer, and does not describe a usable endpoint. */
  SetAside = "set-aside",
}

/** A change of the known state of an endpoint, with the store's revision that it is based on. */
export interface EndpointUpdate {
  readonly change: EndpointChange;
  readonly id: string;
  /** The endpoint as last known; undefined if no usable entry was ever received. */
  readonly endpoint: Endpoint | undefined;
  readonly revision: number;
  /** Whether the endpoint has restarted, so that what was known of its previous incarnation is obsolete. */
  readonly startedAgain?: boolean;
  /** Start of the previous incarnation, in Unix milliseconds, if its entry stated one. */
  readonly formerBornAt?: number | undefined;
  /** Start of the incarnation that is leaving; undefined if the entry is gone, whichever incarnation wrote it. */
  readonly leavingBornAt?: number | undefined;
  /** Whether the endpoint itself said in an answer that it leaves, which its entry may not say yet. */
  readonly isStatedLeaving?: boolean;
}

/** An endpoint's entry in a listing. */
export interface ListedEntry {
  readonly id: string;
  /** The endpoint that the entry describes; undefined if the entry is unusable. */
  readonly endpoint: Endpoint | undefined;
  readonly revision: number;
}

interface Entry {
  endpoint: Endpoint;
  revision: number;
}

/**
 * Time after the key-value service's recovery within which live endpoints write
 * entries again that expired during the outage, in milliseconds (two seconds,
 * and a little for the transmission).
 */
export const REREGISTRATION_GRACE_MS = 2_300;

/** Maximum number of incarnations that are known to leave by their own statement; the oldest is dropped first. */
const MAX_STATED_LEAVING = 4_096;

/**
 * Endpoints by the newest entry of each, from the key-value service or a peer. An
 * older entry never replaces a newer one, so neither a lagging peer nor a late
 * write of a previous incarnation can bring an endpoint back that has left.
 */
export class EndpointDirectory {
  readonly #entries = new Map<string, Entry>();
  readonly #byService = new Map<string, Set<string>>();
  readonly #incarnations = new endpointIncarnations.EndpointIncarnations();
  /** Endpoints whose newest entry is unusable. */
  readonly #setAside = new Set<string>();
  /** Endpoints that have said in an answer that they leave, as they were known then. */
  readonly #statedLeaving = new Map<string, Pick<Endpoint, "bornAt" | "address">>();
  #revision = 0;
  #reregistrationGraceUntil = 0;

  /** @returns the newest known revision of the key-value service */
  get revision(): number {
    return this.#revision;
  }

  /**
   * @param endpoint - the endpoint as written
   * @param revision - revision of the write
   * @returns what changed, if anything relevant did
   */
  put(endpoint: Endpoint, revision: number): EndpointUpdate | undefined {
    const { id, bornAt } = endpoint;
    this.#noteRevision(revision);
    if (this.#incarnations.isOutdated(id, bornAt, revision)) return undefined;
    const known = this.#entries.get(id);
    const isNewer = this.#incarnations.isNewer(id, bornAt);
    if (!isNewer && known !== undefined && known.revision >= revision) return undefined;
    const formerBornAt = this.#incarnations.bornAtOf(id);
    // An endpoint that has stated its start always states it: an entry without one was written by another writer.
    if (bornAt === undefined && formerBornAt !== undefined) return this.setAside(id, revision);
    const isFirstStart = bornAt !== undefined && formerBornAt === undefined && known !== undefined;
    const change = this.#changeOf(endpoint, known?.endpoint, isNewer || isFirstStart);
    this.#store(endpoint, revision, known?.endpoint);
    if (change === undefined) return undefined;
    const restart = isNewer || isFirstStart ? { startedAgain: true, formerBornAt } : {};
    return { change, id, endpoint, revision, ...restart, leavingBornAt: bornAt };
  }

  /**
   * Notes that the entry of an endpoint is unusable: bytes that can't be parsed,
   * or fields that are missing or have another type. Another writer has written
   * it and has overwritten the entry before, which must not be used any more:
   * callers would be sent to an endpoint that is no longer registered. The next
   * usable entry brings the endpoint back, so a single faulty write does little harm.
   *
   * @param id - endpoint of the entry
   * @param revision - revision of the entry
   * @returns what changed, if the entry before was usable
   */
  setAside(id: string, revision: number): EndpointUpdate | undefined {
    this.#noteRevision(revision);
    const known = this.#entries.get(id);
    if (this.#incarnations.isVoid(id, revision)) return undefined;
    this.#incarnations.noteVoid(id, revision);
    if (known !== undefined && known.revision >= revision) return undefined;
    if (known !== undefined) known.revision = revision;
    if (this.#setAside.has(id)) return undefined;
    this.#setAside.add(id);
    return { change: EndpointChange.SetAside, id, endpoint: known?.endpoint, revision };
  }

  /**
   * @param id - an endpoint that is gone, or is leaving
   * @param revision - revision that the removal is based on
   * @param bornAt - start of the incarnation that is leaving, in Unix milliseconds; undefined if the entry is gone
   * @returns what changed, if the endpoint was known
   */
  remove(id: string, revision: number, bornAt?: number): EndpointUpdate | undefined {
    this.#noteRevision(revision);
    const known = this.#entries.get(id);
    const newest = this.#incarnations.bornAtOf(id);
    if (bornAt !== undefined && newest !== undefined && bornAt < newest) return undefined;
    if (bornAt === undefined) this.#incarnations.noteVoid(id, revision);
    if (!this.#incarnations.isNewer(id, bornAt) && known !== undefined && known.revision >= revision) return undefined;
    this.#incarnations.noteLeaving(id, bornAt, revision);
    if (bornAt === undefined) this.#setAside.delete(id);
    return known === undefined ? undefined : this.#drop(known, revision, bornAt);
  }

  /**
   * Removes an endpoint at whose address another endpoint has answered, whatever its entry says.
   *
   * @param endpoint - the endpoint as it was known when the request was sent
   * @returns what changed, if that incarnation is still the known one; a newer entry brings it back
   */
  markReplaced(endpoint: Endpoint): EndpointUpdate | undefined {
    const known = this.#entries.get(endpoint.id);
    if (known === undefined || !this.isSameIncarnation(endpoint)) return undefined;
    this.#incarnations.noteLeaving(endpoint.id, endpoint.bornAt, known.revision);
    return this.#drop(known, known.revision, endpoint.bornAt);
  }

  /**
   * Notes that an endpoint has said in an answer that it leaves. Nothing but a new incarnation revokes that: the entry
   * may be older than the answer, and is often written again as ready when the key-value service has been unreachable.
   *
   * @param endpoint - the endpoint as it was known when the request was sent
   * @returns what changed, if that incarnation is still the known one and was available
   */
  markLeaving(endpoint: Endpoint): EndpointUpdate | undefined {
    const { id, address, bornAt } = endpoint;
    if (!this.isSameIncarnation(endpoint) || this.isStatedLeaving(endpoint)) return undefined;
    const wasAvailable = this.isAvailable(id);
    this.#statedLeaving.set(id, { address, bornAt });
    const [oldest] = this.#statedLeaving.keys();
    if (oldest !== undefined && this.#statedLeaving.size > MAX_STATED_LEAVING) this.#statedLeaving.delete(oldest);
    if (!wasAvailable) return undefined;
    const revision = this.revisionOf(id);
    return { change: EndpointChange.Leaving, id, endpoint, revision, leavingBornAt: bornAt, isStatedLeaving: true };
  }

  /**
   * Applies what a peer reports of an endpoint's own statement.
   *
   * @param id - an endpoint that has said that it leaves
   * @param bornAt - start of that incarnation, in Unix milliseconds, if it is known
   * @returns what changed, if that incarnation is the known one and was available
   */
  markReportedLeaving(id: string, bornAt: number | undefined): EndpointUpdate | undefined {
    const endpoint = this.#entries.get(id)?.endpoint;
    return endpoint === undefined || endpoint.bornAt !== bornAt ? undefined : this.markLeaving(endpoint);
  }

  /**
   * Switches the role of an engine that has declined a request for it: its role has changed, and its entry here is
   * outdated.
   *
   * @param endpoint - the engine as it was known when the request was sent
   * @returns what changed, if that incarnation is still the known one and has a role
   */
  markRoleDeclined(endpoint: Endpoint): EndpointUpdate | undefined {
    const known = this.#entries.get(endpoint.id);
    if (known === undefined || known.endpoint.role === EngineRole.None) return undefined;
    if (!this.isSameIncarnation(endpoint)) return undefined;
    const role = known.endpoint.role === EngineRole.Prefill ? EngineRole.Decode : EngineRole.Prefill;
    known.endpoint = { ...known.endpoint, role };
    return { change: EndpointChange.Changed, id: endpoint.id, endpoint: known.endpoint, revision: known.revision };
  }

  /**
   * @param id - the endpoint
   * @returns revision of its known entry, 0 if there is none
   */
  revisionOf(id: string): number {
    return this.#entries.get(id)?.revision ?? 0;
  }

  /**
   * @param id - the endpoint
   * @returns start of its latest known incarnation, in Unix milliseconds, if it has stated one
   */
  bornAtOf(id: string): number | undefined {
    return this.#incarnations.bornAtOf(id);
  }

  /**
   * @param id - an endpoint
   * @returns whether its newest entry is unusable
   */
  isSetAside(id: string): boolean {
    return this.#setAside.has(id);
  }

  /**
   * @param endpoint - an endpoint as it was known before
   * @returns version of its software, or undefined if it isn't known: its entry states none, or another one by now
   */
  softwareVersionOf(endpoint: Endpoint): string | undefined {
    if (!this.isSameIncarnation(endpoint) || this.hasOtherSoftware(endpoint)) return undefined;
    return endpoint.softwareVersion;
  }

  /**
   * @param endpoint - an endpoint as it was known before
   * @returns whether its entry states another version of its software by now
   */
  hasOtherSoftware(endpoint: Endpoint): boolean {
    const known = this.#entries.get(endpoint.id);
    return known !== undefined && known.endpoint.softwareVersion !== endpoint.softwareVersion;
  }

  /**
   * @param endpoint - an endpoint as it was known before
   * @returns whether it is, as far as is known, still the same incarnation
   */
  isSameIncarnation(endpoint: Endpoint): boolean {
    if (this.#incarnations.bornAtOf(endpoint.id) !== endpoint.bornAt) return false;
    const known = this.#entries.get(endpoint.id);
    return known === undefined || known.endpoint.address === endpoint.address;
  }

  /**
   * Applies a complete listing. Entries that are missing from it are removed,
   * unless the key-value service has only just recovered: entries expire during
   * an outage, though the endpoints are alive and serve.
   *
   * @param listing - all entries, including the unusable ones
   * @param revision - revision of the key-value service at the listing
   * @param now - current time in milliseconds
   * @returns what changed
   */
  applyListing(listing: readonly ListedEntry[], revision: number, now: number): EndpointUpdate[] {
    const updates = listing.map((item) =>
      item.endpoint === undefined ? this.setAside(item.id, item.revision) : this.put(item.endpoint, item.revision),
    );
    this.#noteRevision(revision);
    const listed = new Set(listing.map(({ id }) => id));
    const missing = [...this.#entries.keys()].filter((id) => !listed.has(id));
    if (now >= this.#reregistrationGraceUntil) updates.push(...missing.map((id) => this.remove(id, revision)));
    return updates.filter((update) => update !== undefined);
  }

  /**
   * Notes that the key-value service answers again after an outage.
   *
   * @param now - current time in milliseconds
   */
  noteStoreRecovered(now: number): void {
    this.#reregistrationGraceUntil = now + REREGISTRATION_GRACE_MS;
  }

  /**
   * @param now - current time in milliseconds
   * @returns whether removed entries may have expired in an outage that has just ended
   */
  isReregistrationGraceActive(now: number): boolean {
    return now < this.#reregistrationGraceUntil;
  }

  /**
   * @param id - an endpoint
   * @returns whether new requests may be sent to it
   */
  isAvailable(id: string): boolean {
    const entry = this.#entries.get(id);
    if (entry === undefined || entry.endpoint.leaving || this.#setAside.has(id)) return false;
    return !this.isStatedLeaving(entry.endpoint);
  }

  /**
   * @param endpoint - an endpoint as it is known, or was at a send
   * @returns whether that incarnation has said in an answer that it leaves
   */
  isStatedLeaving({ id, address, bornAt }: Endpoint): boolean {
    const stated = this.#statedLeaving.get(id);
    return stated?.address === address && stated.bornAt === bornAt;
  }

  /** @returns names of all services that have endpoints */
  services(): string[] {
    return [...this.#byService.keys()];
  }

  /**
   * @param id - an endpoint
   * @returns the endpoint if new requests may be sent to it
   */
  availableEndpoint(id: string): Endpoint | undefined {
    return this.isAvailable(id) ? this.#entries.get(id)?.endpoint : undefined;
  }

  /**
   * @param service - the service
   * @returns its endpoints that new requests may be sent to
   */
  availableEndpoints(service: string): Endpoint[] {
    const available: Endpoint[] = [];
    for (const id of this.#byService.get(service) ?? []) {
      const entry = this.#entries.get(id);
      if (entry !== undefined && this.isAvailable(id)) available.push(entry.endpoint);
    }
    return available;
  }

  #noteRevision(revision: number): void {
    this.#revision = Math.max(this.#revision, revision);
  }

  #store(endpoint: Endpoint, revision: number, before: Endpoint | undefined): void {
    const { id, service, bornAt, leaving } = endpoint;
    this.#incarnations.noteIncarnation(id, bornAt);
    if (leaving) this.#incarnations.noteLeaving(id, bornAt, revision);
    this.#setAside.delete(id);
    this.#entries.set(id, { endpoint, revision });
    // An endpoint that has restarted for another service must not get requests of the previous one.
    if (before !== undefined && before.service !== service) this.#byService.get(before.service)?.delete(id);
    this.#idsOfService(service).add(id);
  }

  #changeOf(endpoint: Endpoint, before: Endpoint | undefined, startedAgain: boolean): EndpointChange | undefined {
    const wasSetAside = this.#setAside.has(endpoint.id);
    if (endpoint.leaving) {
      const wasLeaving = before?.leaving === true && !startedAgain && !wasSetAside;
      return wasLeaving ? undefined : EndpointChange.Leaving;
    }
    if (startedAgain) return EndpointChange.Restarted;
    if (wasSetAside) return EndpointChange.Returned;
    if (before === undefined) {
      return this.#incarnations.hasDeparted(endpoint.id) ? EndpointChange.Returned : EndpointChange.Joined;
    }
    return isEqual(before, endpoint) ? undefined : EndpointChange.Changed;
  }

  #drop(known: Entry, revision: number, leavingBornAt: number | undefined): EndpointUpdate {
    const { endpoint } = known;
    this.#entries.delete(endpoint.id);
    this.#byService.get(endpoint.service)?.delete(endpoint.id);
    return { change: EndpointChange.Gone, id: endpoint.id, endpoint, revision, leavingBornAt };
  }

  #idsOfService(service: string): Set<string> {
    const ids = this.#byService.get(service) ?? new Set<string>();
    this.#byService.set(service, ids);
    return ids;
  }
}

function isEqual(left: Endpoint, right: Endpoint): boolean {
  return (
    left.service === right.service &&
    left.address === right.address &&
    left.dataCentre === right.dataCentre &&
    left.slots === right.slots &&
    left.role === right.role &&
    left.leaving === right.leaving &&
    left.softwareVersion === right.softwareVersion
  );
}
