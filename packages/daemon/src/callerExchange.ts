import type * as http from "node:http";
import * as common from "@camphorcourse/common";
import * as core from "@camphorcourse/core";

/** How the caller wants its answer. */
export enum AnswerForm {
  /** Server-sent events, piece by piece. */
  Stream = "stream",
  /** One JSON document. */
  Document = "document",
  /** Whatever the plain service answers. */
  Plain = "plain",
}

/** What a caller sent, as far as it is passed on. */
export interface CallerRequest {
  readonly description: core.RequestDescription;
  readonly form: AnswerForm;
  readonly method: string;
  /** Path at the endpoint. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** The parsed body of a model request. */
  readonly document?: Readonly<Record<string, unknown>>;
}

const KEPT_ANSWER_LIMIT = 1024 * 1024;
const CALLER_SILENCE_MS = 15_000;
const HEAD_DELAY_MS = 1000;

/** One caller that waits for its answer, and what it has been sent so far. */
export class CallerExchange {
  readonly request: CallerRequest;
  readonly arrivedAt: number;
  readonly #outgoing: http.ServerResponse;
  readonly #leaving: () => boolean;
  readonly #sent: string[] = [];
  readonly #kept: Buffer[] = [];
  #keptBytes = 0;
  #stuckSince: number | undefined;
  #lastPieceAt: number | undefined;

  /**
   * @param request - what the caller sent
   * @param outgoing - the response
   * @param arrivedAt - monotonic time
   * @param leaving - whether the daemon is leaving
   */
  constructor(request: CallerRequest, outgoing: http.ServerResponse, arrivedAt: number, leaving: () => boolean) {
    this.request = request;
    this.arrivedAt = arrivedAt;
    this.#outgoing = outgoing;
    this.#leaving = leaving;
  }

  /** @returns the pieces that the caller has */
  get sentPieces(): readonly string[] {
    return this.request.form === AnswerForm.Stream ? this.#sent : [];
  }

  /** @returns whether the final byte has been written */
  get isEnded(): boolean {
    return this.#outgoing.writableEnded || this.#outgoing.destroyed;
  }

  /**
   * @param eventId - by which the caller can take the stream up again
   * @param content - text of the piece
   * @param data - the event's data
   * @param now - monotonic time
   * @returns milliseconds since the piece before, if there was one
   */
  sendPiece(eventId: string, content: string, data: string, now: number): number | undefined {
    this.#sent.push(content);
    const since = this.#lastPieceAt === undefined ? undefined : now - this.#lastPieceAt;
    this.#lastPieceAt = now;
    if (this.request.form === AnswerForm.Stream) this.#writeStream(`id: ${eventId}\ndata: ${data}\n\n`);
    return since;
  }

  /** A new attempt begins: what was gathered of a document is dropped. */
  restart(): void {
    if (this.request.form === AnswerForm.Document) this.#sent.length = 0;
  }

  /**
   * The answer of a model is whole.
   *
   * @returns the answer as it was kept, if it is small enough
   */
  completeModelAnswer(): core.KeptAnswer | undefined {
    if (this.request.form === AnswerForm.Stream) {
      this.#writeStream("data: [DONE]\n\n");
      this.#outgoing.end();
      return this.#keptAnswer("text/event-stream");
    }
    const body = Buffer.from(JSON.stringify(this.#document()));
    return this.completePlain(200, "application/json", body);
  }

  /**
   * @param status - of the answer
   * @param contentType - of the answer
   * @param body - the whole answer
   * @returns the answer as it was kept, if it is small enough
   */
  completePlain(status: number, contentType: string, body: Uint8Array): core.KeptAnswer | undefined {
    this.#outgoing.writeHead(status, this.#headers(contentType));
    this.#outgoing.end(body);
    return body.length <= KEPT_ANSWER_LIMIT ? { status, contentType, body } : undefined;
  }

  /**
   * @param problem - the final answer of a request that got no result
   */
  refuse(problem: common.Problem): void {
    if (this.isEnded) return;
    const body = JSON.stringify(problemDocument(problem, this.request.description.id));
    if (this.#outgoing.headersSent) {
      // The head of the stream has gone out: the error comes as an event, and no end marker follows.
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
   * Keeps the connection from looking dead, and finds out whether it is.
   *
   * @param now - monotonic time
   * @returns false if the caller has taken nothing in for too long
   */
  keepAlive(now: number): boolean {
    if (this.isEnded) return true;
    const stuck = this.#outgoing.writableLength > 0;
    this.#stuckSince = stuck ? (this.#stuckSince ?? now) : undefined;
    if (this.#stuckSince !== undefined && now - this.#stuckSince > CALLER_SILENCE_MS) {
      this.#outgoing.destroy();
      return false;
    }
    const waitedLong = now - this.arrivedAt > HEAD_DELAY_MS;
    if (this.request.form === AnswerForm.Stream && waitedLong && !stuck) this.#writeStream(": heartbeat\n\n", false);
    return true;
  }

  #writeStream(text: string, keep = true): void {
    if (this.isEnded) return;
    if (!this.#outgoing.headersSent) this.#outgoing.writeHead(200, this.#headers("text/event-stream"));
    this.#outgoing.write(text);
    if (!keep || this.request.description.key === undefined) return;
    this.#keptBytes += text.length;
    if (this.#keptBytes <= KEPT_ANSWER_LIMIT) this.#kept.push(Buffer.from(text));
  }

  #keptAnswer(contentType: string): core.KeptAnswer | undefined {
    if (this.#keptBytes > KEPT_ANSWER_LIMIT) return undefined;
    return { status: 200, contentType, body: Buffer.concat(this.#kept) };
  }

  #headers(contentType: string): Record<string, string> {
    const headers = { "content-type": contentType, "x-request-id": this.request.description.id };
    return this.#leaving() ? { ...headers, connection: "close" } : headers;
  }

  #document(): object {
    const { description, path, document } = this.request;
    const content = this.#sent.join("");
    const chat = path.endsWith("/chat/completions");
    const choice = chat ? { message: { role: "assistant", content } } : { text: content };
    return {
      id: description.id,
      object: chat ? "chat.completion" : "text_completion",
      model: document?.model,
      choices: [{ index: 0, ...choice, finish_reason: "stop" }],
      usage: { prompt_tokens: description.promptTokens, completion_tokens: this.#sent.length },
    };
  }
}

/**
 * @param problem - a typed error
 * @param requestId - of the request it ended
 * @returns the document that tells a caller (RFC 9457)
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
 * @param problem - a typed error
 * @returns the headers that go with it
 */
export function problemHeaders(problem: common.Problem): Record<string, string> {
  const headers = { "x-outcome": problem.outcome };
  if (problem.retryAfterMs === undefined) return headers;
  return { ...headers, "retry-after": String(Math.max(1, Math.ceil(problem.retryAfterMs / 1000))) };
}
