import * as http from "node:http";
import * as net from "node:net";
import type * as stream from "node:stream";
import type * as serving from "@camphorcourse/serving";
import * as acceptQueues from "./acceptDelayEstimator.js";
import * as callerAnswers from "./callerAnswer.js";
import * as callerRequests from "./callerRequest.js";
import type * as contexts from "./context.js";
import * as exchanges from "./exchange.js";
import type * as settingsModule from "./settings.js";
import * as pendingReads from "./pendingReads.js";

/** Head size that the parser takes, in bytes; the configuration's own limit is checked after it. */
const PARSER_HEADER_BYTES = 131_072;

/** Limits until a configuration is known. */
const FIRST_LIMITS = { headerBytes: 16_384, bodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 };

/** Time for which a connection may have waited from which its caller may have left, in milliseconds. */
const LONG_WAIT_MS = 100;

/** Interval at which slow heads are looked for, in milliseconds. */
const HEAD_CHECK_MS = 500;

/** Time after which a caller may come back while no configuration is known, in seconds. */
const NOT_CONFIGURED_RETRY_AFTER = "0.400";

/** Time after which a caller may try another daemon, in seconds. */
const STOPPING_RETRY_AFTER = "0.050";

/** Outcome in the log of a request that was open when the process ended. */
const ENDED_BY_STOP = "cut-by-stop";

/** What the HTTP library calls a head that came too slowly. */
const SLOW_HEAD = "ERR_HTTP_REQUEST_TIMEOUT";

const BAD_REQUEST = 400;
const NOT_FOUND = 404;
const REQUEST_TIMEOUT = 408;
const PAYLOAD_TOO_LARGE = 413;
const UNAVAILABLE = 503;

/** What is known of a caller while its request is read and served. */
interface Caller {
  exchange: exchanges.Exchange | undefined;
  hasLeft: boolean;
}

/** Takes callers' connections and requests. */
export class CallerListener implements serving.StoppableListener {
  readonly #context: contexts.ServingContext;
  readonly #server: http.Server;
  /** Requests that were taken and have no final answer yet. */
  readonly #taken = new Set<exchanges.Exchange>();
  /** Answers to requests whose body is still being read. */
  readonly #unread = new Set<callerAnswers.CallerAnswer>();
  readonly #connections = new Set<stream.Duplex>();
  readonly #acceptQueue = new acceptQueues.AcceptQueue();
  /** Connections that may have waited long and have not brought a request yet. */
  readonly #longWaiting = new WeakSet<stream.Duplex>();
  /** Instant of the last request of each connection, in milliseconds. */
  readonly #readAt = new WeakMap<stream.Duplex, number>();
  #plannedStop: serving.PlannedStop | undefined;
  #doorClosed = false;
  #open = 0;
  #lastRequestAt = 0;

  /** @param context - what serving needs */
  constructor(context: contexts.ServingContext) {
    this.#context = context;
    this.#server = http.createServer({
      maxHeaderSize: PARSER_HEADER_BYTES,
      connectionsCheckingInterval: HEAD_CHECK_MS,
      requestTimeout: 0,
      headersTimeout: FIRST_LIMITS.headerTimeoutMs,
      keepAliveTimeout: FIRST_LIMITS.idleTimeoutMs,
      noDelay: true,
      insecureHTTPParser: false,
      joinDuplicateHeaders: false,
    });
    this.#server.on("connection", (socket: stream.Duplex) => {
      this.#connections.add(socket);
      if (this.#acceptQueue.noteAccepted(performance.now()) >= LONG_WAIT_MS) this.#longWaiting.add(socket);
      socket.once("close", () => this.#connections.delete(socket));
    });
    this.#server.on("request", (incoming, response) => void this.#onRequest(incoming, response));
    this.#server.on("clientError", (error: NodeJS.ErrnoException, socket) => this.#onClientError(error, socket));
  }

  /** @returns requests that have no final answer yet */
  get openRequests(): number {
    return this.#open;
  }

  /** @returns bytes of answers that callers' connections have been given and have not taken yet */
  get unsentBytes(): number {
    return [...this.#connections].reduce((sum, socket) => sum + socket.writableLength, 0);
  }

  /** @returns instant of the last request, in milliseconds */
  get lastRequestAt(): number {
    return this.#lastRequestAt;
  }

  /** @param address - where to listen */
  listen(address: settingsModule.SocketAddress): Promise<void> {
    return new Promise((resolve) => {
      this.#server.listen({ host: address.host, port: address.port, backlog: 511 }, resolve);
    });
  }

  /** A configuration has come into force: its limits hold for callers. */
  followLimits(): void {
    const limits = this.#context.view.table?.configuration.limits;
    if (limits === undefined) return;
    this.#server.headersTimeout = limits.headerTimeoutMs;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  /**
   * From now on each connection is closed after its answer, and what can't end in time is told that it has not run.
   *
   * @param plannedStop - what is still taken
   */
  beginStop(plannedStop: serving.PlannedStop): void {
    this.#plannedStop = plannedStop;
  }

  /** @returns whether no connection is taken any more */
  get doorIsClosed(): boolean {
    return this.#doorClosed;
  }

  /** From now on no connection is taken. */
  closeDoor(): void {
    if (this.#doorClosed) return;
    this.#doorClosed = true;
    this.#context.log.info("refusing", { open: this.#open });
    // Not the HTTP server's own close: it also breaks connections whose last answer is still on its way to a slow reader.
    net.Server.prototype.close.call(this.#server);
  }

  /**
   * There is no time left to run anything: what has not left for an endpoint is told so, and never leaves. So is what
   * is still being read; its connection would break without a word when the process ends.
   */
  endUnsent(): void {
    for (const answer of this.#unread) this.#refuseStopping(answer);
    for (const exchange of [...this.#taken]) if (exchange.isUnsent) exchange.endNow(ENDED_BY_STOP);
  }

  /** There is no time left for an answer to begin: each request without one gets its true final answer. */
  endUnbegun(): void {
    for (const exchange of [...this.#taken]) if (!exchange.answerHasBegun) exchange.endNow(ENDED_BY_STOP);
  }

  /** The process ends: what is still open gets its true final answer, instead of a connection that breaks. */
  endOpen(): void {
    for (const exchange of [...this.#taken]) exchange.endNow(ENDED_BY_STOP);
  }

  /** Takes no new connections, and closes those that are idle. */
  close(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  /**
   * Bytes that are no request, or a head that comes too slowly. After a standstill the look for slow heads comes before
   * the sockets are read, and a request that lies there would be told that it is wrong: it has its turn first. Only
   * what is still slow then is turned away, with the status that lets the caller come again.
   */
  #onClientError(error: NodeJS.ErrnoException, socket: stream.Duplex): void {
    if (error.code !== SLOW_HEAD) {
      this.#closeConnection(socket, BAD_REQUEST, error);
      return;
    }
    const readAt = this.#readAt.get(socket);
    setImmediate(() => {
      if (this.#readAt.get(socket) === readAt) this.#closeConnection(socket, REQUEST_TIMEOUT, error);
    });
  }

  #closeConnection(socket: stream.Duplex, status: number, error: NodeJS.ErrnoException): void {
    this.#context.log.info("bad-request", { detail: error.code ?? error.message, status });
    const head = `HTTP/1.1 ${status} ${http.STATUS_CODES[status] ?? ""}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`;
    if (socket.writable) socket.end(head);
    else socket.destroy();
  }

  async #onRequest(incoming: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const { view, format, log } = this.#context;
    const now = performance.now();
    this.#lastRequestAt = now;
    this.#readAt.set(incoming.socket, now);
    this.#open++;
    response.once("close", () => {
      this.#open--;
    });
    const answer = new callerAnswers.CallerAnswer(response, () => this.#plannedStop !== undefined);
    const limits = view.table?.configuration.limits ?? FIRST_LIMITS;
    const read = callerRequests.readCallerRequest(incoming, format, limits.headerBytes, now);
    if (read.isErr()) {
      log.info("bad-request", { detail: read.error.detail, status: read.error.status });
      this.#turnAway(incoming, answer, read.error.status, read.error.detail);
      return;
    }
    const request = read.value;
    const caller: Caller = { exchange: undefined, hasLeft: false };
    const leave = (): void => {
      caller.hasLeft = true;
      caller.exchange?.callerLeft();
    };
    // The end of the connection is heard before the response closes, and before a request behind it is sent.
    incoming.socket.once("end", leave);
    response.once("close", () => {
      incoming.socket.off("end", leave);
      if (!response.writableFinished) leave();
    });
    this.#unread.add(answer);
    const body = await callerRequests.readBody(incoming, limits.bodyBytes);
    // What a caller sent before it left lies before its leaving: heard first, it would be sent for nobody.
    if (this.#longWaiting.delete(incoming.socket)) await pendingReads.handled();
    this.#unread.delete(answer);
    const { requestId: id } = request.headers;
    if (answer.state === callerAnswers.AnswerState.Ended) {
      log.info("refused-stopping", { id, detail: "before its request was read" });
    } else if (body === undefined || caller.hasLeft || response.destroyed) {
      log.info("caller-left", { id, detail: "before its request was read" });
    } else if (body === "too-large") {
      log.info("body-too-large", { id, limit: limits.bodyBytes });
      this.#turnAway(incoming, answer, PAYLOAD_TOO_LARGE, "the body is over the limit");
    } else {
      const exchange = this.#take(request, body, answer);
      if (exchange === undefined) return;
      caller.exchange = exchange;
      response.once("close", () => this.#taken.delete(exchange));
      exchange.start();
    }
  }

  /** @returns the request's exchange, not yet started, or undefined if it has its answer already */
  #take(
    request: callerRequests.CallerRequest,
    body: Buffer,
    answer: callerAnswers.CallerAnswer,
  ): exchanges.Exchange | undefined {
    const { view, format, log } = this.#context;
    const { requestId: id } = request.headers;
    const table = view.table;
    if (table === undefined) {
      log.info("no-configuration", { id });
      const retry = [format.retryAfterHeader, NOT_CONFIGURED_RETRY_AFTER];
      answer.refuse(UNAVAILABLE, "no configuration is known yet; come back after Retry-After", retry);
      return undefined;
    }
    const route = table.find(request.host, request.path);
    if (route === undefined) {
      log.info("no-route", { id, host: request.host, path: request.path, configuration: view.configurationRevision });
      answer.refuse(NOT_FOUND, "no route leads there; check the host and the path");
      return undefined;
    }
    if (this.#comesTooLate(request, route)) {
      this.#refuseStopping(answer);
      return undefined;
    }
    const taken = new exchanges.Exchange(this.#context, request, route, body, answer);
    this.#taken.add(taken);
    return taken;
  }

  /** One line for each request that comes during a planned stop: whether it is taken, and how long it may last. */
  #comesTooLate(request: callerRequests.CallerRequest, route: serving.Route): boolean {
    if (this.#plannedStop === undefined) return false;
    const { requestId: id, deadlineMs } = request.headers;
    const patienceMs = Math.min(deadlineMs ?? route.timeoutMs, route.timeoutMs);
    const isAccepted = this.#plannedStop.accepts(request.arrivedAt + patienceMs);
    this.#context.log.info(isAccepted ? "taken-while-stopping" : "refused-stopping", {
      id,
      route: route.name,
      patienceMs,
    });
    return !isAccepted;
  }

  #refuseStopping(answer: callerAnswers.CallerAnswer): void {
    const retry = [this.#context.format.retryAfterHeader, STOPPING_RETRY_AFTER];
    answer.refuse(UNAVAILABLE, "this daemon is stopping; come back to another one", retry);
  }

  /** A request that is not read to its end leaves bytes on the connection, which must not be taken for another. */
  #turnAway(incoming: http.IncomingMessage, answer: callerAnswers.CallerAnswer, status: number, detail: string): void {
    answer.refuse(status, detail, ["connection", "close"]);
    incoming.resume();
  }
}
