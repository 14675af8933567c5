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
  /** Names one start of the endpoint; a restart has another. */
  readonly id: string;
  readonly service: string;
  /** IP:PORT */
  readonly address: string;
  readonly dataCentre: string;
  readonly slots: number;
  readonly role: EngineRole;
  readonly leaving: boolean;
}

/** Why a belief about an endpoint changed. */
export enum EndpointChange {
  Joined = "joined",
  Changed = "changed",
  Leaving = "leaving",
  Gone = "gone",
  Returned = "returned",
}

/** A change of a belief, with the store's revision that it rests on. */
export interface EndpointNews {
  readonly change: EndpointChange;
  readonly endpoint: Endpoint;
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
export const REGISTRATION_RETURN_MS = 2_300;

/**
 * Endpoints by the newest revision seen of each, from the key-value service or
 * a peer. An older word never replaces a newer one, so that a peer that lags
 * can't bring a leaving endpoint back.
 */
export class EndpointDirectory {
  readonly #entries = new Map<string, Entry>();
  readonly #byService = new Map<string, Set<string>>();
  /** Endpoints that are leaving or gone, with the revision that said so. */
  readonly #departed = new Map<string, number>();
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
  put(endpoint: Endpoint, revision: number): EndpointNews | undefined {
    this.#revision = Math.max(this.#revision, revision);
    const departed = this.#departed.get(endpoint.id);
    if (departed !== undefined && departed >= revision) return undefined;
    const known = this.#entries.get(endpoint.id);
    if (known !== undefined && known.revision >= revision) return undefined;
    this.#entries.set(endpoint.id, { endpoint, revision });
    this.#ofService(endpoint.service).add(endpoint.id);
    if (endpoint.leaving) {
      this.#departed.set(endpoint.id, revision);
      return known?.endpoint.leaving === true ? undefined : { change: EndpointChange.Leaving, endpoint, revision };
    }
    if (known === undefined) {
      const change = departed === undefined ? EndpointChange.Joined : EndpointChange.Returned;
      return { change, endpoint, revision };
    }
    const same = known.endpoint.address === endpoint.address && known.endpoint.role === endpoint.role;
    return same && !known.endpoint.leaving ? undefined : { change: EndpointChange.Changed, endpoint, revision };
  }

  /**
   * @param id - an endpoint whose entry is gone
   * @param revision - revision of the removal
   * @returns what changed, if the endpoint was known
   */
  remove(id: string, revision: number): EndpointNews | undefined {
    this.#revision = Math.max(this.#revision, revision);
    const known = this.#entries.get(id);
    if (known !== undefined && known.revision >= revision) return undefined;
    this.#departed.set(id, revision);
    if (known === undefined) return undefined;
    this.#entries.delete(id);
    this.#byService.get(known.endpoint.service)?.delete(id);
    return { change: EndpointChange.Gone, endpoint: known.endpoint, revision };
  }

  /**
   * Another endpoint has answered at its address: it is gone, whatever its entry says.
   *
   * @param id - the endpoint that is gone
   * @param revision - revision of its entry; a newer one brings it back
   * @returns what changed, if the endpoint was known
   */
  replaced(id: string, revision: number): EndpointNews | undefined {
    const known = this.#entries.get(id);
    if (known === undefined) return undefined;
    this.#departed.set(id, revision);
    this.#entries.delete(id);
    this.#byService.get(known.endpoint.service)?.delete(id);
    return { change: EndpointChange.Gone, endpoint: known.endpoint, revision };
  }

  /**
   * An engine has declined its role: it has taken the other one, and its entry here is old.
   *
   * @param id - the engine
   * @returns what changed, if the engine is known to have a role
   */
  declinedRole(id: string): EndpointNews | undefined {
    const known = this.#entries.get(id);
    if (known === undefined || known.endpoint.role === EngineRole.None) return undefined;
    const role = known.endpoint.role === EngineRole.Prefill ? EngineRole.Decode : EngineRole.Prefill;
    known.endpoint = { ...known.endpoint, role };
    return { change: EndpointChange.Changed, endpoint: known.endpoint, revision: known.revision };
  }

  /**
   * @param id - the endpoint
   * @returns revision of what is known of it, 0 if nothing is
   */
  revisionOf(id: string): number {
    return this.#entries.get(id)?.revision ?? 0;
  }

  /**
   * Takes a whole listing. Entries that are missing from it are gone, unless
   * the service has only just returned: entries lapse while it is away, though
   * the endpoints live and serve.
   *
   * @param listing - endpoints with the revision of each
   * @param revision - the service's revision at the listing
   * @param now - current time in milliseconds
   * @returns what changed
   */
  replace(listing: readonly { endpoint: Endpoint; revision: number }[], revision: number, now: number): EndpointNews[] {
    const news: EndpointNews[] = [];
    const present = new Set<string>();
    for (const item of listing) {
      present.add(item.endpoint.id);
      const change = this.put(item.endpoint, item.revision);
      if (change !== undefined) news.push(change);
    }
    this.#revision = Math.max(this.#revision, revision);
    if (now < this.#lapsesBelievedAt) return news;
    for (const id of [...this.#entries.keys()]) {
      if (present.has(id)) continue;
      const change = this.remove(id, revision);
      if (change !== undefined) news.push(change);
    }
    return news;
  }

  /**
   * The key-value service answers again after an outage.
   *
   * @param now - current time in milliseconds
   */
  storeReturned(now: number): void {
    this.#lapsesBelievedAt = now + REGISTRATION_RETURN_MS;
  }

  /**
   * @param now - current time in milliseconds
   * @returns whether removals may be lapses of an outage that has just ended
   */
  lapsesDoubted(now: number): boolean {
    return now < this.#lapsesBelievedAt;
  }

  /**
   * @param id - an endpoint
   * @returns whether new work may be sent to it
   */
  mayServe(id: string): boolean {
    const entry = this.#entries.get(id);
    return entry !== undefined && !entry.endpoint.leaving;
  }

  /**
   * @param service - the service
   * @returns its endpoints that may get new work
   */
  serving(service: string): Endpoint[] {
    const found: Endpoint[] = [];
    for (const id of this.#byService.get(service) ?? []) {
      const entry = this.#entries.get(id);
      if (entry !== undefined && !entry.endpoint.leaving) found.push(entry.endpoint);
    }
    return found;
  }

  /** @returns endpoints that are leaving or gone, with the revision that said so */
  departures(): ReadonlyMap<string, number> {
    return this.#departed;
  }

  /** @returns every endpoint that is known, with the revision of its entry */
  entries(): { endpoint: Endpoint; revision: number }[] {
    return [...this.#entries.values()].map((entry) => ({ ...entry }));
  }

  #ofService(service: string): Set<string> {
    const ids = this.#byService.get(service) ?? new Set<string>();
    this.#byService.set(service, ids);
    return ids;
  }
}
