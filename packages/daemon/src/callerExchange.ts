import type * as http from "node:http";
import * as common from "@camphorcourse/common";
import * as core from "@camphorcourse/core";

/** Format of the response to a caller. */
export enum ResponseFormat {
  /** Server-sent events, one for each chunk. */
  Stream = "stream",
  /** One JSON document. */
  Document = "document",
  /** The response of a plain service, passed through. */
  Plain = "plain",
}

/** A caller's request as it is forwarded to an endpoint. */
export interface CallerRequest {
  readonly description: core.RequestDescription;
  readonly format: ResponseFormat;
  readonly method: string;
  /** Path at the endpoint. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** The parsed JSON body of a model request. */
  readonly document?: Readonly<Record<string, unknown>>;
}

const MAX_KEPT_ANSWER_BYTES = 1024 * 1024;
const CALLER_STALL_TIMEOUT_MS = 15_000;
const FIRST_HEARTBEAT_DELAY_MS = 1000;

/** An open request of a caller: writes its response and tracks what has been sent. */
export class CallerExchange {
  readonly request: CallerRequest;
  readonly arrivedAt: number;
  readonly #outgoing: http.ServerResponse;
  readonly #isLeaving: () => boolean;
  readonly #sentChunks: string[] = [];
  readonly #recorded: Buffer[] = [];
  #recordedBytes = 0;
  #blockedSince: number | undefined;
  #lastChunkAt: number | undefined;

  /**
   * @param request - the caller's request
   * @param outgoing - the response to the caller
   * @param arrivedAt - monotonic time in milliseconds
   * @param isLeaving - tells whether the daemon is draining
   */
  constructor(request: CallerRequest, outgoing: http.ServerResponse, arrivedAt: number, isLeaving: () => boolean) {
    this.request = request;
    this.arrivedAt = arrivedAt;
    this.#outgoing = outgoing;
    this.#isLeaving = isLeaving;
  }

  /** @returns the texts of the chunks already sent to the caller; empty unless it streams */
  get sentChunks(): readonly string[] {
    return this.request.format === ResponseFormat.Stream ? this.#sentChunks : [];
  }

  /** @returns whether the response has been ended or its connection has closed */
  get isEnded(): boolean {
    return this.#outgoing.writableEnded || this.#outgoing.destroyed;
  }

  /**
   * Sends a chunk of a model's answer, or collects it for a document.
   *
   * @param eventId - event id from which the caller can resume the stream
   * @param content - text of the chunk
   * @param data - data of the server-sent event
   * @param now - monotonic time in milliseconds
   * @returns milliseconds since the previous chunk, or undefined for the first one
   */
  sendChunk(eventId: string, content: string, data: string, now: number): number | undefined {
    this.#sentChunks.push(content);
    const sincePrevious = this.#lastChunkAt === undefined ? undefined : now - this.#lastChunkAt;
    this.#lastChunkAt = now;
    if (this.request.format === ResponseFormat.Stream) this.#writeStream(`id: ${eventId}\ndata: ${data}\n\n`);
    return sincePrevious;
  }

  /** Begins a new attempt and discards the chunks collected for a document. */
  beginAttempt(): void {
    if (this.request.format === ResponseFormat.Document) this.#sentChunks.length = 0;
  }

  /**
   * Ends the response after a model's answer is complete.
   *
   * @returns the answer to keep for duplicates, or undefined if it exceeds 1 MiB
   */
  completeModelAnswer(): core.KeptAnswer | undefined {
    if (this.request.format === ResponseFormat.Stream) {
      this.#writeStream("data: [DONE]\n\n");
      this.#outgoing.end();
      return this.#recordedStream("text/event-stream");
    }
    const body = Buffer.from(JSON.stringify(this.#completionDocument()));
    return this.completePlain(200, "application/json", body);
  }

  /**
   * Sends a complete response.
   *
   * @param status - HTTP status
   * @param contentType - of the body
   * @param body - the complete body
   * @returns the answer to keep for duplicates, or undefined if it exceeds 1 MiB
   */
  completePlain(status: number, contentType: string, body: Uint8Array): core.KeptAnswer | undefined {
    this.#outgoing.writeHead(status, this.#headers(contentType));
    this.#outgoing.end(body);
    return body.length <= MAX_KEPT_ANSWER_BYTES ? { status, contentType, body } : undefined;
  }

  /**
   * Ends the response with a problem. Does nothing if it has ended already.
   *
   * @param problem - why the request has no result
   */
  sendProblem(problem: common.Problem): void {
    if (this.isEnded) return;
    const body = JSON.stringify(problemDocument(problem, this.request.description.id));
    if (this.#outgoing.headersSent) {
      // The headers have been sent, so the error goes out as an event, without an end marker after it.
      this.#outgoing.end(`event: error\ndata: ${body}\n\n`);
      return;
    }
    this.#outgoing.writeHead(problem.status, {
      ...this.#headers("application/problem+json"),
      ...problemHeaders(problem),
    });
    this.#outgoing.end(body);
  }

  /**
   * Sends a heartbeat to a streaming caller, and closes the connection of a
   * caller that has stopped reading.
   *
   * @param now - monotonic time in milliseconds
   * @returns false if the connection was closed because its buffer had not drained for 15 s
   */
  keepAlive(now: number): boolean {
    if (this.isEnded) return true;
    const blocked = this.#outgoing.writableLength > 0;
    this.#blockedSince = blocked ? (this.#blockedSince ?? now) : undefined;
    if (this.#blockedSince !== undefined && now - this.#blockedSince > CALLER_STALL_TIMEOUT_MS) {
      this.#outgoing.destroy();
      return false;
    }
    const heartbeatDue = now - this.arrivedAt > FIRST_HEARTBEAT_DELAY_MS;
    if (this.request.format === ResponseFormat.Stream && heartbeatDue && !blocked)
      this.#writeStream(": heartbeat\n\n", false);
    return true;
  }

  #writeStream(text: string, record = true): void {
    if (this.isEnded) return;
    if (!this.#outgoing.headersSent) this.#outgoing.writeHead(200, this.#headers("text/event-stream"));
    this.#outgoing.write(text);
    if (!record || this.request.description.key === undefined) return;
    this.#recordedBytes += text.length;
    if (this.#recordedBytes <= MAX_KEPT_ANSWER_BYTES) this.#recorded.push(Buffer.from(text));
  }

  #recordedStream(contentType: string): core.KeptAnswer | undefined {
    if (this.#recordedBytes > MAX_KEPT_ANSWER_BYTES) return undefined;
    return { status: 200, contentType, body: Buffer.concat(this.#recorded) };
  }

  #headers(contentType: string): Record<string, string> {
    const headers = { "content-type": contentType, "x-request-id": this.request.description.id };
    return this.#isLeaving() ? { ...headers, connection: "close" } : headers;
  }

  #completionDocument(): object {
    const { description, path, document } = this.request;
    const content = this.#sentChunks.join("");
    const chat = path.endsWith("/chat/completions");
    const choice = chat ? { message: { role: "assistant", content } } : { text: content };
    return {
      id: description.id,
      object: chat ? "chat.completion" : "text_completion",
      model: document?.model,
      choices: [{ index: 0, ...choice, finish_reason: "stop" }],
      usage: { prompt_tokens: description.promptTokens, completion_tokens: this.#sentChunks.length },
    };
  }
}

/**
 * Converts a problem to the JSON document of an error response.
 *
 * @param problem - the problem
 * @param requestId - id of the failed request
 * @returns the problem document (RFC 9457)
 */
export function problemDocument(problem: common.Problem, requestId?: string): object {
  return {
    type: `urn:camphorcourse:problem:${problem.kind}`,
    title: problem.kind,
    status: problem.status,
    detail: problem.detail,
    remedy: problem.remedy,
    outcome: problem.outcome,
    ...(problem.retryAfterMs === undefined ? {} : { retry_after_ms: problem.retryAfterMs }),
    ...(requestId === undefined ? {} : { request: requestId }),
  };
}

/**
 * Lists the headers of an error response.
 *
 * @param problem - the problem
 * @returns the headers `x-outcome` and, if the caller may retry, `retry-after` in seconds
 */
export function problemHeaders(problem: common.Problem): Record<string, string> {
  const headers = { "x-outcome": problem.outcome };
  if (problem.retryAfterMs === undefined) return headers;
  return { ...headers, "retry-after": String(Math.max(1, Math.ceil(problem.retryAfterMs / 1000))) };
}
