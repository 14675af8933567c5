import * as http from "node:http";
import type * as serving from "@camphorcourse/serving";
import * as callerAnswers from "./callerAnswer.js";
import * as callerRequests from "./callerRequest.js";
import type * as contexts from "./context.js";
import * as exchanges from "./exchange.js";
import type * as settingsModule from "./settings.js";

/** Head size that the parser takes, in bytes; the configuration's own limit is checked after it. */
const PARSER_HEADER_BYTES = 131_072;

/** Limits until a configuration is known. */
const FIRST_LIMITS = { headerBytes: 16_384, bodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 };

/** Interval at which slow heads are looked for, in milliseconds. */
const HEAD_CHECK_MS = 500;

/** Time after which a caller may come back while no configuration is known, in seconds. */
const NOT_CONFIGURED_RETRY_AFTER = "0.400";

/** Time after which a caller may try another daemon, in seconds. */
const STOPPING_RETRY_AFTER = "0.050";

const NOT_FOUND = 404;
const PAYLOAD_TOO_LARGE = 413;
const UNAVAILABLE = 503;

/** Takes callers' connections and requests. */
export class CallerListener {
  readonly #context: contexts.ServingContext;
  readonly #server: http.Server;
  #closing = false;
  #refusing = false;
  /** Requests that were taken and have no final answer yet. */
  readonly #taken = new Set<callerRequests.CallerRequest>();
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
    this.#server.on("request", (incoming, response) => void this.#onRequest(incoming, response));
    this.#server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
      context.log.info("bad-request", { detail: error.code ?? error.message });
      if (socket.writable) socket.end("HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
      else socket.destroy();
    });
  }

  /** @returns requests that have no final answer yet */
  get openRequests(): number {
    return this.#open;
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

  /** From now on, each connection is closed after the answer that is under way on it. */
  closeAfterAnswers(): void {
    this.#closing = true;
  }

  /** From now on, no connection is taken, and each request that still comes is told that it has not run. */
  refuseNew(): void {
    if (this.#refusing) return;
    this.#refusing = true;
    this.#context.log.info("refusing", { open: this.#open });
    this.close();
  }

  /** The process ends: what is still open is cut, and the log tells which requests these are. */
  logCut(): void {
    const now = performance.now();
    for (const { headers, arrivedAt } of this.#taken) {
      this.#context.log.warn("cut-by-stop", { id: headers.requestId, tookMs: Math.round(now - arrivedAt) });
    }
  }

  /** Takes no new connections, and closes those that are idle. */
  close(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  async #onRequest(incoming: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const { view, format, log } = this.#context;
    const now = performance.now();
    this.#lastRequestAt = now;
    this.#open++;
    response.once("close", () => {
      this.#open--;
    });
    const answer = new callerAnswers.CallerAnswer(response, () => this.#closing);
    const limits = view.table?.configuration.limits ?? FIRST_LIMITS;
    const read = callerRequests.readCallerRequest(incoming, format, limits.headerBytes, now);
    if (read.isErr()) {
      log.info("bad-request", { detail: read.error.detail, status: read.error.status });
      this.#turnAway(incoming, answer, read.error.status, read.error.detail);
      return;
    }
    const request = read.value;
    const exchange = { current: undefined as exchanges.Exchange | undefined };
    response.once("close", () => {
      if (!response.writableFinished) exchange.current?.callerLeft();
    });
    const body = await callerRequests.readBody(incoming, limits.bodyBytes);
    if (body === undefined) {
      log.info("caller-left", { id: request.headers.requestId, detail: "before its request was read" });
      return;
    }
    if (body === "too-large") {
      log.info("body-too-large", { id: request.headers.requestId, limit: limits.bodyBytes });
      this.#turnAway(incoming, answer, PAYLOAD_TOO_LARGE, "the body is over the limit");
      return;
    }
    if (response.destroyed) return;
    if (this.#refusing) {
      log.info("refused-stopping", { id: request.headers.requestId });
      const retry = [format.retryAfterHeader, STOPPING_RETRY_AFTER];
      answer.refuse(UNAVAILABLE, "this daemon is stopping; come back to another one", retry);
      return;
    }
    const table = view.table;
    if (table === undefined) {
      log.info("no-configuration", { id: request.headers.requestId });
      const retry = [format.retryAfterHeader, NOT_CONFIGURED_RETRY_AFTER];
      answer.refuse(UNAVAILABLE, "no configuration is known yet; come back after Retry-After", retry);
      return;
    }
    const route = table.find(request.host, request.path);
    if (route === undefined) {
      const { requestId: id } = request.headers;
      log.info("no-route", { id, host: request.host, path: request.path, configuration: view.configurationRevision });
      answer.refuse(NOT_FOUND, "no route leads there; check the host and the path");
      return;
    }
    this.#take(request, route, response);
    exchange.current = new exchanges.Exchange(this.#context, request, route, body, answer);
    exchange.current.start();
  }

  #take(request: callerRequests.CallerRequest, route: serving.Route, response: http.ServerResponse): void {
    this.#taken.add(request);
    response.once("close", () => this.#taken.delete(request));
    if (!this.#closing) return;
    const { requestId: id, deadlineMs } = request.headers;
    const patienceMs = Math.min(deadlineMs ?? route.timeoutMs, route.timeoutMs);
    this.#context.log.info("taken-while-stopping", { id, route: route.name, patienceMs });
  }

  /** A request that is not read to its end leaves bytes on the connection, which must not be taken for another. */
  #turnAway(incoming: http.IncomingMessage, answer: callerAnswers.CallerAnswer, status: number, detail: string): void {
    answer.refuse(status, detail, ["connection", "close"]);
    incoming.resume();
  }
}
