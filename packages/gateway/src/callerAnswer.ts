import type * as http from "node:http";
import * as net from "node:net";
import type * as httpServers from "@camphorcourse/common/http";
import type * as serving from "@camphorcourse/serving";
import * as sendings from "./sending.js";

/** Headers that are not forwarded: the hop-by-hop ones, and those that are set anew here. */
const UNFORWARDED_HEADERS = new Set([
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

/** Progress of the answer to a caller. */
export enum AnswerState {
  /** Nothing has been sent. */
  Open = "open",
  /** Status and headers of a stream have been sent. */
  Streaming = "streaming",
  Ended = "ended",
}

const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/** The answer to one caller; it is ended once. */
export class CallerAnswer {
  readonly #response: http.ServerResponse;
  readonly #unread: httpServers.UnreadBodies | undefined;
  readonly #closesConnection: () => boolean;
  #state = AnswerState.Open;

  /**
   * @param response - the HTTP response to the caller
   * @param closesConnection - whether the connection is to be closed after the answer
   * @param unread - reads on what the caller still sends after an error answer; undefined if it sends nothing
   */
  constructor(response: http.ServerResponse, closesConnection: () => boolean, unread?: httpServers.UnreadBodies) {
    this.#response = response;
    this.#unread = unread;
    this.#closesConnection = closesConnection;
  }

  /** @returns progress of the answer */
  get state(): AnswerState {
    return this.#state;
  }

  /** @returns the caller's connection; null once it is closed */
  get connection(): net.Socket | null {
    return this.#response.socket;
  }

  /**
   * Forwards the complete answer of an endpoint.
   *
   * @param status - HTTP status
   * @param headers - the endpoint's headers
   * @param body - the complete body
   */
  forward(status: number, headers: sendings.AnswerHeaders, body: Buffer): void {
    if (this.#state !== AnswerState.Open) return;
    this.#state = AnswerState.Ended;
    const forwarded = forwardedHeaders(headers);
    if (!sendings.isFramed(headers)) this.#delimitByClose();
    else if (status !== NO_CONTENT && status !== NOT_MODIFIED) forwarded.push("content-length", String(body.length));
    this.#writeHead(status, forwarded);
    this.#response.end(body);
  }

  /**
   * Sends status and headers of a stream, unless that has been done. The stream is framed here, however the endpoint frames
   * it: where its end was the connection's, a stream that breaks off would look whole to the caller.
   *
   * @param status - HTTP status
   * @param headers - the endpoint's headers
   */
  beginStream(status: number, headers: sendings.AnswerHeaders): void {
    if (this.#state !== AnswerState.Open) return;
    this.#state = AnswerState.Streaming;
    this.#writeHead(status, forwardedHeaders(headers));
  }

  /**
   * @param bytes - complete events of the stream
   * @returns false if the caller reads too slowly and the bytes are buffered here
   */
  write(bytes: Buffer): boolean {
    return this.#response.write(bytes);
  }

  /** @param resume - called once the buffered bytes have been sent to the caller */
  onDrain(resume: () => void): void {
    this.#response.once("drain", resume);
  }

  /** Ends the stream as complete. */
  endStream(): void {
    if (this.#state !== AnswerState.Streaming) return;
    this.#state = AnswerState.Ended;
    this.#response.end();
  }

  /**
   * Destroys the connection, so that a partial answer cannot be taken for a complete one. A caller that doesn't know chunks
   * takes the end of the connection for that of the answer, unless the connection is reset.
   */
  abort(): void {
    this.#state = AnswerState.Ended;
    const { socket } = this.#response;
    if (!this.#response.chunkedEncoding && socket instanceof net.Socket) socket.resetAndDestroy();
    this.#response.destroy();
  }

  /**
   * Sends an error answer of the daemon itself that doesn't say whether the request has run.
   *
   * @param status - HTTP status
   * @param detail - text for people: what happened and what to do
   * @param headers - alternating names and values
   */
  refuse(status: serving.FailureStatus, detail: string, headers: readonly string[] = []): void {
    this.#sendError(status, detail, headers);
  }

  /**
   * Sends an answer that promises that the request has not run and never will.
   *
   * @param _proof - proves it
   * @param status - HTTP status
   * @param detail - text for people: what happened and what to do
   * @param headers - alternating names and values
   */
  reject(
    _proof: serving.NotRunProof,
    status: serving.RejectionStatus,
    detail: string,
    headers: readonly string[] = [],
  ): void {
    this.#sendError(status, detail, headers);
  }

  #sendError(status: number, detail: string, headers: readonly string[]): void {
    if (this.#state !== AnswerState.Open) return;
    this.#state = AnswerState.Ended;
    const body = Buffer.from(`${detail}\n`);
    this.#writeHead(status, ["content-type", "text/plain", "content-length", String(body.length), ...headers]);
    if (this.#unread === undefined || this.#response.req.complete) {
      this.#response.end(body);
      return;
    }
    this.#response.write(body);
    this.#unread.linger(this.#response);
  }

  /**
   * Ends the body by closing the connection, as the endpoint did. A body without a length may have been truncated when
   * the endpoint's connection closed, and nothing shows it. Forwarded with a length it would look complete to the
   * caller; in the same framing the caller knows as much as this daemon.
   */
  #delimitByClose(): void {
    this.#response.useChunkedEncodingByDefault = false;
    this.#response.shouldKeepAlive = false;
  }

  #writeHead(status: number, headers: string[]): void {
    if (this.#closesConnection()) headers.push("connection", "close");
    this.#response.writeHead(status, headers);
  }
}

function forwardedHeaders(headers: sendings.AnswerHeaders): string[] {
  const forwarded: string[] = [];
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || UNFORWARDED_HEADERS.has(name)) continue;
    for (const each of Array.isArray(value) ? value : [value]) forwarded.push(name, each);
  }
  return forwarded;
}
