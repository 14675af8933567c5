import type * as http from "node:http";
import type * as net from "node:net";

/** Follows the connections of an HTTP server, and the requests that wait on them. */
export class ConnectionGuard {
  /** Responses of each connection that wait behind others. */
  readonly #queued = new Map<net.Socket, Set<http.ServerResponse>>();

  /** @param server - the server whose connections are followed */
  attach(server: http.Server): void {
    server.on("connection", (socket: net.Socket) => {
      this.#queued.set(socket, new Set());
      // Each open request listens for its end.
      socket.setMaxListeners(0);
      socket.once("close", () => this.#onClose(socket));
    });
  }

  /**
   * Follows a request until its response closes.
   *
   * @param response - the response to it
   */
  begin(response: http.ServerResponse): void {
    const queued = this.#queued.get(response.req.socket);
    queued?.add(response);
    response.once("close", () => queued?.delete(response));
  }

  #onClose(socket: net.Socket): void {
    const queued = this.#queued.get(socket) ?? [];
    this.#queued.delete(socket);
    // The server emits this event only for the response whose turn it is, so that the requests behind it would go on for nobody.
    for (const response of queued) {
      if (response.socket !== null) continue;
      response.destroy();
      response.emit("close");
    }
  }
}
