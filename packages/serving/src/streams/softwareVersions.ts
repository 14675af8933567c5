import * as common from "@camphorcourse/common";
import type * as directories from "../endpointDirectory.js";
import * as limitedEndpoints from "../limits/limitedEndpoints.js";

/**
 * Greatest age of the list of endpoints by which a version counts as the only one of its service, in milliseconds. It is
 * more than readers and heartbeats need in steady state.
 */
const MAX_AGE_MS = 2_500;

/** Longest time between two listings in which no endpoint can have come and gone unseen, in milliseconds. */
const MAX_LISTING_GAP_MS = 3_000;

/**
 * Longest time from the break of a stream to the request that takes it up, in milliseconds. That request may have the
 * stream go on for its whole timeout, and another may take that up; an endpoint of the version was there for each.
 */
const MAX_PAUSE_MS = 3_000;

/** Time for which the record of a stream is kept, in multiples of its route's timeout: it may be taken up repeatedly. */
const TIMEOUTS_IN_LIFETIME = 2;

/** Shortest time for which the record of a stream is kept, in milliseconds: callers set their own deadlines. */
const MIN_LIFETIME_MS = 10_000;

/** Endpoints of a service with one version of their software. */
interface VersionState {
  readonly firstSeenAt: number;
  readonly present: Set<string>;
  /** When the last of them went, in milliseconds. */
  lastSeenAt: number;
}

/** What a peer says of the versions that it knows. */
export interface PeerVersions {
  readonly digest: number;
  /** Instant as of which the peer knows all versions, in milliseconds. */
  readonly at: number;
  /** Time before that instant for which it knows all of them, in milliseconds. */
  readonly windowMs: number;
}

/** What is known of one endpoint. */
type SeenEndpoint = Pick<directories.Endpoint, "id" | "service" | "softwareVersion">;

/**
 * The versions of software that may have begun a stream which a caller takes up now: those of all entries within the time
 * for which streams may be taken up, of leaving endpoints, too. The only version of a service is known without a record of
 * the stream, but only while this daemon certainly knows all entries of that time.
 */
export class SoftwareVersions {
  readonly #seen = new Map<string, SeenEndpoint>();
  readonly #services = new Map<string, Map<string | undefined, VersionState>>();
  #timeoutMs = 0;
  /** All entries between these instants are known, in milliseconds. */
  #completeSince = Number.POSITIVE_INFINITY;
  #completeUntil = Number.NEGATIVE_INFINITY;
  #isConfirmedByPeer = false;
  #digest: { readonly value: number; readonly validUntil: number } | undefined;

  /** @returns longest time since a stream that a caller takes up now was at an endpoint, in milliseconds; it never shrinks */
  get windowMs(): number {
    return this.#timeoutMs === 0 ? 0 : this.#timeoutMs + MAX_PAUSE_MS;
  }

  /** @returns time for which the record of a stream is kept, in milliseconds; it never shrinks */
  get recordLifetimeMs(): number {
    return Math.max(MIN_LIFETIME_MS, TIMEOUTS_IN_LIFETIME * this.#timeoutMs);
  }

  /** @param timeoutMs - timeout of a route with streams, in milliseconds */
  noteTimeout(timeoutMs: number): void {
    this.#timeoutMs = Math.max(this.#timeoutMs, timeoutMs);
  }

  /**
   * @param endpoint - an endpoint that has an entry
   * @param now - current time in milliseconds
   */
  notePresent(endpoint: SeenEndpoint, now: number): void {
    const { id, service, softwareVersion } = endpoint;
    const before = this.#seen.get(id);
    if (before?.service === service && before.softwareVersion === softwareVersion) return;
    this.noteGone(id, now);
    this.#seen.set(id, { id, service, softwareVersion });
    this.#stateOf(service, softwareVersion, now).present.add(id);
    this.#digest = undefined;
  }

  /**
   * @param id - an endpoint whose entry is gone
   * @param now - current time in milliseconds
   */
  noteGone(id: string, now: number): void {
    const before = this.#seen.get(id);
    if (before === undefined) return;
    this.#seen.delete(id);
    const state = this.#stateOf(before.service, before.softwareVersion, now);
    state.present.delete(id);
    state.lastSeenAt = now;
    this.#digest = undefined;
  }

  /**
   * Notes a read of all entries.
   *
   * @param begunAt - when it began, in milliseconds
   */
  noteListed(begunAt: number): void {
    if (begunAt - this.#completeUntil > MAX_LISTING_GAP_MS) {
      this.#completeSince = begunAt;
      this.#isConfirmedByPeer = false;
    }
    this.#completeUntil = Math.max(this.#completeUntil, begunAt);
  }

  /**
   * Notes a read of all changes since the read before.
   *
   * @param begunAt - when it began, in milliseconds
   */
  noteFollowed(begunAt: number): void {
    this.#completeUntil = Math.max(this.#completeUntil, begunAt);
  }

  /**
   * Notes what a peer knows. One that knows the same versions, and that they are all, confirms them for as long as it
   * knows them: a peer that knows shorter timeouts than this daemon may have forgotten a version.
   *
   * @param peer - what the peer knows
   * @param now - current time in milliseconds
   */
  notePeer({ digest, at, windowMs }: PeerVersions, now: number): void {
    if (digest !== this.digest(now) || at < this.#completeSince - MAX_LISTING_GAP_MS) return;
    if (windowMs < Math.floor(this.windowMs)) return;
    const since = at - this.windowMs;
    if (since < this.#completeSince) {
      this.#completeSince = since;
      this.#isConfirmedByPeer = true;
    }
    this.#completeUntil = Math.max(this.#completeUntil, at);
  }

  /**
   * @param now - current time in milliseconds
   * @returns time since the instant as of which all versions that may have begun a stream are known, in milliseconds;
   *   undefined if some may be unknown
   */
  ageMs(now: number): number | undefined {
    const isComplete = this.windowMs > 0 && this.#completeSince <= this.#completeUntil - this.windowMs;
    return isComplete ? Math.max(0, now - this.#completeUntil) : undefined;
  }

  /** @returns whether the time for which all versions are known is that of a peer */
  get isConfirmedByPeer(): boolean {
    return this.#isConfirmedByPeer;
  }

  /** @returns time for which all versions are known without a gap, up to their age, in milliseconds; 0 if they aren't */
  get knownMs(): number {
    return Math.max(0, this.#completeUntil - this.#completeSince);
  }

  /**
   * @param service - a service
   * @param now - current time in milliseconds
   * @returns the only version that may have begun a stream of the service; undefined if there are several, or if that
   *   isn't known
   */
  soleVersion(service: string, now: number): string | undefined {
    const ageMs = this.ageMs(now);
    if (ageMs === undefined || ageMs > MAX_AGE_MS) return undefined;
    const [version, ...others] = this.#possibleVersions(service, now);
    return others.length === 0 ? version : undefined;
  }

  /**
   * Selects the endpoints that may begin a stream. A version that has just appeared begins none while another serves, until
   * all daemons have heard of it: one that hasn't takes another version for the only one of the service.
   *
   * @param endpoints - endpoints of a service
   * @param now - current time in milliseconds
   * @returns those of versions that have been known for long, or all if none of these can answer
   */
  selectSettled(endpoints: readonly directories.Endpoint[], now: number): readonly directories.Endpoint[] {
    const settled = endpoints.filter(({ service, softwareVersion }) => {
      const state = this.#services.get(service)?.get(softwareVersion);
      return state !== undefined && now - state.firstSeenAt >= MAX_AGE_MS;
    });
    return settled.some(limitedEndpoints.canAnswer) ? settled : endpoints;
  }

  /**
   * @param now - current time in milliseconds
   * @returns a hash of all versions that may have begun a stream, the same at all daemons that know the same versions
   */
  digest(now: number): number {
    if (this.#digest !== undefined && now < this.#digest.validUntil) return this.#digest.value;
    const versions: string[] = [];
    let validUntil = Number.POSITIVE_INFINITY;
    for (const [service, states] of this.#services) {
      for (const version of this.#possibleVersions(service, now)) {
        versions.push(JSON.stringify([service, version]));
        const state = states.get(version);
        if (state !== undefined) validUntil = Math.min(validUntil, this.#possibleUntil(state));
      }
    }
    this.#digest = { value: common.hash32(versions.sort().join("\n")), validUntil };
    return this.#digest.value;
  }

  #possibleVersions(service: string, now: number): (string | undefined)[] {
    const states = this.#services.get(service);
    if (states === undefined) return [];
    for (const [version, state] of states) if (this.#possibleUntil(state) <= now) states.delete(version);
    if (states.size === 0) this.#services.delete(service);
    return [...states.keys()];
  }

  #possibleUntil(state: VersionState): number {
    return state.present.size > 0 ? Number.POSITIVE_INFINITY : state.lastSeenAt + this.windowMs;
  }

  #stateOf(service: string, version: string | undefined, now: number): VersionState {
    const states = this.#services.get(service) ?? new Map<string | undefined, VersionState>();
    this.#services.set(service, states);
    const state = states.get(version) ?? { firstSeenAt: now, present: new Set<string>(), lastSeenAt: now };
    states.set(version, state);
    return state;
  }
}
