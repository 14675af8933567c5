import * as serving from "@camphorcourse/serving";
import * as connectionPools from "./endpointConnectionPool.js";
import type * as decisionLogs from "./decisionLog.js";
import * as endpointSends from "./endpointSend.js";
import type * as pathMonitors from "./paths/pathMonitor.js";
import type * as peerRelays from "./paths/peerRelays.js";
import * as routedSends from "./paths/routedSend.js";
import type * as sendings from "./sending.js";
import * as withheldSends from "./statements/withheldSend.js";

/** Share of an endpoint's connections that all daemons together use; the rest is left for health checks and restarts. */
const USED_CONNECTIONS_SHARE = 0.8;

/** How requests get to endpoints that this daemon doesn't reach itself. */
export interface PathParts {
  readonly monitor: pathMonitors.PathMonitor;
  readonly relays: peerRelays.PeerRelays;
  readonly log: decisionLogs.DecisionLog;
}

/** Sends requests to endpoints over pooled keep-alive connections, or through peers where it doesn't reach them. */
export class EndpointClient {
  readonly #pools = new Map<string, connectionPools.EndpointConnectionPool>();
  readonly #count: (name: string) => void;
  readonly #isLoopLagging: () => boolean;
  readonly #guard: sendings.TrafficGuard;
  readonly #paths: PathParts;
  readonly #maxConnections: number;
  readonly #connections: connectionPools.ConnectionCounts = { busy: 0, idle: 0 };
  /** Requests under way through peers, by endpoint. */
  readonly #relayed = new Map<string, number>();
  /** When data of an endpoint last came through a peer, in milliseconds. */
  readonly #relayedDataAt = new Map<string, number>();

  /**
   * @param count - counts an event by its name
   * @param isLoopLagging - whether the event loop lags, so that the socket events it processes may be old
   * @param guard - guards what is sent, and observes the answers
   * @param paths - the paths to endpoints
   * @param maxConnections - connections to all endpoints together
   */
  constructor(
    count: (name: string) => void,
    isLoopLagging: () => boolean,
    guard: sendings.TrafficGuard,
    paths: PathParts,
    maxConnections = Number.POSITIVE_INFINITY,
  ) {
    this.#count = count;
    this.#isLoopLagging = isLoopLagging;
    this.#guard = guard;
    this.#paths = paths;
    this.#maxConnections = maxConnections;
  }

  /**
   * @param endpointId - the endpoint
   * @returns instant at which data was last received from it, directly or through a peer, in milliseconds
   */
  lastReceivedAt(endpointId: string): number {
    return Math.max(this.#pools.get(endpointId)?.lastReceivedAt ?? 0, this.#relayedDataAt.get(endpointId) ?? 0);
  }

  /** @returns instant at which data was last received from any endpoint, in milliseconds; 0 if none was */
  get lastReceivedFromAnyAt(): number {
    return Math.max(0, ...[...this.#pools.values()].map((pool) => pool.lastReceivedAt));
  }

  /**
   * @param endpointId - the endpoint
   * @param maxConnections - connections that it accepts from all daemons
   * @param daemons - number of known daemons
   * @returns whether this daemon may send it one more request now
   */
  hasRoom(endpointId: string, maxConnections: number, daemons: number): boolean {
    const limit = Math.max(2, Math.floor((maxConnections * USED_CONNECTIONS_SHARE) / Math.max(1, daemons)));
    if (this.#connections.busy >= this.#maxConnections) return false;
    const busy = (this.#pools.get(endpointId)?.busy ?? 0) + (this.#relayed.get(endpointId) ?? 0);
    return busy < limit;
  }

  /**
   * @param endpoint - an endpoint
   * @param call - kind of a request
   * @returns whether it may get such a request now, by what it has said of itself
   */
  mayReceive(endpoint: serving.Endpoint, call: serving.AnsweredCall): boolean {
    return this.#guard.mayReceive(endpoint, call);
  }

  /**
   * @param endpointId - the endpoint
   * @returns whether an idle connection to it is open
   */
  hasLiveConnection(endpointId: string): boolean {
    return this.#pools.get(endpointId)?.hasLiveIdle ?? false;
  }

  /**
   * @param endpoint - the endpoint
   * @param now - current instant in milliseconds
   * @returns how a request would get to it
   */
  pathTo(endpoint: serving.Endpoint, now: number): serving.EndpointPath {
    return this.#paths.monitor.paths.pathTo(endpoint, this.hasLiveConnection(endpoint.id), now);
  }

  /** @param endpoint - an endpoint with a request in flight that has sent nothing for a while */
  noteSilent(endpoint: serving.Endpoint): void {
    this.#paths.monitor.noteSilent(endpoint);
  }

  /** @returns bytes of requests that are buffered for connections to endpoints and peers but not yet sent */
  get unsentBytes(): number {
    const unsentToEndpoints = [...this.#pools.values()].reduce((sum, pool) => sum + pool.unsentBytes, 0);
    return unsentToEndpoints + this.#paths.relays.unsentBytes;
  }

  /**
   * Sends a request over an idle or a new connection, or through a peer.
   *
   * @param endpoint - where to send
   * @param request - what to send
   * @param receiver - receives the answer
   * @returns the request in flight
   */
  send(
    endpoint: serving.Endpoint,
    request: sendings.OutgoingRequest,
    receiver: sendings.AnswerReceiver,
  ): sendings.InFlightRequest {
    const { id } = endpoint;
    if (!this.#guard.mayReceive(endpoint, request.call)) return new withheldSends.WithheldSend(receiver);
    return new routedSends.RoutedSend({
      ...this.#paths,
      endpoint,
      request,
      receiver: this.#identified(endpoint, request, receiver, this.#guard.onSend(endpoint, request)),
      pool: request.usesOwnConnection === true ? this.#createPool(endpoint, false) : this.#poolOf(endpoint),
      isLoopLagging: this.#isLoopLagging,
      mayDispatch: () => this.#guard.mayReceive(endpoint, request.call),
      onBroken: (wasDispatched) => this.#noteBroken(endpoint, wasDispatched),
      onOversized: () => this.#count("oversized_answers"),
      onRelayed: (change) => this.#relayed.set(id, (this.#relayed.get(id) ?? 0) + change),
      onRelayedData: () => this.#relayedDataAt.set(id, performance.now()),
    });
  }

  /**
   * Sends a request of another daemon over a connection of this one. That daemon counts it towards limits.
   *
   * @param endpoint - where to send
   * @param request - what to send
   * @param receiver - receives the answer
   * @returns the request in flight
   */
  sendForPeer(
    endpoint: serving.Endpoint,
    request: sendings.OutgoingRequest,
    receiver: sendings.AnswerReceiver,
  ): Omit<sendings.InFlightRequest, "isPathLost"> {
    if (!this.#guard.mayReceive(endpoint, request.call)) return new withheldSends.WithheldSend(receiver);
    return new endpointSends.EndpointSend({
      pool: this.#poolOf(endpoint),
      request,
      mayDispatch: () => this.#guard.mayReceive(endpoint, request.call),
      receiver: this.#identified(endpoint, request, receiver, this.#guard.onSendForPeer(endpoint)),
      isLoopLagging: this.#isLoopLagging,
      onBroken: (wasDispatched) => this.#noteBroken(endpoint, wasDispatched),
      onOversized: () => this.#count("oversized_answers"),
    });
  }

  /**
   * Closes idle connections from before the loss of their path: the endpoint may have closed them meanwhile.
   *
   * @param endpointId - an endpoint whose path has returned
   * @param lostSince - since when it was lost, in milliseconds
   */
  dropStale(endpointId: string, lostSince: number): void {
    this.#pools.get(endpointId)?.closeUnusedSince(lostSince);
  }

  /**
   * @param endpoint - an endpoint
   * @param now - current instant in milliseconds
   * @returns time until it is tried again if neither this daemon nor a peer reaches it, in milliseconds
   */
  retryInMs(endpoint: serving.Endpoint, now: number): number {
    return this.#paths.monitor.paths.retryInMs(endpoint, now);
  }

  /** @param endpointId - an endpoint that is gone or has restarted: its idle connections are closed */
  forget(endpointId: string): void {
    this.#pools.get(endpointId)?.close();
    this.#pools.delete(endpointId);
    this.#relayedDataAt.delete(endpointId);
    if (this.#relayed.get(endpointId) === 0) this.#relayed.delete(endpointId);
    this.#paths.monitor.forget(endpointId);
    this.#paths.relays.forget(endpointId);
  }

  /** Closes all idle connections. */
  close(): void {
    for (const pool of this.#pools.values()) pool.close();
    this.#paths.relays.close();
  }

  #identified(
    endpoint: serving.Endpoint,
    request: sendings.OutgoingRequest,
    receiver: sendings.AnswerReceiver,
    observe: sendings.AnswerObserver,
  ): sendings.AnswerReceiver {
    const isOwn = (status: number, headers: sendings.AnswerHeaders): boolean =>
      this.#guard.isAnswerTo(endpoint, request, status, headers);
    return new IdentifyingReceiver(receiver, isOwn, observe);
  }

  #noteBroken(endpoint: serving.Endpoint, wasDispatched: boolean): void {
    this.#count("endpoint_connections_broken");
    if (wasDispatched) this.#paths.monitor.noteBroken(endpoint);
  }

  #poolOf(endpoint: serving.Endpoint): connectionPools.EndpointConnectionPool {
    let pool = this.#pools.get(endpoint.id);
    // The connections lead to the old address of an endpoint that has moved, where another endpoint may listen now.
    if (pool !== undefined && pool.address !== endpoint.address) {
      pool.close();
      pool = undefined;
    }
    if (pool === undefined) {
      pool = this.#createPool(endpoint, true);
      this.#pools.set(endpoint.id, pool);
    }
    if (!pool.hasLiveIdle) this.#closeIdleBeyondBound();
    return pool;
  }

  /** Idle connections to some endpoints must not keep requests from others. */
  #closeIdleBeyondBound(): void {
    const { busy, idle } = this.#connections;
    if (busy + idle < this.#maxConnections) return;
    for (const pool of this.#pools.values()) pool.close();
  }

  #createPool(endpoint: serving.Endpoint, keepsConnections: boolean): connectionPools.EndpointConnectionPool {
    const { monitor } = this.#paths;
    const listener: connectionPools.PoolListener = {
      onConnected: () => monitor.noteConnected(endpoint),
      onConnectFailed: (since, error) => monitor.noteConnectFailed(endpoint, since, error.message),
      onReceived: () => monitor.noteReceived(endpoint),
    };
    const { address } = endpoint;
    return new connectionPools.EndpointConnectionPool(
      address,
      this.#isLoopLagging,
      listener,
      keepsConnections,
      this.#connections,
    );
  }
}

/** Passes on the answer to its request only; nothing of any other answer reaches its receiver or observer. */
class IdentifyingReceiver implements sendings.AnswerReceiver {
  readonly #receiver: sendings.AnswerReceiver;
  readonly #isOwn: (status: number, headers: sendings.AnswerHeaders) => boolean;
  readonly #observe: sendings.AnswerObserver;
  #isForeign = false;

  constructor(
    receiver: sendings.AnswerReceiver,
    isOwn: (status: number, headers: sendings.AnswerHeaders) => boolean,
    observe: sendings.AnswerObserver,
  ) {
    this.#receiver = receiver;
    this.#isOwn = isOwn;
    this.#observe = observe;
  }

  onHead(status: number, headers: sendings.AnswerHeaders): boolean {
    this.#isForeign = !this.#isOwn(status, headers);
    if (this.#isForeign) return false;
    const isAccepted = this.#receiver.onHead(status, headers);
    this.#observe(status, headers);
    return isAccepted;
  }

  onData(chunk: Buffer): boolean {
    return this.#receiver.onData(chunk);
  }

  onEnd(): void {
    this.#receiver.onEnd();
  }

  onBroken(outcome: serving.SendOutcome, detail: string): void {
    this.#receiver.onBroken(this.#isForeign ? serving.SendOutcome.Foreign : outcome, detail);
  }
}
