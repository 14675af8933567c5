import type * as serving from "@camphorcourse/serving";
import * as endpointLanes from "./endpointLanes.js";
import * as endpointSends from "./endpointSend.js";
import type * as sendings from "./sending.js";

/** Part of an endpoint's connections that all daemons together use, so that checks and restarts find room. */
const USED_CONNECTIONS_PART = 0.8;

/** Sends requests to endpoints over connections that are kept between requests. */
export class EndpointClient {
  readonly #lanes = new Map<string, endpointLanes.EndpointLanes>();
  readonly #count: (name: string) => void;
  readonly #isLate: () => boolean;

  /**
   * @param count - counts an event by its name
   * @param isLate - whether the event loop is late, so that what it hears may be old
   */
  constructor(count: (name: string) => void, isLate: () => boolean) {
    this.#count = count;
    this.#isLate = isLate;
  }

  /**
   * @param endpointId - the endpoint
   * @returns instant at which anything last came from it, in milliseconds
   */
  heardAt(endpointId: string): number {
    return this.#lanes.get(endpointId)?.heardAt ?? 0;
  }

  /**
   * @param endpointId - the endpoint
   * @param maxConnections - connections that it takes from all daemons
   * @param daemons - daemons that are known
   * @returns whether this daemon may send it one more request now
   */
  hasRoom(endpointId: string, maxConnections: number, daemons: number): boolean {
    const share = Math.max(2, Math.floor((maxConnections * USED_CONNECTIONS_PART) / Math.max(1, daemons)));
    return (this.#lanes.get(endpointId)?.busy ?? 0) < share;
  }

  /**
   * @param endpointId - the endpoint
   * @returns whether an idle connection to it is open
   */
  hasLiveConnection(endpointId: string): boolean {
    return this.#lanes.get(endpointId)?.hasLiveIdle ?? false;
  }

  /** @returns bytes of requests that connections to endpoints have been given and have not taken yet */
  get unsentBytes(): number {
    return [...this.#lanes.values()].reduce((sum, lanes) => sum + lanes.unsentBytes, 0);
  }

  /**
   * @param endpoint - where to send
   * @param request - what to send
   * @param receiver - takes the answer
   * @returns the send
   */
  send(
    endpoint: serving.Endpoint,
    request: sendings.OutgoingRequest,
    receiver: sendings.AnswerReceiver,
  ): sendings.InFlightRequest {
    const parts = {
      lanes: this.#lanesOf(endpoint),
      request,
      receiver,
      isLate: this.#isLate,
      onBroken: () => this.#countBroken(),
    };
    return new endpointSends.EndpointSend(parts);
  }

  /** @param endpointId - an endpoint that is gone or has started again: its idle connections are closed */
  forget(endpointId: string): void {
    this.#lanes.get(endpointId)?.close();
    this.#lanes.delete(endpointId);
  }

  /** Closes all idle connections. */
  close(): void {
    for (const lanes of this.#lanes.values()) lanes.close();
  }

  #countBroken(): void {
    this.#count("endpoint_connections_broken");
  }

  #lanesOf(endpoint: serving.Endpoint): endpointLanes.EndpointLanes {
    let lanes = this.#lanes.get(endpoint.id);
    // One that has moved is no longer where its connections lead; another endpoint may be there.
    if (lanes !== undefined && lanes.address !== endpoint.address) {
      lanes.close();
      lanes = undefined;
    }
    if (lanes === undefined) {
      lanes = new endpointLanes.EndpointLanes(endpoint.address, this.#isLate);
      this.#lanes.set(endpoint.id, lanes);
    }
    return lanes;
  }
}
