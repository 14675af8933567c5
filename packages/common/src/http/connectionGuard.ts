import type * as http from "node:http";
import type * as net from "node:net";
import * as connectionLimits from "../connectionLimit.js";

/**
 * Requests on one connection from which on nothing more is read of it until earlier ones are answered. A client may send a few
 * requests without waiting for answers, and its disconnect is noticed while it does.
 */
const MAX_PIPELINED = 8;

/** What a server does with connections and requests beyond its bounds. */
export interface ConnectionGuardParts {
  readonly bounds: connectionLimits.ConnectionBounds;
  /**
   * Closes a connection for others.
   *
   * @param socket - the connection
   */
  readonly close: (socket: net.Socket) => void;
}

/** A request on a guarded connection. */
export interface GuardedRequest {
  /** Whether it is rejected, as there are too many. */
  readonly isRejected: boolean;
  /** The request has been read and accepted: its connection isn't closed for others any more. */
  noteRunning(): void;
}

/** What a guard knows of a connection. */
interface GuardedConnection {
  /** Responses that wait behind others. */
  readonly queued: Set<http.ServerResponse>;
  /** Whether nothing is read until earlier requests are answered. */
  isFull: boolean;
  /** Whether nothing is read until the connections that were closed are gone. */
  isSuspended: boolean;
}

/** Bounds the connections of an HTTP server, and the requests that wait on them. */
export class ConnectionGuard {
  readonly #parts: ConnectionGuardParts;
  readonly #limit: connectionLimits.ConnectionLimit<net.Socket>;
  readonly #connections = new Map<net.Socket, GuardedConnection>();
  #isSuspended = false;

  /** @param parts - bounds, and what happens beyond them */
  constructor(parts: ConnectionGuardParts) {
    this.#parts = parts;
    this.#limit = new connectionLimits.ConnectionLimit(parts.bounds);
  }

  /** @returns number of open connections */
  get connections(): number {
    return this.#limit.connections;
  }

  /** @param server - the server whose connections are bounded */
  attach(server: http.Server): void {
    server.on("connection", (socket: net.Socket) => {
      this.#connections.set(socket, { queued: new Set(), isFull: false, isSuspended: false });
      // Each open request listens for its end.
      socket.setMaxListeners(0);
      socket.once("close", () => this.#onClose(socket));
      // The server resumes a connection whenever a request has been read.
      socket.on("resume", () => this.#updateReading(socket));
      const closed = this.#limit.open(socket);
      if (closed !== undefined) this.#parts.close(closed);
    });
  }

  /**
   * Counts a request until its response closes.
   *
   * @param response - the response to it
   * @returns the request; undefined if its connection has been closed, so that nothing of it is to be handled
   */
  begin(response: http.ServerResponse): GuardedRequest | undefined {
    const { socket } = response.req;
    const verdict = this.#limit.beginRequest(socket);
    if (verdict === undefined) return undefined;
    if (verdict.closed !== undefined) {
      this.#parts.close(verdict.closed);
      this.#suspendReading();
    }
    const connection = this.#connections.get(socket);
    if (verdict.closed === socket || connection === undefined) return undefined;
    if (verdict.openOnConnection > 1) {
      connection.queued.add(response);
      connection.isFull = verdict.openOnConnection > MAX_PIPELINED;
      this.#updateReading(socket);
    }
    let isRunning = false;
    response.once("close", () => {
      connection.queued.delete(response);
      this.#onEnd(socket, connection, this.#limit.endRequest(socket, isRunning));
    });
    const noteRunning = (): void => {
      isRunning = true;
      this.#limit.noteRunning(socket);
    };
    return { isRejected: verdict.isRejected, noteRunning };
  }

  #onEnd(socket: net.Socket, connection: GuardedConnection, open: number): void {
    if (!connection.isFull || open > MAX_PIPELINED) return;
    connection.isFull = false;
    this.#resume(socket, connection);
  }

  #onClose(socket: net.Socket): void {
    this.#limit.close(socket);
    const connection = this.#connections.get(socket);
    this.#connections.delete(socket);
    // The server emits this event only for the response whose turn it is, so that the requests behind it would go on for nobody.
    for (const response of connection?.queued ?? []) {
      if (response.socket !== null) continue;
      response.destroy();
      response.emit("close");
    }
  }

  /**
   * Reads nothing more until the connections that have been closed are gone: their requests are held until then, and each further
   * connection that is read in this turn of the event loop may bring hundreds.
   */
  #suspendReading(): void {
    if (this.#isSuspended) return;
    this.#isSuspended = true;
    const suspended = [...this.#connections];
    for (const [socket, connection] of suspended) {
      connection.isSuspended = true;
      this.#updateReading(socket);
    }
    // Connections are closed at the end of a turn, after setImmediate.
    setImmediate(() =>
      setImmediate(() => {
        this.#isSuspended = false;
        for (const [socket, connection] of suspended) {
          connection.isSuspended = false;
          this.#resume(socket, connection);
        }
      }),
    );
  }

  #updateReading(socket: net.Socket): void {
    const connection = this.#connections.get(socket);
    if (connection?.isFull === true || connection?.isSuspended === true) socket.pause();
  }

  #resume(socket: net.Socket, { isFull, isSuspended }: GuardedConnection): void {
    if (!isFull && !isSuspended && !socket.destroyed) socket.resume();
  }
}
