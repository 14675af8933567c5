import * as http from "node:http";
import * as net from "node:net";
import type * as stream from "node:stream";
import * as httpServers from "@camphorcourse/common/http";
import type * as common from "@camphorcourse/common";
import * as serving from "@camphorcourse/serving";
import * as acceptDelayEstimators from "./acceptDelayEstimator.js";
import * as callerAnswers from "./callerAnswer.js";
import * as callerRequests from "./callerRequest.js";
import * as accessGates from "./callers/accessGate.js";
import type * as contexts from "./context.js";
import * as exchanges from "./exchange.js";
import * as pendingReads from "./pendingReads.js";
import type * as settingsModule from "./settings.js";
import * as firstSightings from "./statements/firstSightings.js";

/** Error code of the HTTP parser for a head that exceeds its limit. */
const HEADERS_TOO_LARGE_CODE = "HPE_HEADER_OVERFLOW";

/** Limits that apply until a configuration is available. */
const DEFAULT_LIMITS = { headerBytes: 16_384, bodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 };

/** Possible wait for acceptance, in milliseconds, from which a connection's caller may have disconnected meanwhile. */
const LONG_ACCEPT_DELAY_MS = 100;

/** Time for the body of a request that matches no route, in milliseconds; longer than any ordinary upload takes. */
const UNROUTED_BODY_TIMEOUT_MS = 30_000;

/** Interval at which the server checks for requests whose headers are overdue, in milliseconds. */
const HEADER_CHECK_INTERVAL_MS = 500;

const MS_PER_SECOND = 1_000;

/** Retry-After value while no configuration is available, in seconds. */
const NOT_CONFIGURED_RETRY_AFTER = "0.400";

/** Retry-After value of a stopping daemon, in seconds; the caller retries on another daemon. */
const STOPPING_RETRY_AFTER = "0.050";

/** Retry-After value while too many requests are open, in seconds. */
const TOO_MANY_REQUESTS_RETRY_AFTER = "1.000";

/** Outcome in the log of a request that was open when the process ended. */
const ENDED_BY_STOP = "cut-by-stop";

/** Error code of Node's HTTP server for headers that were not received in time. */
const HEADERS_TIMEOUT_CODE = "ERR_HTTP_REQUEST_TIMEOUT";

/**
 * Closes the connection of a request that was not read completely: the unread bytes must not be taken for another request.
 */
const CLOSE_HEADERS: readonly string[] = ["connection", "close"];

/** State of a caller while its request is read and served. */
interface CallerState {
  exchange: exchanges.Exchange | undefined;
  hasDisconnected: boolean;
}

/** HTTP server that accepts the connections and requests of callers. */
export class CallerListener implements serving.StoppableListener {
  readonly #context: contexts.ServingContext;
  readonly #accessGate: accessGates.AccessGate;
  readonly #server: http.Server;
  readonly #guard: httpServers.ConnectionGuard;
  /** Accepted requests that have no final answer yet. */
  readonly #unanswered = new Set<exchanges.Exchange>();
  /** Answers to requests whose body is still being read. */
  readonly #readingBody = new Set<callerAnswers.CallerAnswer>();
  readonly #connections = new Set<stream.Duplex>();
  readonly #acceptDelay = new acceptDelayEstimators.AcceptDelayEstimator();
  /** Connections that may have waited long for acceptance and have not delivered a request yet. */
  readonly #acceptedLate = new WeakSet<stream.Duplex>();
  /** Instant of the last request of each connection, in milliseconds. */
  readonly #readAt = new WeakMap<stream.Duplex, number>();
  /** Number of accepted requests of a connection that have no complete answer. */
  readonly #unansweredBySocket = new WeakMap<stream.Duplex, number>();
  /** Connections that are closed once their requests are answered. */
  readonly #closing = new WeakSet<stream.Duplex>();
  readonly #unlistedHeaders = new firstSightings.FirstSightings();
  #shutdown: serving.GracefulShutdown | undefined;
  #doorClosed = false;
  #openRequests = 0;
  #lastRequestAt = 0;

  /**
   * @param context - dependencies shared by all requests
   * @param bounds - bounds of the callers' connections and requests
   */
  constructor(context: contexts.ServingContext, bounds: common.ConnectionBounds) {
    this.#context = context;
    this.#guard = new httpServers.ConnectionGuard({ bounds, close: (socket) => this.#closeForOthers(socket) });
    this.#accessGate = new accessGates.AccessGate(context);
    this.#server = http.createServer({
      maxHeaderSize: DEFAULT_LIMITS.headerBytes,
      connectionsCheckingInterval: HEADER_CHECK_INTERVAL_MS,
      requestTimeout: 0,
      headersTimeout: DEFAULT_LIMITS.headerTimeoutMs,
      keepAliveTimeout: DEFAULT_LIMITS.idleTimeoutMs,
      noDelay: true,
      insecureHTTPParser: false,
      joinDuplicateHeaders: false,
    });
    httpServers.limitHeaderLines(this.#server);
    this.#guard.attach(this.#server);
    this.#server.on("connection", (socket: stream.Duplex) => {
      this.#connections.add(socket);
      if (socket instanceof net.Socket) this.#context.memory.noteConnection(socket);
      if (this.#acceptDelay.noteAccepted(performance.now()) >= LONG_ACCEPT_DELAY_MS) this.#acceptedLate.add(socket);
      socket.once("close", () => this.#connections.delete(socket));
    });
    this.#server.on("request", (incoming, response) => void this.#onRequest(incoming, response));
    this.#server.on("checkContinue", (incoming, response) => void this.#onRequest(incoming, response, true));
    this.#server.on("checkExpectation", (_incoming, response) => this.#refuseExpectation(response));
    this.#server.on("clientError", (error: NodeJS.ErrnoException, socket) => this.#onClientError(error, socket));
  }

  /** @returns number of requests that have no final answer yet */
  get openRequests(): number {
    return this.#openRequests;
  }

  /** @returns bytes of answers that are buffered here because the callers' connections have not accepted them yet */
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

  /** Applies the timeouts of the configuration in force to the server. */
  applyLimits(): void {
    const limits = this.#context.view.table?.configuration.limits;
    if (limits === undefined) return;
    // The parser reads it for each new connection; its type doesn't list it.
    Object.assign(this.#server, { maxHeaderSize: limits.headerBytes });
    this.#server.headersTimeout = limits.headerTimeoutMs;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  /**
   * Begins a graceful shutdown: from now on each connection is closed after its answer, and a request that cannot end
   * in time is rejected as not run.
   *
   * @param shutdown - decides which requests are still accepted
   */
  beginShutdown(shutdown: serving.GracefulShutdown): void {
    this.#shutdown = shutdown;
  }

  /** @returns whether new connections are no longer accepted */
  get hasStoppedAccepting(): boolean {
    return this.#doorClosed;
  }

  /** Stops accepting new connections. */
  stopAccepting(): void {
    if (this.#doorClosed) return;
    this.#doorClosed = true;
    this.#context.log.info("refusing", { open: this.#openRequests });
    // http.Server.close() would also break connections whose last answer is still being sent to a slow reader.
    net.Server.prototype.close.call(this.#server);
  }

  /**
   * Rejects each request that has not been sent to an endpoint, as there is no time left to run it; it is not sent any
   * more. Requests whose body is still being read are rejected too: otherwise their connection would break without an
   * answer when the process ends.
   */
  endUnsentRequests(): void {
    for (const answer of this.#readingBody) this.#refuseStopping(answer);
    for (const exchange of [...this.#unanswered]) exchange.endUnsent(ENDED_BY_STOP);
  }

  /**
   * Gives each request whose answer has not begun its final answer, as there is no time left for an answer to begin.
   */
  endUnstartedResponses(): void {
    for (const exchange of [...this.#unanswered]) if (!exchange.answerHasBegun) exchange.endNow(ENDED_BY_STOP);
  }

  /** Gives each open request its final answer before the process ends, so that its connection does not just break. */
  endOpen(): void {
    this.#context.memory.bodies.unread.endAll();
    for (const exchange of [...this.#unanswered]) exchange.endNow(ENDED_BY_STOP);
  }

  /** Stops accepting connections and closes the idle ones. */
  close(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  /**
   * Handles bytes that are not a valid request, and headers that arrive too slowly. After a pause of the process, Node
   * checks for overdue headers before it reads the sockets, so a request that is already there would be rejected as
   * faulty. The pending reads are therefore handled first; only what is still overdue then gets status 408, which
   * allows the caller to retry.
   */
  #onClientError(error: NodeJS.ErrnoException, socket: stream.Duplex): void {
    if (error.code !== HEADERS_TIMEOUT_CODE) {
      const isTooLarge = error.code === HEADERS_TOO_LARGE_CODE;
      const status = isTooLarge ? serving.FailureStatus.HeadersTooLarge : serving.FailureStatus.BadRequest;
      this.#closeConnection(socket, status, error);
      return;
    }
    const readAt = this.#readAt.get(socket);
    setImmediate(() => {
      if (this.#readAt.get(socket) === readAt)
        this.#closeConnection(socket, serving.RejectionStatus.RequestTimeout, error);
    });
  }

  #closeConnection(
    socket: stream.Duplex,
    status: serving.FailureStatus | serving.RejectionStatus.RequestTimeout,
    error: NodeJS.ErrnoException,
  ): void {
    this.#context.log.info("bad-request", { detail: error.code ?? error.message, status });
    if ((this.#unansweredBySocket.get(socket) ?? 0) > 0) {
      // The caller would take this answer for that to its earlier request, which may be running.
      this.#closing.add(socket);
      return;
    }
    const head = `HTTP/1.1 ${status} ${http.STATUS_CODES[status] ?? ""}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`;
    if (socket.writable) socket.end(head);
    else socket.destroy();
  }

  #countUnanswered(socket: net.Socket, change: 1 | -1): void {
    const unanswered = (this.#unansweredBySocket.get(socket) ?? 0) + change;
    this.#unansweredBySocket.set(socket, unanswered);
    if (unanswered === 0 && this.#closing.has(socket)) socket.end();
  }

  #answerTo(response: http.ServerResponse, awaitsContinue = false): callerAnswers.CallerAnswer {
    const unread = awaitsContinue ? undefined : this.#context.memory.bodies.unread;
    return new callerAnswers.CallerAnswer(response, () => this.#shutdown !== undefined, unread);
  }

  #refuseExpectation(response: http.ServerResponse): void {
    const detail = "the only expectation that is met is 100-continue";
    this.#answerTo(response).refuse(serving.FailureStatus.ExpectationFailed, detail, CLOSE_HEADERS);
  }

  async #onRequest(
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
    awaitsContinue = false,
  ): Promise<void> {
    const { configuration, view, format, log } = this.#context;
    const guarded = this.#guard.begin(response);
    if (guarded === undefined) return;
    const now = performance.now();
    this.#lastRequestAt = now;
    this.#readAt.set(incoming.socket, now);
    this.#openRequests++;
    response.once("close", () => {
      this.#openRequests--;
    });
    const answer = this.#answerTo(response, awaitsContinue);
    if (guarded.isRejected) {
      this.#rejectBeyondBounds(answer, "too-many-requests");
      return;
    }
    const limits = view.table?.configuration.limits ?? DEFAULT_LIMITS;
    const read = callerRequests.readCallerRequest(
      incoming,
      format,
      { bytes: limits.headerBytes, lines: httpServers.MAX_HEADER_LINES },
      now,
    );
    if (read.isErr()) {
      log.info("bad-request", { detail: read.error.detail, status: read.error.status });
      answer.refuse(read.error.status, read.error.detail, CLOSE_HEADERS);
      return;
    }
    const request = read.value;
    this.#noteUnlisted(request);
    const caller: CallerState = { exchange: undefined, hasDisconnected: false };
    const onDisconnect = (): void => {
      caller.hasDisconnected = true;
      caller.exchange?.onCallerDisconnected();
    };
    // The socket's "end" event is emitted before the response closes, and before a later request is sent to an
    // endpoint.
    incoming.socket.once("end", onDisconnect);
    response.once("close", () => {
      incoming.socket.off("end", onDisconnect);
      if (!response.writableFinished) onDisconnect();
    });
    this.#readingBody.add(answer);
    const reader = this.#startReading(request, incoming, response, limits.bodyBytes);
    if (awaitsContinue && reader.isReading) response.writeContinue();
    const body = await reader.result;
    // A caller's request is read before its disconnect. Without waiting for the pending reads, a request whose caller
    // disconnected while the connection waited for acceptance would still be sent to an endpoint.
    if (this.#acceptedLate.delete(incoming.socket)) await pendingReads.handled();
    if (configuration.mustConfirm(request)) await configuration.confirm();
    this.#readingBody.delete(answer);
    const { requestId: id } = request.headers;
    if (answer.state === callerAnswers.AnswerState.Ended) {
      log.info("refused-stopping", { id, detail: "before its request was read" });
    } else if (caller.hasDisconnected || response.destroyed) {
      log.info("caller-left", { id, detail: "before its request was read" });
    } else if (body.isErr()) {
      this.#refuseUnread(request, answer, body.error, reader.requiredBytes);
    } else {
      const exchange = this.#accept(request, body.value, answer);
      if (exchange === undefined) return;
      caller.exchange = exchange;
      guarded.noteRunning();
      this.#countUnanswered(incoming.socket, 1);
      response.once("close", () => {
        this.#unanswered.delete(exchange);
        this.#countUnanswered(incoming.socket, -1);
      });
      exchange.start();
    }
  }

  /** Begins to read the body of a request, which is held until the response closes. */
  #startReading(
    request: callerRequests.CallerRequest,
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
    maxBytes: number,
  ): httpServers.BodyReader {
    const { memory } = this.#context;
    const { socket } = incoming;
    let heldBytes = 0;
    const onHeld = (bytes: number): void => {
      heldBytes += bytes;
      memory.addRequest(socket, bytes);
    };
    const deadlineAt = (): number => request.arrivedAt + this.#bodyTimeoutMs(request);
    memory.noteRequest(socket, request.headers.requestId);
    const reader = memory.bodies.read(incoming, { maxBytes, deadlineAt, onHeld });
    response.once("close", () => {
      reader.release();
      memory.addRequest(socket, -heldBytes);
      memory.addAnswer(socket, Number.NEGATIVE_INFINITY);
    });
    return reader;
  }

  /** A request whose body comes after the time that it had can't be served. */
  #bodyTimeoutMs({ headers, host, path }: callerRequests.CallerRequest): number {
    const routeTimeoutMs = this.#context.view.table?.find(host, path)?.timeoutMs ?? UNROUTED_BODY_TIMEOUT_MS;
    return Math.min(headers.deadlineMs ?? routeTimeoutMs, routeTimeoutMs);
  }

  /** Refuses a request whose body was not read to its end. */
  #refuseUnread(
    { headers }: callerRequests.CallerRequest,
    answer: callerAnswers.CallerAnswer,
    fault: httpServers.BodyFault,
    requiredBytes: number,
  ): void {
    const { format, log, memory, metrics } = this.#context;
    const { requestId: id } = headers;
    if (fault === httpServers.BodyFault.Disconnected) {
      log.info("caller-left", { id, detail: "before its request was read" });
    } else if (fault === httpServers.BodyFault.TooLarge) {
      log.info("body-too-large", { id, requiredBytes });
      answer.refuse(serving.FailureStatus.PayloadTooLarge, "the request body exceeds the size limit", CLOSE_HEADERS);
    } else if (fault === httpServers.BodyFault.TooLate) {
      metrics.count("bodies_overdue");
      log.info("body-overdue", { id, requiredBytes });
      const detail = "the request body did not arrive within the request's time";
      answer.reject(serving.NotRunProof.ofUnaccepted(), serving.RejectionStatus.RequestTimeout, detail, CLOSE_HEADERS);
    } else {
      metrics.count("bodies_rejected_for_memory");
      const retryAfterMs = memory.bodies.retryAfterMs(requiredBytes);
      log.warn("no-memory", { id, requiredBytes, heldBytes: memory.heldBytes, retryAfterMs: Math.round(retryAfterMs) });
      const retry = [format.retryAfterHeader, (retryAfterMs / MS_PER_SECOND).toFixed(3)];
      rejectUnaccepted(answer, "no memory is left for the body; retry after Retry-After", [...CLOSE_HEADERS, ...retry]);
    }
  }

  /** Shows operators what callers say and nobody reads, before it matters that nobody does. */
  #noteUnlisted({ headers }: callerRequests.CallerRequest): void {
    for (const name of headers.unlistedHeaders) {
      if (!this.#unlistedHeaders.isFirst(name)) continue;
      this.#context.metrics.count("caller_headers_unlisted");
      this.#context.log.warn("caller-header-unlisted", { id: headers.requestId, header: name });
    }
  }

  /** @returns the exchange of the request, not yet started, or undefined if the request was refused */
  #accept(
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
      rejectUnaccepted(answer, "no configuration is available yet; retry after Retry-After", retry);
      return undefined;
    }
    const route = table.find(request.host, request.path);
    if (route === undefined) {
      this.#refuseWithoutRoute(request, answer);
      return undefined;
    }
    const access = this.#accessGate.admit(request, route, table, answer);
    if (access === undefined) return undefined;
    if (this.#isRefusedByShutdown(request, route)) {
      this.#refuseStopping(answer);
      return undefined;
    }
    const exchange = new exchanges.Exchange(this.#context, request, route, body, answer, access);
    this.#unanswered.add(exchange);
    return exchange;
  }

  /** A newer configuration may have the route, as long as the one in force is not known to be the newest. */
  #refuseWithoutRoute({ headers, host, path }: callerRequests.CallerRequest, answer: callerAnswers.CallerAnswer): void {
    const { configuration, format, log, view } = this.#context;
    const { ageMs, isCurrent } = configuration;
    log.info("no-route", {
      id: headers.requestId,
      host,
      path,
      configuration: view.configurationRevision,
      ageMs: Math.round(ageMs),
      isCurrent,
    });
    if (isCurrent) {
      answer.refuse(serving.FailureStatus.NotFound, "no route matches this host and path; check both");
      return;
    }
    const retry = [format.retryAfterHeader, accessGates.OUTDATED_RETRY_AFTER];
    rejectUnaccepted(answer, "no route is known, and a newer configuration may exist; retry after Retry-After", retry);
  }

  /**
   * Decides whether a request that arrives during a graceful shutdown is refused, and logs the decision with its time
   * limit.
   */
  #isRefusedByShutdown(request: callerRequests.CallerRequest, route: serving.Route): boolean {
    if (this.#shutdown === undefined) return false;
    const { requestId: id, deadlineMs } = request.headers;
    const patienceMs = Math.min(deadlineMs ?? route.timeoutMs, route.timeoutMs);
    const isAccepted = this.#shutdown.accepts(request.arrivedAt + patienceMs);
    this.#context.log.info(isAccepted ? "taken-while-stopping" : "refused-stopping", {
      id,
      route: route.name,
      patienceMs,
    });
    return !isAccepted;
  }

  /** Rejects a request that has no place beside the others. */
  #rejectBeyondBounds(answer: callerAnswers.CallerAnswer, reason: string): void {
    this.#context.metrics.count("requests_rejected_beyond_bounds");
    this.#context.log.warn("beyond-bounds", { reason, connections: this.#guard.connections });
    const retry = [this.#context.format.retryAfterHeader, TOO_MANY_REQUESTS_RETRY_AFTER];
    rejectUnaccepted(answer, "too many requests are open here; retry after Retry-After", [...CLOSE_HEADERS, ...retry]);
  }

  /** Closes a connection for others, and rejects its request if that is still being read. */
  #closeForOthers(socket: net.Socket): void {
    this.#context.metrics.count("connections_closed_for_others");
    this.#context.log.info("connection-closed-for-others", { from: socket.remoteAddress });
    const answers = [...this.#readingBody].filter(({ connection }) => connection === socket);
    for (const answer of answers) this.#rejectBeyondBounds(answer, "too-many-connections");
    // A client that doesn't read would keep its connection for as long as it likes.
    if (answers.length > 0 && socket.writableLength === 0) socket.destroySoon();
    else socket.destroy();
  }

  #refuseStopping(answer: callerAnswers.CallerAnswer): void {
    const retry = [this.#context.format.retryAfterHeader, STOPPING_RETRY_AFTER];
    rejectUnaccepted(answer, "this daemon is stopping; retry on another one", retry);
  }
}

/** Rejects a request that was not accepted, so that nothing of it was sent anywhere. */
function rejectUnaccepted(answer: callerAnswers.CallerAnswer, detail: string, headers: readonly string[]): void {
  const proof = serving.NotRunProof.ofUnaccepted();
  answer.reject(proof, serving.RejectionStatus.Unavailable, detail, headers);
}
