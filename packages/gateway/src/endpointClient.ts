import type * as net from "node:net";
import * as serving from "@camphorcourse/serving";
import * as undici from "undici";

/** Time for a connection to an endpoint to be established, in milliseconds; a sound one takes a few. */
const CONNECT_TIMEOUT_MS = 350;

/** Idle time after which a connection is closed here, in milliseconds, where the endpoint names no shorter one. */
const IDLE_TIMEOUT_MS = 4_000;

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

interface Lane {
  readonly client: undici.Client;
  socket: net.Socket | undefined;
  usedAt: number;
  /** Whether the connection ended with an error instead of a proper close. */
  reset: boolean;
}

const connect = undici.buildConnector({ timeout: CONNECT_TIMEOUT_MS, autoSelectFamily: false, keepAlive: true });

/**
 * An answer without a length ends with its connection, and one that was reset
 * on the way isn't whole. The HTTP client takes a reset for the end of such an
 * answer, so the lane notes the socket's own error before the client hears of it.
 */
function openLane(origin: string): Lane {
  const lane: Lane = {
    socket: undefined,
    usedAt: 0,
    reset: false,
    client: new undici.Client(origin, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      connect: (options, callback) => {
        lane.reset = false;
        connect(options, (...result) => {
          lane.socket = result[1] ?? undefined;
          result[1]?.on("error", () => {
            lane.reset = true;
          });
          callback(...result);
        });
      },
    }),
  };
  return lane;
}

/** The connections to one start of one endpoint; each carries one request at a time. */
class EndpointLanes {
  readonly #origin: string;
  readonly #idle: Lane[] = [];
  readonly #busy = new Set<Lane>();
  /** Instant at which anything last came from the endpoint, in milliseconds. */
  heardAt = 0;

  constructor(readonly address: string) {
    this.#origin = `http://${address}`;
  }

  get open(): number {
    return this.#idle.length + this.#busy.size;
  }

  get busy(): number {
    return this.#busy.size;
  }

  get unsentBytes(): number {
    return [...this.#busy].reduce((sum, lane) => sum + (lane.socket?.writableLength ?? 0), 0);
  }

  take(): Lane {
    const lane = this.#idle.pop() ?? openLane(this.#origin);
    this.#busy.add(lane);
    return lane;
  }

  giveBack(lane: Lane, now: number): void {
    this.#busy.delete(lane);
    lane.usedAt = now;
    this.#idle.push(lane);
  }

  /** A connection on which anything was odd may carry bytes of an earlier request: it is never used again. */
  discard(lane: Lane): void {
    this.#busy.delete(lane);
    lane.client.destroy().catch(() => undefined);
  }

  close(): void {
    for (const lane of this.#idle.splice(0)) lane.client.destroy().catch(() => undefined);
  }
}

/** Sends requests to endpoints over connections that are kept between requests. */
export class EndpointClient {
  readonly #lanes = new Map<string, EndpointLanes>();
  readonly #count: (name: string) => void;

  /** @param count - counts an event by its name */
  constructor(count: (name: string) => void) {
    this.#count = count;
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
    const lanes = this.#lanesOf(endpoint);
    const lane = lanes.take();
    let leftAt: number | undefined;
    let over = false;
    let controller: undici.Dispatcher.DispatchController | undefined;
    const discard = (): void => {
      if (over) return;
      over = true;
      lanes.discard(lane);
    };
    const broken = (fate: serving.SendFate, detail: string): void => {
      if (over) return;
      discard();
      receiver.onBroken(fate, detail);
    };
    lane.client.dispatch(
      {
        method: request.method as undici.Dispatcher.HttpMethod,
        path: request.path,
        headers: request.headers,
        body: request.body ?? null,
      },
      {
        onRequestStart: (started_) => {
          controller = started_;
          // After a standstill a connection may be there only once the time is up: what is sent then runs for nobody.
          const now = performance.now();
          if (now < (request.sendBefore ?? Infinity)) leftAt = now;
          else started_.abort(new Error("the connection came too late"));
        },
        onResponseStart: (_controller, status, headers) => {
          if (over || status < 200) return;
          lanes.heardAt = performance.now();
          if (!receiver.onHead(status, headers)) broken(serving.SendFate.Unknown, "the answer is not this request's");
        },
        onResponseData: (_controller, chunk) => {
          if (over) return;
          lanes.heardAt = performance.now();
          receiver.onData(chunk);
        },
        onResponseEnd: () => {
          if (lane.reset) broken(serving.SendFate.Unknown, "the connection was reset inside the answer");
          if (over) return;
          over = true;
          lanes.heardAt = performance.now();
          lanes.giveBack(lane, lanes.heardAt);
          receiver.onEnd();
        },
        onResponseError: (_controller, error) => {
          this.#count("endpoint_connections_broken");
          broken(leftAt !== undefined ? serving.SendFate.Unknown : serving.SendFate.NotSent, error.message);
        },
      },
    );
    return {
      get hasLeft() {
        return leftAt !== undefined;
      },
      get leftAt() {
        return leftAt;
      },
      get unsentBytes() {
        return lane.socket?.writableLength ?? 0;
      },
      cancel: () => {
        if (over) return;
        // First: the abort reports an error at once, which is no result of the endpoint's.
        discard();
        controller?.abort(new Error("cancelled"));
      },
      pause: () => controller?.pause(),
      resume: () => controller?.resume(),
    };
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

  #lanesOf(endpoint: serving.Endpoint): EndpointLanes {
    let lanes = this.#lanes.get(endpoint.id);
    // One that has moved is no longer where its connections lead; another endpoint may be there.
    if (lanes !== undefined && lanes.address !== endpoint.address) {
      lanes.close();
      lanes = undefined;
    }
    if (lanes === undefined) {
      lanes = new EndpointLanes(endpoint.address);
      this.#lanes.set(endpoint.id, lanes);
    }
    return lanes;
  }
}
