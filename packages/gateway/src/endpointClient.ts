import type * as serving from "@camphorcourse/serving";
import * as endpointLanes from "./endpointLanes.js";
import * as endpointSends from "./endpointSend.js";

/** Part of an endpoint's connections that all daemons together use, so that checks and restarts find room. */
const USED_CONNECTIONS_PART = 0.8;

/** Headers of an answer by lower-case name. */
export type AnswerHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** A request to an endpoint. */
export interface OutgoingRequest {
  readonly method: string;
  readonly path: string;
  /** Names and values by turns. */
  readonly headers: string[];
  readonly body: Buffer | undefined;
  /** Instant from which it is not sent any more, in milliseconds, where there is one. */
  readonly sendBefore?: number;
}

/** Takes an answer as it comes. */
export interface AnswerReceiver {
  /** @returns false to break the connection: the answer isn't for this request */
  onHead(status: number, headers: AnswerHeaders): boolean;
  onData(chunk: Buffer): void;
  /** The whole answer has come. */
  onEnd(): void;
  /**
   * @param fate - whether the request may have run
   * @param detail - what went wrong
   */
  onBroken(fate: serving.SendFate, detail: string): void;
}

/** A send that is under way. */
export interface Sending {
  /** Whether a part of the request may have left; before, its connection is being opened. */
  readonly hasLeft: boolean;
  /** Instant at which the request was handed to its connection, in milliseconds, once it was. */
  readonly leftAt: number | undefined;
  /** Bytes that the connection has been given and has not taken yet: its link or the endpoint is slow. */
  readonly unsentBytes: number;
  /** Closes the connection; the endpoint drops the request. */
  cancel(): void;
  /** Reads no more of the answer until {@link Sending.resume}. */
  pause(): void;
  resume(): void;
}

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
  send(endpoint: serving.Endpoint, request: OutgoingRequest, receiver: AnswerReceiver): Sending {
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
