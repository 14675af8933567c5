import type * as http from "node:http";
import type * as sendings from "./sending.js";

/** Headers that concern one connection only, and those that are set anew here. */
const NOT_PASSED_ON = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "content-length",
  "date",
]);

/** How a caller's request ended. */
export enum AnswerState {
  Open = "open",
  /** The head of a stream has been sent. */
  Streaming = "streaming",
  Ended = "ended",
}

const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/** The answer to one caller; it is ended once. */
export class CallerAnswer {
  readonly #response: http.ServerResponse;
  readonly #closing: () => boolean;
  #state = AnswerState.Open;

  /**
   * @param response - the caller's response
   * @param closing - whether connections are to be closed after their answer
   */
  constructor(response: http.ServerResponse, closing: () => boolean) {
    this.#response = response;
    this.#closing = closing;
  }

  /** @returns how far the answer is */
  get state(): AnswerState {
    return this.#state;
  }

  /**
   * Passes an endpoint's whole answer on.
   *
   * @param status - its status
   * @param headers - its headers
   * @param body - its whole body
   */
  pass(status: number, headers: sendings.AnswerHeaders, body: Buffer): void {
    if (this.#state !== AnswerState.Open) return;
    this.#state = AnswerState.Ended;
    const passed = passedHeaders(headers);
    if (!isFramed(headers)) this.#endByClosing();
    else if (status !== NO_CONTENT && status !== NOT_MODIFIED) passed.push("content-length", String(body.length));
    this.#writeHead(status, passed);
    this.#response.end(body);
  }

  /**
   * @param status - the stream's status
   * @param headers - the stream's headers
   */
  beginStream(status: number, headers: sendings.AnswerHeaders): void {
    if (this.#state !== AnswerState.Open) return;
    this.#state = AnswerState.Streaming;
    if (!isFramed(headers)) this.#endByClosing();
    this.#writeHead(status, passedHeaders(headers));
  }

  /**
   * @param bytes - whole events
   * @returns whether the caller keeps up
   */
  write(bytes: Buffer): boolean {
    return this.#response.write(bytes);
  }

  /** @param resume - called once the caller has read what was written */
  onDrain(resume: () => void): void {
    this.#response.once("drain", resume);
  }

  /** The stream is complete. */
  endStream(): void {
    if (this.#state !== AnswerState.Streaming) return;
    this.#state = AnswerState.Ended;
    this.#response.end();
  }

  /** Breaks the connection, so that half an answer can't be taken for a whole one. */
  breakOff(): void {
    this.#state = AnswerState.Ended;
    this.#response.destroy();
  }

  /**
   * A final answer of the daemon's own.
   *
   * @param status - its status
   * @param detail - what happened and what to do, for people
   * @param headers - names and values by turns
   */
  refuse(status: number, detail: string, headers: readonly string[] = []): void {
    if (this.#state !== AnswerState.Open) return;
    this.#state = AnswerState.Ended;
    const body = Buffer.from(`${detail}\n`);
    this.#writeHead(status, ["content-type", "text/plain", "content-length", String(body.length), ...headers]);
    this.#response.end(body);
  }

  /**
   * An endpoint's answer without a length may have been cut where its connection
   * closed, and nothing shows it. Passed on with a length it would look whole to
   * the caller; passed on in the same framing, the caller knows as much as we do.
   */
  #endByClosing(): void {
    this.#response.useChunkedEncodingByDefault = false;
    this.#response.shouldKeepAlive = false;
  }

  #writeHead(status: number, headers: string[]): void {
    if (this.#closing()) headers.push("connection", "close");
    this.#response.writeHead(status, headers);
  }
}

function passedHeaders(headers: sendings.AnswerHeaders): string[] {
  const passed: string[] = [];
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || NOT_PASSED_ON.has(name)) continue;
    for (const each of Array.isArray(value) ? value : [value]) passed.push(name, each);
  }
  return passed;
}

function isFramed(headers: sendings.AnswerHeaders): boolean {
  return headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
}
