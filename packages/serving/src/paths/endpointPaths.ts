import type * as directories from "../endpointDirectory.js";

/** How requests of this daemon get to an endpoint. */
export enum EndpointPath {
  /** Over a connection of its own. */
  Direct = "direct",
  /** Through another daemon, as the direct path has failed. */
  Peer = "peer",
  /** Neither way, as far as is known. */
  None = "none",
}

/** What identifies an endpoint and its service. */
export type PathTarget = Pick<directories.Endpoint, "id" | "service">;

/** Failed attempts to reach an endpoint through peers, or for want of one, after which it counts as unreachable. */
const UNREACHABLE_FAILURES = 2;

/** Different endpoints of a service whose connections fail before the fault is sought in this daemon's own link. */
const LINK_FAILURES = 2;

/** Delay until an endpoint that was found unreachable is tried again, in milliseconds; doubles up to the maximum. */
const RETRY_DELAY_MS = { first: 700, max: 3_000 };

/** Interval at which lost paths of a service are probed, in milliseconds. */
const PROBE_INTERVAL_MS = 500;

/** Endpoints of a service that are probed at a time: usually, and once a path of the service has returned. */
const PROBES = { usual: 2, returning: 16 };

/** Time after its return within which a path that is lost again counts as flapping, in milliseconds. */
const FLAPPING_MS = 10_000;

/** Time for which a flapping path stays unused, in milliseconds; doubles with each further loss up to the maximum. */
const HOLD_MS = { first: 2_000, max: 8_000 };

/** State of the direct path to an endpoint that can't be connected to. */
interface LostPath {
  readonly target: PathTarget;
  /** Start of the first attempt that failed, in milliseconds. */
  readonly since: number;
  /** Failed attempts to reach it through peers, or for want of one, since a peer last reached it. */
  failures: number;
  reachedByPeerAt: number;
  retryAt: number;
  retryDelayMs: number;
  probedAt: number;
  /** Until when the path stays unused although it may have returned, in milliseconds. */
  readonly heldUntil: number;
}

/** What remains known of a path that has returned. */
interface ReturnedPath {
  readonly at: number;
  readonly holdMs: number;
}

/** State of a service of which this daemon has lost paths. */
interface ServicePaths {
  /** Since when the own link to the service counts as lost, in milliseconds; undefined if it doesn't. */
  linkLostSince: number | undefined;
  nextProbeAt: number;
  isReturning: boolean;
}

/**
 * Tracks which endpoints this daemon reaches, by the results of its own connections and of peers.
 *
 * It answers the load pattern of a daemon whose link to endpoints fails while its callers, peers and the key-value service
 * still reach it: results of requests alone would mark one endpoint after the other as unhealthy, and requests would
 * wait for each of them in turn. A failure at one endpoint that a peer reaches is a failure of the path (differential
 * observation, as for gray failures); failures at several endpoints of a service with no data from any of them let the
 * other endpoints of the service be sought through peers at once. Only established connections bring a path back, as
 * kept connections may live on while new ones are refused.
 */
export class EndpointPaths {
  readonly #lost = new Map<string, LostPath>();
  readonly #returned = new Map<string, ReturnedPath>();
  readonly #services = new Map<string, ServicePaths>();
  readonly #receivedAt = new Map<string, number>();
  readonly #receivedFromService = new Map<string, number>();

  /** @returns services of which paths are lost */
  get lostServices(): string[] {
    return [...this.#services.keys()];
  }

  /** @returns whether any path is lost */
  get hasLost(): boolean {
    return this.#lost.size > 0;
  }

  /**
   * @param target - an endpoint that has sent data over a connection of this daemon
   * @param now - current instant in milliseconds
   */
  noteReceived(target: PathTarget, now: number): void {
    this.#receivedAt.set(target.id, now);
    this.#receivedFromService.set(target.service, now);
    const service = this.#services.get(target.service);
    if (service !== undefined) service.linkLostSince = undefined;
  }

  /**
   * @param target - an endpoint to which this daemon has established a connection
   * @param now - current instant in milliseconds
   * @returns since when the path that has returned was lost, in milliseconds; undefined if none has returned
   */
  noteConnected(target: PathTarget, now: number): number | undefined {
    const lost = this.#lost.get(target.id);
    if (lost === undefined) return undefined;
    if (now < lost.heldUntil && lost.reachedByPeerAt >= lost.since) return undefined;
    this.#lost.delete(target.id);
    this.#returned.set(target.id, { at: now, holdMs: Math.max(0, lost.heldUntil - lost.since) });
    const service = this.#services.get(target.service);
    if (service === undefined) return lost.since;
    service.linkLostSince = undefined;
    service.isReturning = true;
    service.nextProbeAt = now;
    if (![...this.#lost.values()].some((each) => each.target.service === target.service))
      this.#services.delete(target.service);
    return lost.since;
  }

  /**
   * @param target - an endpoint to which this daemon could not establish a connection
   * @param since - start of the attempt, in milliseconds
   * @param now - current instant in milliseconds
   * @returns whether the path was not lost before
   */
  noteConnectFailed(target: PathTarget, since: number, now: number): boolean {
    const known = this.#lost.get(target.id);
    if (known !== undefined) {
      this.#service(target.service, now).isReturning = false;
      return false;
    }
    this.#lost.set(target.id, {
      target: { id: target.id, service: target.service },
      since,
      failures: 0,
      reachedByPeerAt: Number.NEGATIVE_INFINITY,
      retryAt: now + RETRY_DELAY_MS.first,
      retryDelayMs: RETRY_DELAY_MS.first,
      probedAt: now,
      heldUntil: since + this.#holdMs(target.id, now),
    });
    this.#findLostLink(target.service, now);
    return true;
  }

  /**
   * @param target - an endpoint that this daemon can't connect to
   * @param isReached - whether a peer reached it; false also if there is no peer to ask
   * @param now - current instant in milliseconds
   * @returns whether this is the first time since the loss that a peer reached it
   */
  notePeerResult(target: PathTarget, isReached: boolean, now: number): boolean {
    const lost = this.#lost.get(target.id);
    if (lost === undefined) return false;
    if (isReached) {
      const isFirst = lost.reachedByPeerAt < lost.since;
      lost.reachedByPeerAt = now;
      lost.failures = 0;
      lost.retryDelayMs = RETRY_DELAY_MS.first;
      return isFirst;
    }
    lost.failures++;
    postponeRetry(lost, now);
    return false;
  }

  /**
   * @param target - an endpoint
   * @param hasOpenConnection - whether an idle connection to it is open
   * @param now - current instant in milliseconds
   * @returns how the next request gets there
   */
  pathTo(target: PathTarget, hasOpenConnection: boolean, now: number): EndpointPath {
    const lost = this.#lost.get(target.id);
    const lostSince = lost?.since ?? this.#inferredLossOf(target);
    if (lostSince === undefined) return EndpointPath.Direct;
    if (hasOpenConnection && this.receivedAt(target.id) >= lostSince) return EndpointPath.Direct;
    if (lost !== undefined && lost.failures >= UNREACHABLE_FAILURES && now < lost.retryAt) return EndpointPath.None;
    return EndpointPath.Peer;
  }

  /**
   * @param target - an endpoint
   * @param now - current instant in milliseconds
   * @returns time until it is tried again if it counts as unreachable, in milliseconds; 0 if it doesn't
   */
  retryInMs(target: PathTarget, now: number): number {
    const lost = this.#lost.get(target.id);
    return lost === undefined || lost.failures < UNREACHABLE_FAILURES ? 0 : Math.max(0, lost.retryAt - now);
  }

  /**
   * Takes the turn to try an endpoint that counts as unreachable: the next requests don't wait for the same result.
   *
   * @param target - the endpoint that a request is sent to
   * @param now - current instant in milliseconds
   */
  claimRetry(target: PathTarget, now: number): void {
    const lost = this.#lost.get(target.id);
    if (lost !== undefined && lost.failures >= UNREACHABLE_FAILURES) postponeRetry(lost, now);
  }

  /**
   * @param target - an endpoint
   * @returns since when the direct path to it counts as lost, with nothing received since; undefined if it doesn't
   */
  silentSince(target: PathTarget): number | undefined {
    const lostSince = this.#lost.get(target.id)?.since ?? this.#inferredLossOf(target);
    return lostSince === undefined || this.receivedAt(target.id) >= lostSince ? undefined : lostSince;
  }

  /**
   * @param endpointId - an endpoint
   * @returns when data was last received from it over a connection of this daemon, in milliseconds
   */
  receivedAt(endpointId: string): number {
    return this.#receivedAt.get(endpointId) ?? Number.NEGATIVE_INFINITY;
  }

  /**
   * @param endpointId - an endpoint
   * @returns when a peer last reached it since its path was lost, in milliseconds
   */
  reachedByPeerAt(endpointId: string): number {
    return this.#lost.get(endpointId)?.reachedByPeerAt ?? Number.NEGATIVE_INFINITY;
  }

  /**
   * Whether this daemon is cut off from a service: it can connect to no endpoint of it, and a peer reaches one. With all
   * endpoints out of reach of the peers, too, the endpoints have failed and not this daemon's link.
   *
   * @param endpoints - the available endpoints of the service
   * @returns whether it is cut off
   */
  isCutOff(endpoints: readonly PathTarget[]): boolean {
    if (!this.isLinkLost(endpoints)) return false;
    return endpoints.some(({ id }) => {
      const lost = this.#lost.get(id);
      return lost !== undefined && lost.reachedByPeerAt >= lost.since;
    });
  }

  /**
   * @param endpoints - the available endpoints of a service
   * @returns whether this daemon can connect to none of them, as far as is known, and whatever its peers can
   */
  isLinkLost(endpoints: readonly PathTarget[]): boolean {
    if (endpoints.length === 0) return false;
    return endpoints.every((endpoint) => this.#lost.has(endpoint.id) || this.#inferredLossOf(endpoint) !== undefined);
  }

  /**
   * Selects lost paths that are due for an attempt to connect. Few are probed while a service is lost; once one of its
   * paths has returned, the others follow at once.
   *
   * @param now - current instant in milliseconds
   * @returns the endpoints to connect to
   */
  takeDueProbes(now: number): PathTarget[] {
    const due: PathTarget[] = [];
    for (const [name, service] of this.#services) {
      if (now < service.nextProbeAt) continue;
      service.nextProbeAt = now + PROBE_INTERVAL_MS;
      const candidates = [...this.#lost.values()]
        .filter(({ target, heldUntil }) => target.service === name && now >= heldUntil)
        .sort((left, right) => left.probedAt - right.probedAt)
        .slice(0, service.isReturning ? PROBES.returning : PROBES.usual);
      for (const lost of candidates) {
        lost.probedAt = now;
        due.push(lost.target);
      }
    }
    return due;
  }

  /**
   * @param service - a service
   * @returns when data was last received from any of its endpoints over a connection of this daemon, in milliseconds
   */
  receivedFromServiceAt(service: string): number {
    return this.#receivedFromService.get(service) ?? Number.NEGATIVE_INFINITY;
  }

  /** @param endpointId - an endpoint that is gone or has restarted */
  forget(endpointId: string): void {
    this.#lost.delete(endpointId);
    this.#returned.delete(endpointId);
    this.#receivedAt.delete(endpointId);
    for (const name of this.#services.keys())
      if (![...this.#lost.values()].some(({ target }) => target.service === name)) this.#services.delete(name);
  }

  #holdMs(endpointId: string, now: number): number {
    const returned = this.#returned.get(endpointId);
    if (returned === undefined || now - returned.at > FLAPPING_MS) return 0;
    return Math.min(HOLD_MS.max, Math.max(HOLD_MS.first, 2 * returned.holdMs));
  }

  #findLostLink(service: string, now: number): void {
    const state = this.#service(service, now);
    const failed = [...this.#lost.values()].filter(({ target }) => target.service === service);
    const since = Math.min(...failed.map((lost) => lost.since));
    const isSilent = this.receivedFromServiceAt(service) < since;
    if (failed.length >= LINK_FAILURES && isSilent) state.linkLostSince ??= since;
  }

  #inferredLossOf({ id, service }: PathTarget): number | undefined {
    const since = this.#services.get(service)?.linkLostSince;
    return since === undefined || this.receivedAt(id) >= since ? undefined : since;
  }

  #service(name: string, now: number): ServicePaths {
    let service = this.#services.get(name);
    if (service === undefined) {
      service = { linkLostSince: undefined, nextProbeAt: now + PROBE_INTERVAL_MS, isReturning: false };
      this.#services.set(name, service);
    }
    return service;
  }
}

function postponeRetry(lost: LostPath, now: number): void {
  if (now < lost.retryAt) return;
  lost.retryAt = now + lost.retryDelayMs;
  lost.retryDelayMs = Math.min(RETRY_DELAY_MS.max, 2 * lost.retryDelayMs);
}
