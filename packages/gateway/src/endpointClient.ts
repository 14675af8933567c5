import type * as serving from "@camphorcourse/serving";
import * as connectionPools from "./endpointConnectionPool.js";
import * as endpointSends from "./endpointSend.js";
import type * as sendings from "./sending.js";

/** Share of an endpoint's connections that all daemons together use; the rest is left for health checks and restarts. */
const USED_CONNECTIONS_SHARE = 0.8;

/** Sends requests to endpoints over pooled keep-alive connections. */
export class EndpointClient {
  readonly #pools = new Map<string, connectionPools.EndpointConnectionPool>();
  readonly #count: (name: string) => void;
  readonly #isLoopLagging: () => boolean;
  readonly #observer: sendings.TrafficObserver;

  /**
   * @param count - counts an event by its name
   * @param isLoopLagging - whether the event loop lags, so that the socket events it processes may be old
   * @param observer - observes what is sent, and the answers
   */
  constructor(count: (name: string) => void, isLoopLagging: () => boolean, observer: sendings.TrafficObserver) {
    this.#count = count;
    this.#isLoopLagging = isLoopLagging;
    this.#observer = observer;
  }

  /**
   * @param endpointId - the endpoint
   * @returns instant at which data was last received from it, in milliseconds
   */
  lastReceivedAt(endpointId: string): number {
    return this.#pools.get(endpointId)?.lastReceivedAt ?? 0;
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
    return (this.#pools.get(endpointId)?.busy ?? 0) < limit;
  }

  /**
   * @param endpointId - the endpoint
   * @returns whether an idle connection to it is open
   */
  hasLiveConnection(endpointId: string): boolean {
    return this.#pools.get(endpointId)?.hasLiveIdle ?? false;
  }

  /** @returns bytes of requests that are buffered for connections to endpoints but not yet sent */
  get unsentBytes(): number {
    return [...this.#pools.values()].reduce((sum, pool) => sum + pool.unsentBytes, 0);
  }

  /**
   * Sends a request over an idle or a new connection.
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
    const parts = {
      pool: this.#poolOf(endpoint),
      request,
      receiver: new ObservedReceiver(receiver, this.#observer.onSend(endpoint, request)),
      isLoopLagging: this.#isLoopLagging,
      onBroken: () => this.#countBroken(),
    };
    return new endpointSends.EndpointSend(parts);
  }

  /** @param endpointId - an endpoint that is gone or has restarted: its idle connections are closed */
  forget(endpointId: string): void {
    this.#pools.get(endpointId)?.close();
    this.#pools.delete(endpointId);
  }

  /** Closes all idle connections. */
  close(): void {
    for (const pool of this.#pools.values()) pool.close();
  }

  #countBroken(): void {
    this.#count("endpoint_connections_broken");
  }

  #poolOf(endpoint: serving.Endpoint): connectionPools.EndpointConnectionPool {
    let pool = this.#pools.get(endpoint.id);
    // The connections lead to the old address of an endpoint that has moved, where another endpoint may listen now.
    if (pool !== undefined && pool.address !== endpoint.address) {
      pool.close();
      pool = undefined;
    }
    if (pool === undefined) {
      pool = new connectionPools.EndpointConnectionPool(endpoint.address, this.#isLoopLagging);
      this.#pools.set(endpoint.id, pool);
    }
    return pool;
  }
}

/** Reports the heads of the answers that its receiver accepts. */
class ObservedReceiver implements sendings.AnswerReceiver {
  readonly #receiver: sendings.AnswerReceiver;
  readonly #observe: (status: number, headers: sendings.AnswerHeaders) => void;

  constructor(receiver: sendings.AnswerReceiver, observe: (status: number, headers: sendings.AnswerHeaders) => void) {
    this.#receiver = receiver;
    this.#observe = observe;
  }

  onHead(status: number, headers: sendings.AnswerHeaders): boolean {
    const isForRequest = this.#receiver.onHead(status, headers);
    if (isForRequest) this.#observe(status, headers);
    return isForRequest;
  }

  onData(chunk: Buffer): void {
    this.#receiver.onData(chunk);
  }

  onEnd(): void {
    this.#receiver.onEnd();
  }

  onBroken(outcome: serving.SendOutcome, detail: string): void {
    this.#receiver.onBroken(outcome, detail);
  }
}
