import type * as http from "node:http";

/** Time for which a refused client's bytes are read on, in milliseconds; longer than the largest body takes on a slow link. */
const MAX_LINGER_MS = 5_000;

/** Bytes of a refused client that are read on: several times the largest body. */
const MAX_LINGER_BYTES = 16_777_216;

/** What handling one part of a body costs, in bytes that could be read instead: a body may come in chunks of one byte. */
const PART_COST_BYTES = 64;

/** Refused clients that are read on at the same time; beyond it the earliest is closed. */
const MAX_LINGERING = 256;

/**
 * Reads on what refused clients still send before their connections are closed. A connection that is closed with unread bytes is
 * reset, and a reset can overtake the answer (RFC 9112, section 9.6): the client would not learn that its request has not run.
 */
export class UnreadBodies {
  /** Ends the reading of each client, the earliest first. */
  readonly #lingering = new Set<() => void>();

  /**
   * Answers a request that isn't read to its end, without a body.
   *
   * @param response - the response, of which nothing has been written
   * @param status - HTTP status
   */
  refuse(response: http.ServerResponse, status: number): void {
    response.writeHead(status, { connection: "close", "content-length": 0 });
    response.flushHeaders();
    this.linger(response);
  }

  /**
   * Reads on until the client has sent its body or closed its connection, or for as long as the limits allow, and ends the
   * response then.
   *
   * @param response - a response whose whole answer has been written, and that has not been ended
   */
  linger(response: http.ServerResponse): void {
    const incoming = response.req;
    if (incoming.readableEnded || incoming.destroyed) {
      response.end();
      return;
    }
    let cost = 0;
    const finish = (): void => {
      clearTimeout(timer);
      this.#lingering.delete(finish);
      if (!response.writableEnded) response.end();
    };
    const timer = setTimeout(finish, MAX_LINGER_MS).unref();
    this.#lingering.add(finish);
    incoming.on("data", (part: Buffer) => {
      cost += part.length + PART_COST_BYTES;
      if (cost > MAX_LINGER_BYTES) finish();
    });
    for (const event of ["end", "error", "close"]) incoming.once(event, finish);
    incoming.resume();
    const [earliest] = this.#lingering;
    if (this.#lingering.size > MAX_LINGERING) earliest?.();
  }

  /** Ends all responses, as the process ends. */
  endAll(): void {
    for (const finish of [...this.#lingering]) finish();
  }
}
