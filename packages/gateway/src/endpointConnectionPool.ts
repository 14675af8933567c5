import type * as net from "node:net";
import * as undici from "undici";
import * as connectors from "./paths/connector.js";
import * as pendingReads from "./pendingReads.js";
import * as recentIds from "./sends/recentIds.js";

/** Time for a connection to an endpoint to be established, in milliseconds; a healthy endpoint takes a few. */
const CONNECT_TIMEOUT_MS = 350;

/** Idle time after which this side closes a connection, in milliseconds, unless the endpoint names a shorter one. */
const IDLE_TIMEOUT_MS = 4_000;

const connect = connectors.createConnector(CONNECT_TIMEOUT_MS);

/** Is notified of what happens on the connections of a pool. */
export interface PoolListener {
  onConnected(): void;
  /** @param since - start of the attempt, in milliseconds; @param error - why it failed */
  onConnectFailed(since: number, error: Error): void;
  onReceived(): void;
}

/** Counts the connections of several pools. */
export interface ConnectionCounts {
  /** Connections that carry a request. */
  busy: number;
  /** Connections that are kept for further requests. */
  idle: number;
}

/** A connection to an endpoint; it carries one request at a time. */
export interface PooledConnection {
  readonly client: undici.Client;
  socket: net.Socket | undefined;
  usedAt: number;
  /** Requests that it has carried. */
  readonly carried: recentIds.RecentIds;
  /** Called when bytes have arrived, before the HTTP client parses them, while a request is under way. */
  onReadable: ((socket: net.Socket) => void) | undefined;
  /** Whether the connection was reset instead of closed in order. */
  reset: boolean;
}

/**
 * Creates a connection, which is opened by its first request.
 *
 * An answer without a length ends where its connection closes, and it is incomplete if the connection was reset. The
 * HTTP client takes a reset for the regular end of such an answer, so how the connection ended is recorded here before the
 * client handles it.
 */
function createConnection(
  address: string,
  isLoopLagging: () => boolean,
  listener: PoolListener | undefined,
): PooledConnection {
  const connection: PooledConnection = {
    socket: undefined,
    usedAt: 0,
    carried: new recentIds.RecentIds(),
    reset: false,
    onReadable: undefined,
    client: new undici.Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      connect: (target, callback) => {
        connection.reset = false;
        const startedAt = performance.now();
        connect(target, (...result) => {
          const [error, socket] = result;
          if (error !== null) {
            listener?.onConnectFailed(startedAt, error);
            callback(error, null);
            return;
          }
          listener?.onConnected();
          connection.socket = socket;
          socket.on("readable", () => connection.onReadable?.(socket));
          socket.on("error", () => {
            connection.reset = true;
          });
          socket.on("end", () => {
            connection.reset ||= !isConnected(socket);
          });
          const reportConnected = (): void => {
            if (socket.destroyed) callback(new Error("the connection broke while it was being established"), null);
            else callback(null, socket);
          };
          // The client sends the request as soon as it is connected. A lagging event loop may process that before the
          // caller's disconnect, so the pending socket events are processed first.
          if (isLoopLagging()) new pendingReads.DeferredStep(reportConnected);
          else reportConnected();
        });
      },
    }),
  };
  return connection;
}

/**
 * libuv reports a reset that arrives together with data as an orderly end, without an error. A socket that the peer has only
 * closed still has a peer, whereas `getpeername` fails with ENOTCONN after a reset. Node.js caches the name once it has been
 * read, so this must be its first reader.
 *
 * @param socket - a socket that has reported its end, and whose own side hasn't been ended yet
 * @returns whether it still has a peer, so that the end was an orderly one
 */
function isConnected(socket: net.Socket): boolean {
  return socket.remoteAddress !== undefined;
}

/** Connections to one incarnation of an endpoint, or to a peer that passes requests on. */
export class EndpointConnectionPool {
  readonly #idle: PooledConnection[] = [];
  readonly #busy = new Set<PooledConnection>();
  readonly #isLoopLagging: () => boolean;
  readonly #listener: PoolListener | undefined;
  readonly #keepsConnections: boolean;
  readonly #counts: ConnectionCounts;
  #lastReceivedAt = 0;

  /**
   * @param address - the address, IP:PORT
   * @param isLoopLagging - whether the event loop lags, so that the socket events it processes may be old
   * @param listener - is notified of connections and data, if given
   * @param keepsConnections - whether a connection is kept for further requests
   * @param counts - counts the connections of this pool with those of others, if given
   */
  constructor(
    readonly address: string,
    isLoopLagging: () => boolean,
    listener?: PoolListener,
    keepsConnections = true,
    counts: ConnectionCounts = { busy: 0, idle: 0 },
  ) {
    this.#isLoopLagging = isLoopLagging;
    this.#listener = listener;
    this.#keepsConnections = keepsConnections;
    this.#counts = counts;
  }

  /** @returns instant at which data was last received, in milliseconds */
  get lastReceivedAt(): number {
    return this.#lastReceivedAt;
  }

  /** @param now - instant at which data was received, in milliseconds */
  noteReceived(now: number): void {
    this.#lastReceivedAt = now;
    this.#listener?.onReceived();
  }

  /** @returns number of connections that are open or being opened */
  get open(): number {
    return this.#idle.length + this.#busy.size;
  }

  /** @returns number of connections that carry a request */
  get busy(): number {
    return this.#busy.size;
  }

  /** @returns whether an idle connection is still open */
  get hasLiveIdle(): boolean {
    return this.#idle.some(({ socket }) => socket !== undefined && !socket.destroyed && !socket.readableEnded);
  }

  /** @returns bytes of requests that are buffered but not yet sent */
  get unsentBytes(): number {
    return [...this.#busy].reduce((sum, connection) => sum + (connection.socket?.writableLength ?? 0), 0);
  }

  /**
   * Gives out a connection that has not carried a request with this id. On one that has, a second answer to the earlier request
   * would pass for the answer to this one.
   *
   * @param requestId - id that the request carries and its answer names, if any
   * @returns a connection for one request, to be released or discarded
   */
  acquire(requestId: string | undefined): PooledConnection {
    const connection = this.#takeIdle(requestId) ?? createConnection(this.address, this.#isLoopLagging, this.#listener);
    if (requestId !== undefined) connection.carried.add(requestId);
    this.#busy.add(connection);
    this.#counts.busy++;
    return connection;
  }

  #takeIdle(requestId: string | undefined): PooledConnection | undefined {
    const index = this.#idle.findLastIndex(({ carried }) => requestId === undefined || !carried.mayHave(requestId));
    if (index === -1) return undefined;
    this.#counts.idle--;
    return this.#idle.splice(index, 1)[0];
  }

  /**
   * Makes a connection available for other requests, unless none is kept.
   *
   * @param connection - a connection whose request is over, with no unread data
   * @param now - current instant in milliseconds
   */
  release(connection: PooledConnection, now: number): void {
    if (!this.#keepsConnections) {
      this.discard(connection);
      return;
    }
    this.#leaveBusy(connection);
    connection.usedAt = now;
    this.#idle.push(connection);
    this.#counts.idle++;
  }

  /**
   * Closes a connection after an error or a cancelled request: it may still carry bytes of that request's answer, so it
   * must not be reused.
   *
   * @param connection - the connection
   */
  discard(connection: PooledConnection): void {
    this.#leaveBusy(connection);
    connection.client.destroy().catch(() => undefined);
  }

  /**
   * Closes idle connections that were last used before an instant.
   *
   * @param before - the instant, in milliseconds
   */
  closeUnusedSince(before: number): void {
    for (const connection of this.#idle.filter(({ usedAt }) => usedAt < before)) {
      this.#idle.splice(this.#idle.indexOf(connection), 1);
      this.#counts.idle--;
      connection.client.destroy().catch(() => undefined);
    }
  }

  /** Closes the idle connections. */
  close(): void {
    this.#counts.idle -= this.#idle.length;
    for (const connection of this.#idle.splice(0)) connection.client.destroy().catch(() => undefined);
  }

  #leaveBusy(connection: PooledConnection): void {
    if (this.#busy.delete(connection)) this.#counts.busy--;
    connection.onReadable = undefined;
  }
}
