import * as net from "node:net";
import * as serving from "@camphorcourse/serving";
import * as socketAddresses from "../address.js";
import type * as decisionLogs from "../decisionLog.js";
import * as connectors from "./connector.js";

/** Interval of the checks while any path is lost, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

/** Time for a probe's connection to be established, in milliseconds; a healthy endpoint takes a few. */
const PROBE_TIMEOUT_MS = 350;

/** Time for which all endpoints of a service with requests in flight are silent before two of them are probed, in milliseconds. */
const SUSPICIOUS_SILENCE_MS = 300;

/** Number of silent endpoints of a service that are needed for, and get, a probe. */
const SILENT_ENDPOINTS = 2;

/** Minimum time between two rounds of probes because of silence, in milliseconds. */
const SILENCE_ROUND_MS = 500;

/** Minimum time between two probes of an endpoint because of broken connections, in milliseconds. */
const BROKEN_PROBE_INTERVAL_MS = 500;

/** Time for which a request that a peer has passed on shows that it reaches the endpoint, in milliseconds. */
const PASSED_ON_LATELY_MS = 3_000;

/** Minimum time between two checks of a daemon that has sent nothing, in milliseconds. */
const OWN_LINK_CHECK_INTERVAL_MS = 3_000;

/** What a peer knows of an endpoint that this daemon can't connect to. */
export interface PeerFinding {
  readonly reached: boolean;
  /** Whether nothing listens at the endpoint's address. */
  readonly refused: boolean;
}

/** Result of an attempt to connect to an endpoint. */
export interface ProbeResult {
  /** Why this daemon can't connect; undefined if it can. */
  readonly error: NodeJS.ErrnoException | undefined;
  /** What a peer finds, if this daemon can't connect and a peer answers. */
  readonly finding: PeerFinding | undefined;
}

/** Dependencies of {@link PathMonitor}. */
export interface PathMonitorParts {
  readonly log: decisionLogs.DecisionLog;
  readonly directory: serving.EndpointDirectory;
  /** Asks a peer whether it reaches an endpoint; undefined if no peer answers. */
  readonly askPeer: (endpointId: string) => Promise<PeerFinding | undefined>;
  /** Called with an endpoint that can be connected to again, and since when it couldn't, in milliseconds. */
  readonly onReturned: (endpointId: string, lostSince: number) => void;
  /** Called with an endpoint that this daemon can't connect to but a peer reaches. */
  readonly onReachedByPeer: (endpointId: string) => void;
  /** Called when this daemon's link to a service is lost or has returned, as far as it can tell. */
  readonly onLinkChange: () => void;
  /** @returns a random number from 0 to 1 */
  readonly draw: () => number;
}

/** Observes the paths from this daemon to the endpoints, and probes those that are lost. */
export class PathMonitor {
  readonly paths = new serving.EndpointPaths();
  readonly #parts: PathMonitorParts;
  /** Silent endpoints with requests in flight, and the instant of the last observation, in milliseconds. */
  readonly #silent = new Map<string, { readonly target: serving.PathTarget; readonly at: number }>();
  readonly #probes = new Map<string, Promise<ProbeResult>>();
  readonly #brokenProbeAt = new Map<string, number>();
  #timer: NodeJS.Timeout | undefined;
  #stopped = false;
  #cutOffFrom: readonly string[] = [];
  #linkLostFrom: readonly string[] = [];
  #cutOffSince = 0;
  #silenceRoundAt = Number.NEGATIVE_INFINITY;
  #ownLinkCheckedAt = Number.NEGATIVE_INFINITY;

  /** @param parts - dependencies */
  constructor(parts: PathMonitorParts) {
    this.#parts = parts;
  }

  /** @returns whether this daemon is cut off from all endpoints of a service that peers reach */
  get isCutOff(): boolean {
    return this.#cutOffFrom.length > 0;
  }

  /** @returns whether this daemon can connect to no endpoint of some service, whatever its peers can */
  get isLinkLost(): boolean {
    return this.#linkLostFrom.length > 0;
  }

  /** Stops the probes. */
  stop(): void {
    this.#stopped = true;
    clearInterval(this.#timer);
  }

  /** @param endpoint - an endpoint that has sent data over a connection of this daemon */
  noteReceived(endpoint: serving.PathTarget): void {
    this.#silent.delete(endpoint.id);
    this.paths.noteReceived(endpoint, performance.now());
  }

  /** @param endpoint - an endpoint to which a connection was established */
  noteConnected(endpoint: serving.PathTarget): void {
    const lostSince = this.paths.noteConnected(endpoint, performance.now());
    if (lostSince === undefined) return;
    this.#parts.onReturned(endpoint.id, lostSince);
    this.#parts.log.info("endpoint-path", { endpoint: endpoint.id, service: endpoint.service, path: "direct" });
    this.#updateLink();
  }

  /**
   * @param endpoint - an endpoint to which no connection was established
   * @param since - start of the attempt, in milliseconds
   * @param detail - why it failed
   */
  noteConnectFailed(endpoint: serving.PathTarget, since: number, detail: string): void {
    const now = performance.now();
    if (!this.paths.noteConnectFailed(endpoint, since, now)) return;
    this.#parts.log.warn("endpoint-path", {
      endpoint: endpoint.id,
      service: endpoint.service,
      path: "lost",
      detail,
      tookMs: Math.round(now - since),
      endpointHeardMs: ageMs(this.paths.receivedAt(endpoint.id), now),
      serviceHeardMs: ageMs(this.paths.receivedFromServiceAt(endpoint.service), now),
    });
    this.#startChecks();
    this.#updateLink();
  }

  /**
   * @param endpoint - an endpoint that this daemon can't connect to
   * @param isReached - whether a peer reached it; false also if there is no peer to ask
   */
  notePeerResult(endpoint: serving.PathTarget, isReached: boolean): void {
    if (!this.paths.notePeerResult(endpoint, isReached, performance.now())) return;
    this.#parts.onReachedByPeer(endpoint.id);
    this.#parts.log.warn("endpoint-path", { endpoint: endpoint.id, service: endpoint.service, path: "peer" });
    this.#updateLink();
  }

  /**
   * Takes note of an endpoint that has sent nothing for a while despite a request in flight. With several of a service silent and
   * no data from any, this daemon's own link may have failed; connecting to two of them tells.
   *
   * @param endpoint - the endpoint
   */
  noteSilent(endpoint: serving.PathTarget): void {
    const now = performance.now();
    this.#silent.set(endpoint.id, { target: endpoint, at: now });
    if (now - this.paths.receivedFromServiceAt(endpoint.service) < SUSPICIOUS_SILENCE_MS) return;
    if (now - this.#silenceRoundAt < SILENCE_ROUND_MS) return;
    const silent = [...this.#silent.values()].filter(
      ({ target, at }) => target.service === endpoint.service && now - at < SUSPICIOUS_SILENCE_MS,
    );
    if (silent.length < SILENT_ENDPOINTS) return;
    this.#silenceRoundAt = now;
    for (const { target } of silent.slice(0, SILENT_ENDPOINTS)) void this.#probe(target);
  }

  /**
   * Takes note of a connection that broke under a request. Kept connections that are reset one by one would each cost
   * another request; connecting anew tells whether the path has failed.
   *
   * @param endpoint - the endpoint
   */
  noteBroken(endpoint: serving.PathTarget): void {
    const now = performance.now();
    if (now - (this.#brokenProbeAt.get(endpoint.id) ?? Number.NEGATIVE_INFINITY) < BROKEN_PROBE_INTERVAL_MS) return;
    this.#brokenProbeAt.set(endpoint.id, now);
    void this.#probe(endpoint);
  }

  /**
   * Tries to connect to an endpoint, and asks a peer if that fails. Concurrent probes of an endpoint share one attempt.
   *
   * @param endpoint - the endpoint
   * @returns the result
   */
  probe(endpoint: serving.Endpoint): Promise<ProbeResult> {
    const running = this.#probes.get(endpoint.id);
    if (running !== undefined) return running;
    const probe = this.#connect(endpoint).finally(() => this.#probes.delete(endpoint.id));
    this.#probes.set(endpoint.id, probe);
    return probe;
  }

  /**
   * Checks whether this daemon reaches endpoints if it has sent nothing lately. A standby daemon would otherwise
   * replace an active one that is cut off, and be cut off with it.
   */
  checkOwnLink(): void {
    const now = performance.now();
    if (this.isLinkLost || now - this.#ownLinkCheckedAt < OWN_LINK_CHECK_INTERVAL_MS) return;
    this.#ownLinkCheckedAt = now;
    for (const service of this.#parts.directory.services()) {
      if (now - this.paths.receivedFromServiceAt(service) < OWN_LINK_CHECK_INTERVAL_MS) continue;
      const endpoints = this.#parts.directory.availableEndpoints(service);
      const offset = Math.floor(this.#parts.draw() * endpoints.length);
      const chosen = [...endpoints.slice(offset), ...endpoints.slice(0, offset)].slice(0, SILENT_ENDPOINTS);
      for (const endpoint of chosen) void this.#probe(endpoint);
    }
  }

  /** @param endpointId - an endpoint that is gone or has restarted */
  forget(endpointId: string): void {
    this.#silent.delete(endpointId);
    this.#brokenProbeAt.delete(endpointId);
    this.paths.forget(endpointId);
  }

  #startChecks(): void {
    if (this.#timer !== undefined || this.#stopped) return;
    this.#timer = setInterval(() => this.#check(), CHECK_INTERVAL_MS);
  }

  #check(): void {
    for (const target of this.paths.takeDueProbes(performance.now())) void this.#probeReturn(target);
    this.#updateLink();
    if (this.paths.hasLost) return;
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  async #probe(target: serving.PathTarget): Promise<void> {
    if (this.#stopped) return;
    const endpoint = this.#parts.directory.availableEndpoint(target.id);
    if (endpoint === undefined) this.forget(target.id);
    else await this.probe(endpoint);
  }

  /** Peers that pass requests on to the endpoint show by that whether they reach it, and need not be asked. */
  async #probeReturn(target: serving.PathTarget): Promise<void> {
    const isPassedOnTo = performance.now() - this.paths.reachedByPeerAt(target.id) < PASSED_ON_LATELY_MS;
    if (!isPassedOnTo) return this.#probe(target);
    const endpoint = this.#parts.directory.availableEndpoint(target.id);
    if (endpoint === undefined) this.forget(target.id);
    else if ((await connectOnce(endpoint.address)) === undefined) this.noteConnected(endpoint);
  }

  async #connect(endpoint: serving.Endpoint): Promise<ProbeResult> {
    const since = performance.now();
    const error = await connectOnce(endpoint.address);
    if (error === undefined) {
      this.noteConnected(endpoint);
      return { error, finding: undefined };
    }
    this.noteConnectFailed(endpoint, since, error.message);
    const finding = await this.#parts.askPeer(endpoint.id);
    this.notePeerResult(endpoint, finding?.reached ?? false);
    return { error, finding };
  }

  #updateLink(): void {
    const { directory, onLinkChange } = this.#parts;
    const { lostServices } = this.paths;
    const linkLostFrom = lostServices.filter((name) => this.paths.isLinkLost(directory.availableEndpoints(name)));
    const cutOffFrom = lostServices.filter((name) => this.paths.isCutOff(directory.availableEndpoints(name)));
    const isCutOffSame = cutOffFrom.join() === this.#cutOffFrom.join();
    const isLinkSame = linkLostFrom.join() === this.#linkLostFrom.join();
    if (isCutOffSame && isLinkSame) return;
    this.#linkLostFrom = linkLostFrom;
    if (!isCutOffSame) this.#setCutOff(cutOffFrom);
    onLinkChange();
  }

  #setCutOff(cutOffFrom: readonly string[]): void {
    const { directory, log } = this.#parts;
    const now = performance.now();
    const before = this.#cutOffFrom;
    if (before.length === 0) this.#cutOffSince = now;
    this.#cutOffFrom = cutOffFrom;
    const services = cutOffFrom.length > 0 ? cutOffFrom : before;
    log.warn(cutOffFrom.length > 0 ? "cut-off" : "cut-off-over", {
      services: services.join(" "),
      endpoints: services.flatMap((service) => directory.availableEndpoints(service)).length,
      serviceHeardMs: services
        .map((service) => ageMs(this.paths.receivedFromServiceAt(service), now) ?? "never")
        .join(" "),
      forMs: Math.round(now - this.#cutOffSince),
    });
  }
}

/**
 * @param address - IP:PORT of an endpoint
 * @returns the error, or undefined if a connection was established; it is closed again
 */
export function connectOnce(address: string): Promise<NodeJS.ErrnoException | undefined> {
  const { host, port } = socketAddresses.hostAndPort(address);
  return new Promise((resolve) => {
    connectors.createConnector(PROBE_TIMEOUT_MS)({ hostname: host, port }, (error, socket: net.Socket | null) => {
      socket?.on("error", () => undefined);
      socket?.destroy();
      resolve(error ?? undefined);
    });
  });
}

function ageMs(instant: number, now: number): number | undefined {
  return Number.isFinite(instant) ? Math.round(now - instant) : undefined;
}
