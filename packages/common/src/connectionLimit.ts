/** What a server bounds of its connections. */
export interface ConnectionBounds {
  readonly maxConnections: number;
  /** Requests on all connections whose responses aren't complete. */
  readonly maxRequests: number;
}

/** Requests of one connection. */
interface OpenRequests {
  /** Requests whose responses aren't complete. */
  open: number;
  /** Those of them that have been read and accepted. */
  running: number;
}

/** What happens to a request that has just begun. */
export interface RequestVerdict<Connection> {
  /** Requests of its connection whose responses aren't complete, itself included. */
  readonly openOnConnection: number;
  /** Whether it is rejected. */
  readonly isRejected: boolean;
  /** A connection that is closed for others, possibly its own. */
  readonly closed: Connection | undefined;
}

/**
 * Bounds the connections of a server, and the requests on them. A new connection beyond the bound takes the place of the one without
 * a running request on which nothing has happened for the longest: it is idle, its request is unfinished, or it has been refused. A
 * request beyond the bound takes the place of the connection with the most, where one has several.
 *
 * Answers the load pattern in which clients open connections that they don't use, or send requests on one connection without waiting
 * for answers: others still get a connection, and a connection whose only request runs is never closed.
 */
export class ConnectionLimit<Connection> {
  readonly #bounds: ConnectionBounds;
  readonly #connections = new Map<Connection, OpenRequests>();
  /** Connections without a running request, the one on which nothing has happened for the longest first. */
  readonly #closable = new Set<Connection>();
  #requests = 0;

  /** @param bounds - what is bounded */
  constructor(bounds: ConnectionBounds) {
    this.#bounds = bounds;
  }

  /** @returns number of connections */
  get connections(): number {
    return this.#connections.size;
  }

  /** @returns number of requests whose responses aren't complete */
  get requests(): number {
    return this.#requests;
  }

  /**
   * @param connection - a new connection
   * @returns the connection that is closed for it, itself if all others run requests; undefined if there is room
   */
  open(connection: Connection): Connection | undefined {
    this.#connections.set(connection, { open: 0, running: 0 });
    const [longest = connection] = this.#closable;
    this.#closable.add(connection);
    if (this.#connections.size <= this.#bounds.maxConnections) return undefined;
    this.close(longest);
    return longest;
  }

  /**
   * @param connection - a connection on which a request has begun
   * @returns what happens to the request; undefined if the connection has been closed before
   */
  beginRequest(connection: Connection): RequestVerdict<Connection> | undefined {
    const own = this.#connections.get(connection);
    if (own === undefined) return undefined;
    own.open++;
    this.#requests++;
    this.#markActive(connection, own);
    const verdict = { openOnConnection: own.open, isRejected: false, closed: undefined };
    if (this.#requests <= this.#bounds.maxRequests) return verdict;
    const greediest = this.#greediest();
    if (greediest === undefined) return { ...verdict, isRejected: true };
    this.close(greediest);
    return { ...verdict, closed: greediest };
  }

  /** @param connection - the connection of a request that has been read and accepted */
  noteRunning(connection: Connection): void {
    const own = this.#connections.get(connection);
    if (own === undefined) return;
    own.running++;
    this.#closable.delete(connection);
  }

  /**
   * @param connection - the connection of a request whose response is complete or broken off
   * @param wasRunning - whether it had been accepted
   * @returns requests of the connection whose responses aren't complete
   */
  endRequest(connection: Connection, wasRunning: boolean): number {
    const own = this.#connections.get(connection);
    if (own === undefined) return 0;
    own.open--;
    this.#requests--;
    if (wasRunning) own.running--;
    this.#markActive(connection, own);
    return own.open;
  }

  /** @param connection - a connection that is closed */
  close(connection: Connection): void {
    const own = this.#connections.get(connection);
    if (own === undefined) return;
    this.#requests -= own.open;
    this.#connections.delete(connection);
    this.#closable.delete(connection);
  }

  #markActive(connection: Connection, { running }: OpenRequests): void {
    if (running > 0) return;
    this.#closable.delete(connection);
    this.#closable.add(connection);
  }

  /** The connection with the most requests, if it has several. */
  #greediest(): Connection | undefined {
    let greediest: Connection | undefined;
    let most = 1;
    for (const [connection, { open }] of this.#connections) {
      if (open <= most) continue;
      greediest = connection;
      most = open;
    }
    return greediest;
  }
}
