import * as neverthrow from "neverthrow";
import * as undici from "undici";

/** Whether a failed call may have reached the server. */
export enum DeliveryStatus {
  /** No byte of the call was sent. */
  NeverSent = "never-sent",
  MayHaveArrived = "may-have-arrived",
}

/** Why there is no complete reply. */
export interface TransportFailure {
  readonly delivery: DeliveryStatus;
  /** Whether the connection timed out, rather than failing with an error. */
  readonly timedOut: boolean;
  readonly detail: string;
}

/** A call to an origin. Times in milliseconds. */
export interface CallOptions {
  readonly path: string;
  readonly method: "GET" | "POST" | "PUT" | "DELETE" | "PATCH";
  readonly headers?: Record<string, string>;
  readonly body?: string | Uint8Array;
  /** Maximum wait for the headers of the reply. */
  readonly headersTimeoutMs: number;
  /** Maximum time between two reads of the body. */
  readonly bodyIdleTimeoutMs: number;
  readonly signal?: AbortSignal;
}

/** A reply whose body has been received completely. */
export interface BufferedReply {
  readonly status: number;
  readonly headers: Record<string, string | string[] | undefined>;
  readonly body: Buffer;
}

/** The headers of a reply whose body is still being received. */
export type StreamedReply = undici.Dispatcher.ResponseData;

const CONNECT_TIMEOUT_MS = 1000;
const KEEP_ALIVE_MS = 30_000;
const NEVER_SENT_CODES = new Set([
  "ECONNREFUSED",
  "ENOTFOUND",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);
const TIMEOUT_CODES = new Set(["UND_ERR_HEADERS_TIMEOUT", "UND_ERR_BODY_TIMEOUT", "ETIMEDOUT"]);

/**
 * A pool of connections to one origin. After a timeout on one connection all open
 * connections are suspect: a middlebox on the path may have dropped the state of
 * each of them, and every later call would wait for its timeout in turn. So the
 * whole pool is replaced, and the next call opens a new connection.
 */
export class Origin {
  readonly #url: string;
  readonly #maxConnections: number;
  #pool: undici.Pool;

  /**
   * @param url - scheme, address and port
   * @param maxConnections - maximum number of open connections
   */
  constructor(url: string, maxConnections: number) {
    this.#url = url;
    this.#maxConnections = maxConnections;
    this.#pool = this.#createPool();
  }

  /**
   * Makes a call and reads the complete reply.
   *
   * @param options - the call
   * @returns the reply, or the failure and whether the call may have been delivered
   */
  async call(options: CallOptions): Promise<neverthrow.Result<BufferedReply, TransportFailure>> {
    const opened = await this.open(options);
    if (opened.isErr()) return neverthrow.err(opened.error);
    const { statusCode, headers, body } = opened.value;
    try {
      const bytes = Buffer.from(await body.arrayBuffer());
      return neverthrow.ok({ status: statusCode, headers, body: bytes });
    } catch (error) {
      return neverthrow.err(this.handleError(error));
    }
  }

  /**
   * Makes a call and leaves the body of the reply to the caller to read.
   *
   * @param options - the call
   * @returns the reply with a readable body, or the failure and whether the call may have been delivered
   */
  async open(options: CallOptions): Promise<neverthrow.Result<StreamedReply, TransportFailure>> {
    try {
      const reply = await this.#pool.request({
        path: options.path,
        method: options.method,
        headers: options.headers ?? null,
        body: options.body ?? null,
        headersTimeout: options.headersTimeoutMs,
        bodyTimeout: options.bodyIdleTimeoutMs,
        signal: options.signal ?? null,
      });
      return neverthrow.ok(reply);
    } catch (error) {
      return neverthrow.err(this.handleError(error));
    }
  }

  /**
   * Classifies an error; a timeout also replaces the pool.
   *
   * @param error - what a call or the read of a body threw
   * @returns the failure and whether the call may have been delivered
   */
  handleError(error: unknown): TransportFailure {
    const code = errorCode(error);
    const timedOut = TIMEOUT_CODES.has(code);
    if (timedOut) this.reset();
    const delivery = NEVER_SENT_CODES.has(code) ? DeliveryStatus.NeverSent : DeliveryStatus.MayHaveArrived;
    return { delivery, timedOut, detail: `${code} ${error instanceof Error ? error.message : ""}`.trim() };
  }

  /** Replaces all connections; calls in progress on the previous ones run until they end or time out. */
  reset(): void {
    const previous = this.#pool;
    this.#pool = this.#createPool();
    previous.close().catch(() => undefined);
  }

  /** Closes all connections immediately, including those with calls in progress. */
  async destroy(): Promise<void> {
    await this.#pool.destroy();
  }

  #createPool(): undici.Pool {
    return new undici.Pool(this.#url, {
      connections: this.#maxConnections,
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      keepAliveTimeout: KEEP_ALIVE_MS,
    });
  }
}

function errorCode(error: unknown): string {
  const { code, name } = error as { code?: string; name?: string };
  return code ?? name ?? "unknown";
}
