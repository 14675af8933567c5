import * as lives from "./endpointIncarnations.js";

/** What is believed of the endpoints: which live, which are leaving. */

/** The part of a prompt's way that an engine takes. */
export enum EngineRole {
  /** Reads prompts for others to go on with. */
  Prefill = "prefill",
  /** Makes tokens, and can read prompts itself at a lower speed. */
  Decode = "decode",
  /** Not a model engine. */
  None = "none",
}

/** An endpoint as it registered itself. */
export interface Endpoint {
  /** Names the endpoint; one that starts again may keep it. */
  readonly id: string;
  readonly service: string;
  /** IP:PORT */
  readonly address: string;
  readonly dataCentre: string;
  readonly slots: number;
  readonly role: EngineRole;
  readonly leaving: boolean;
  /** Start of this life of it, in Unix milliseconds; endpoints of the older form don't say it. */
  readonly bornAt?: number | undefined;
}

/** Why a belief about an endpoint changed. */
export enum EndpointChange {
  Joined = "joined",
  Changed = "changed",
  Leaving = "leaving",
  Gone = "gone",
  Returned = "returned",
  /** It has started again under its id, and holds and knows nothing of before. */
  Restarted = "restarted",
  /** Its entry is another writer's, and names no endpoint to use. */
  SetAside = "set-aside",
}

/** A change of a belief, with the store's revision that it rests on. */
export interface EndpointUpdate {
  readonly change: EndpointChange;
  readonly id: string;
  /** The endpoint as last believed in; undefined if nothing usable was ever said of it. */
  readonly endpoint: Endpoint | undefined;
  readonly revision: number;
  /** Whether the endpoint has started again: what was known of its former life doesn't hold. */
  readonly startedAgain?: boolean;
  /** Start of the former life, in Unix milliseconds, if it had said one. */
  readonly formerBornAt?: number | undefined;
  /** Start of the life that is leaving; undefined where the entry is gone, whichever life wrote it. */
  readonly leavingBornAt?: number | undefined;
}

/** An endpoint's entry in a listing. */
export interface ListedEntry {
  readonly id: string;
  /** What it says; undefined where it names no endpoint to use. */
  readonly endpoint: Endpoint | undefined;
  readonly revision: number;
}

interface Entry {
  endpoint: Endpoint;
  revision: number;
}

/**
 * Time after the key-value service's return within which entries that lapsed
 * meanwhile are written again by endpoints that live, in milliseconds (two
 * seconds, and a little for the way).
 */
export const REREGISTRATION_GRACE_MS = 2_300;

/**
 * Endpoints by the newest word of each, from the key-value service or a peer. An
 * older word never replaces a newer one, so that a peer that lags can't bring a
 * leaving endpoint back, nor a late write of a former life that life.
 */
export class EndpointDirectory {
  readonly #entries = new Map<string, Entry>();
  readonly #byService = new Map<string, Set<string>>();
  readonly #lives = new lives.EndpointIncarnations();
  /** Endpoints whose newest entry is another writer's. */
  readonly #setAside = new Set<string>();
  #revision = 0;
  #lapsesBelievedAt = 0;

  /** @returns the newest revision of the key-value service that is known here */
  get revision(): number {
    return this.#revision;
  }

  /**
   * @param endpoint - the endpoint as written
   * @param revision - revision of the write
   * @returns what changed, if anything that matters did
   */
  put(endpoint: Endpoint, revision: number): EndpointUpdate | undefined {
    const { id, bornAt } = endpoint;
    this.#noteRevision(revision);
    if (this.#lives.isOutdated(id, bornAt, revision)) return undefined;
    const known = this.#entries.get(id);
    const newLife = this.#lives.isNewLife(id, bornAt);
    if (!newLife && known !== undefined && known.revision >= revision) return undefined;
    const formerBornAt = this.#lives.bornAtOf(id);
    // An endpoint that has said its start always says it: what comes without is another writer's.
    if (bornAt === undefined && formerBornAt !== undefined) return this.setAside(id, revision);
    const saysStartNow = bornAt !== undefined && formerBornAt === undefined && known !== undefined;
    const change = this.#changeBy(endpoint, known?.endpoint, newLife || saysStartNow);
    this.#enter(endpoint, revision, known?.endpoint);
    if (change === undefined) return undefined;
    const again = newLife || saysStartNow ? { startedAgain: true, formerBornAt } : {};
    return { change, id, endpoint, revision, ...again, leavingBornAt: bornAt };
  }

  /**
   * An entry is there that names no endpoint to use: bytes that can't be read,
   * fields that are missing or of another type. It is another writer's, and what
   * stood there before is no longer said by anybody. Left in use, callers would
   * be sent on a word that has been taken back. The next entry that can be used
   * brings the endpoint back, so that a writer's slip costs little.
   *
   * @param id - the endpoint that the entry is of
   * @param revision - revision of the entry
   * @returns what changed, if the entry before could be used
   */
  setAside(id: string, revision: number): EndpointUpdate | undefined {
    this.#noteRevision(revision);
    const known = this.#entries.get(id);
    if (this.#lives.isVoid(id, revision)) return undefined;
    this.#lives.noteVoid(id, revision);
    if (known !== undefined && known.revision >= revision) return undefined;
    if (known !== undefined) known.revision = revision;
    if (this.#setAside.has(id)) return undefined;
    this.#setAside.add(id);
    return { change: EndpointChange.SetAside, id, endpoint: known?.endpoint, revision };
  }

  /**
   * @param id - an endpoint that is gone, or is leaving
   * @param revision - revision that said so
   * @param bornAt - start of the life that is leaving, in Unix milliseconds; undefined where the entry is gone
   * @returns what changed, if the endpoint was known
   */
  remove(id: string, revision: number, bornAt?: number): EndpointUpdate | undefined {
    this.#noteRevision(revision);
    const known = this.#entries.get(id);
    const newest = this.#lives.bornAtOf(id);
    if (bornAt !== undefined && newest !== undefined && bornAt < newest) return undefined;
    if (bornAt === undefined) this.#lives.noteVoid(id, revision);
    if (!this.#lives.isNewLife(id, bornAt) && known !== undefined && known.revision >= revision) return undefined;
    this.#lives.noteLeaving(id, bornAt, revision);
    if (bornAt === undefined) this.#setAside.delete(id);
    return known === undefined ? undefined : this.#drop(known, revision, bornAt);
  }

  /**
   * Another endpoint has answered at its address: it is gone, whatever its entry says.
   *
   * @param endpoint - the endpoint as it was believed in when the request was sent
   * @returns what changed, if that life of the endpoint is still believed in; a newer entry brings it back
   */
  markReplaced(endpoint: Endpoint): EndpointUpdate | undefined {
    const known = this.#entries.get(endpoint.id);
    if (known === undefined || !this.isSameIncarnation(endpoint)) return undefined;
    this.#lives.noteLeaving(endpoint.id, endpoint.bornAt, known.revision);
    return this.#drop(known, known.revision, endpoint.bornAt);
  }

  /**
   * An engine has declined its role: it has taken the other one, and its entry here is old.
   *
   * @param endpoint - the engine as it was believed in when the request was sent
   * @returns what changed, if that life of the engine is still believed in and has a role
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
   * @returns revision of what is known of it, 0 if nothing is
   */
  revisionOf(id: string): number {
    return this.#entries.get(id)?.revision ?? 0;
  }

  /**
   * @param id - the endpoint
   * @returns the latest start that is known of it, in Unix milliseconds, if it has said one
   */
  bornAtOf(id: string): number | undefined {
    return this.#lives.bornAtOf(id);
  }

  /**
   * @param id - an endpoint
   * @returns whether its newest entry names no endpoint to use
   */
  isSetAside(id: string): boolean {
    return this.#setAside.has(id);
  }

  /**
   * @param endpoint - an endpoint as it was believed in before
   * @returns whether it is, as far as is known, still in the same life
   */
  isSameIncarnation(endpoint: Endpoint): boolean {
    if (this.#lives.bornAtOf(endpoint.id) !== endpoint.bornAt) return false;
    const known = this.#entries.get(endpoint.id);
    return known === undefined || known.endpoint.address === endpoint.address;
  }

  /**
   * Takes a whole listing. Entries that are missing from it are gone, unless
   * the service has only just returned: entries lapse while it is away, though
   * the endpoints live and serve.
   *
   * @param listing - all entries, those that name no endpoint to use included
   * @param revision - the service's revision at the listing
   * @param now - current time in milliseconds
   * @returns what changed
   */
  applyListing(listing: readonly ListedEntry[], revision: number, now: number): EndpointUpdate[] {
    const changes = listing.map((item) =>
      item.endpoint === undefined ? this.setAside(item.id, item.revision) : this.put(item.endpoint, item.revision),
    );
    this.#noteRevision(revision);
    const present = new Set(listing.map(({ id }) => id));
    const missing = [...this.#entries.keys()].filter((id) => !present.has(id));
    if (now >= this.#lapsesBelievedAt) changes.push(...missing.map((id) => this.remove(id, revision)));
    return changes.filter((change) => change !== undefined);
  }

  /**
   * The key-value service answers again after an outage.
   *
   * @param now - current time in milliseconds
   */
  noteStoreRecovered(now: number): void {
    this.#lapsesBelievedAt = now + REREGISTRATION_GRACE_MS;
  }

  /**
   * @param now - current time in milliseconds
   * @returns whether removals may be lapses of an outage that has just ended
   */
  isReregistrationGraceActive(now: number): boolean {
    return now < this.#lapsesBelievedAt;
  }

  /**
   * @param id - an endpoint
   * @returns whether new work may be sent to it
   */
  isAvailable(id: string): boolean {
    const entry = this.#entries.get(id);
    return entry !== undefined && !entry.endpoint.leaving && !this.#setAside.has(id);
  }

  /**
   * @param service - the service
   * @returns its endpoints that may get new work
   */
  availableEndpoints(service: string): Endpoint[] {
    const found: Endpoint[] = [];
    for (const id of this.#byService.get(service) ?? []) {
      const entry = this.#entries.get(id);
      if (entry !== undefined && this.isAvailable(id)) found.push(entry.endpoint);
    }
    return found;
  }

  #noteRevision(revision: number): void {
    this.#revision = Math.max(this.#revision, revision);
  }

  #enter(endpoint: Endpoint, revision: number, before: Endpoint | undefined): void {
    const { id, service, bornAt, leaving } = endpoint;
    this.#lives.noteLife(id, bornAt);
    if (leaving) this.#lives.noteLeaving(id, bornAt, revision);
    this.#setAside.delete(id);
    this.#entries.set(id, { endpoint, revision });
    // One that has started again for another service would get callers' requests of the former one.
    if (before !== undefined && before.service !== service) this.#byService.get(before.service)?.delete(id);
    this.#ofService(service).add(id);
  }

  #changeBy(endpoint: Endpoint, before: Endpoint | undefined, startedAgain: boolean): EndpointChange | undefined {
    const wasAside = this.#setAside.has(endpoint.id);
    if (endpoint.leaving) {
      const saidBefore = before?.leaving === true && !startedAgain && !wasAside;
      return saidBefore ? undefined : EndpointChange.Leaving;
    }
    if (startedAgain) return EndpointChange.Restarted;
    if (wasAside) return EndpointChange.Returned;
    if (before === undefined) {
      return this.#lives.hasDeparted(endpoint.id) ? EndpointChange.Returned : EndpointChange.Joined;
    }
    return isSame(before, endpoint) ? undefined : EndpointChange.Changed;
  }

  #drop(known: Entry, revision: number, leavingBornAt: number | undefined): EndpointUpdate {
    const { endpoint } = known;
    this.#entries.delete(endpoint.id);
    this.#byService.get(endpoint.service)?.delete(endpoint.id);
    return { change: EndpointChange.Gone, id: endpoint.id, endpoint, revision, leavingBornAt };
  }

  #ofService(service: string): Set<string> {
    const ids = this.#byService.get(service) ?? new Set<string>();
    this.#byService.set(service, ids);
    return ids;
  }
}

function isSame(left: Endpoint, right: Endpoint): boolean {
  return (
    left.service === right.service &&
    left.address === right.address &&
    left.dataCentre === right.dataCentre &&
    left.slots === right.slots &&
    left.role === right.role &&
    left.leaving === right.leaving
  );
}
