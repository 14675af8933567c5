import type * as net from "node:net";
import * as undici from "undici";
import * as pendingReads from "./pendingReads.js";

/** Time for a connection to an endpoint to be established, in milliseconds; a sound one takes a few. */
const CONNECT_TIMEOUT_MS = 350;

/** Idle time after which a connection is closed here, in milliseconds, where the endpoint names no shorter one. */
const IDLE_TIMEOUT_MS = 4_000;

/** One connection to an endpoint; it carries one request at a time. */
export interface Lane {
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
function openLane(origin: string, isLate: () => boolean): Lane {
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
          const [error, socket] = result;
          if (error !== null) {
            callback(error, null);
            return;
          }
          lane.socket = socket;
          socket.on("error", () => {
            lane.reset = true;
          });
          const goOn = (): void => {
            if (socket.destroyed) callback(new Error("the connection broke as it was opened"), null);
            else callback(null, socket);
          };
          // The request leaves with it. A late event loop may hear only after it that the caller has left meanwhile.
          if (isLate()) new pendingReads.DeferredStep(goOn);
          else goOn();
        });
      },
    }),
  };
  return lane;
}

/** The connections to one start of one endpoint; each carries one request at a time. */
export class EndpointLanes {
  readonly #origin: string;
  readonly #idle: Lane[] = [];
  readonly #busy = new Set<Lane>();
  /** Instant at which anything last came from the endpoint, in milliseconds. */
  heardAt = 0;

  readonly #isLate: () => boolean;

  /**
   * @param address - where the endpoint is, IP:PORT
   * @param isLate - whether the event loop is late, so that what it hears may be old
   */
  constructor(
    readonly address: string,
    isLate: () => boolean,
  ) {
    this.#isLate = isLate;
    this.#origin = `http://${address}`;
  }

  /** @returns connections that are open or being opened */
  get open(): number {
    return this.#idle.length + this.#busy.size;
  }

  /** @returns connections that carry a request */
  get busy(): number {
    return this.#busy.size;
  }

  /** @returns whether a connection that carries no request is still open */
  get hasLiveIdle(): boolean {
    return this.#idle.some(({ socket }) => socket !== undefined && !socket.destroyed && !socket.readableEnded);
  }

  /** @returns bytes of requests that the connections have not taken yet */
  get unsentBytes(): number {
    return [...this.#busy].reduce((sum, lane) => sum + (lane.socket?.writableLength ?? 0), 0);
  }

  /** @returns a connection for one request, to be given back or discarded */
  take(): Lane {
    const lane = this.#idle.pop() ?? openLane(this.#origin, this.#isLate);
    this.#busy.add(lane);
    return lane;
  }

  /**
   * @param lane - a connection whose request is over and left nothing on it
   * @param now - current instant in milliseconds
   */
  giveBack(lane: Lane, now: number): void {
    this.#busy.delete(lane);
    lane.usedAt = now;
    this.#idle.push(lane);
  }

  /**
   * A connection on which anything was odd may carry bytes of an earlier request: it is never used again.
   *
   * @param lane - the connection
   */
  discard(lane: Lane): void {
    this.#busy.delete(lane);
    lane.client.destroy().catch(() => undefined);
  }

  /** Closes the idle connections. */
  close(): void {
    for (const lane of this.#idle.splice(0)) lane.client.destroy().catch(() => undefined);
  }
}
