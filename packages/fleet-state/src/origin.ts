import * as neverthrow from "neverthrow";
import * as undici from "undici";

/** How far a call that failed can have got. */
export enum DeliveryStatus {
  /** No byte of it left this process. */
  NeverSent = "never-sent",
  MayHaveArrived = "may-have-arrived",
}

/** Why there is no whole reply. */
export interface TransportFailure {
  readonly delivery: DeliveryStatus;
  /** Whether the connection fell silent instead of failing. */
  readonly silent: boolean;
  readonly detail: string;
}

/** A call of one origin. Times in milliseconds. */
export interface CallOptions {
  readonly path: string;
  readonly method: "GET" | "POST" | "PUT" | "DELETE" | "PATCH";
  readonly headers?: Record<string, string>;
  readonly body?: string | Uint8Array;
  /** Longest wait for the head of the reply. */
  readonly headTimeoutMs: number;
  /** Longest silence within the body. */
  readonly silenceMs: number;
  readonly signal?: AbortSignal;
}

/** A whole reply. */
export interface WholeReply {
  readonly status: number;
  readonly headers: Record<string, string | string[] | undefined>;
  readonly body: Buffer;
}

/** The head of a reply whose body is still coming. */
export type OpenReply = undici.Dispatcher.ResponseData;

const CONNECT_TIMEOUT_MS = 1000;
const KEEP_ALIVE_MS = 30_000;
const NEVER_SENT_CODES = new Set([
  "ECONNREFUSED",
  "ENOTFOUND",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);
const SILENCE_CODES = new Set(["UND_ERR_HEADERS_TIMEOUT", "UND_ERR_BODY_TIMEOUT", "ETIMEDOUT"]);

/**
 * The connections to one address. Once a connection has fallen silent, all of
 * its age are suspect: what lies between the two ends may have lost track of
 * each of them, and every later call would wait for its timeout in turn. So
 * they are all given up together, and the next call opens a new one.
 */
export class Origin {
  readonly #url: string;
  readonly #connections: number;
  #pool: undici.Pool;

  /**
   * @param url - scheme, address and port
   * @param connections - how many may be open at once
   */
  constructor(url: string, connections: number) {
    this.#url = url;
    this.#connections = connections;
    this.#pool = this.#open();
  }

  /**
   * @param options - the call
   * @returns the whole reply, or how far the call can have got
   */
  async call(options: CallOptions): Promise<neverthrow.Result<WholeReply, TransportFailure>> {
    const opened = await this.open(options);
    if (opened.isErr()) return neverthrow.err(opened.error);
    const { statusCode, headers, body } = opened.value;
    try {
      const bytes = Buffer.from(await body.arrayBuffer());
      return neverthrow.ok({ status: statusCode, headers, body: bytes });
    } catch (error) {
      return neverthrow.err(this.fail(error));
    }
  }

  /**
   * @param options - the call
   * @returns the reply's head with its body to be read, or how far the call can have got
   */
  async open(options: CallOptions): Promise<neverthrow.Result<OpenReply, TransportFailure>> {
    try {
      const reply = await this.#pool.request({
        path: options.path,
        method: options.method,
        headers: options.headers ?? null,
        body: options.body ?? null,
        headersTimeout: options.headTimeoutMs,
        bodyTimeout: options.silenceMs,
        signal: options.signal ?? null,
      });
      return neverthrow.ok(reply);
    } catch (error) {
      return neverthrow.err(this.fail(error));
    }
  }

  /**
   * @param error - what a call or a body threw
   * @returns how far the call can have got
   */
  fail(error: unknown): TransportFailure {
    const code = codeOf(error);
    const silent = SILENCE_CODES.has(code);
    if (silent) this.reset();
    const reach = NEVER_SENT_CODES.has(code) ? DeliveryStatus.NeverSent : DeliveryStatus.MayHaveArrived;
    return { delivery: reach, silent, detail: `${code} ${error instanceof Error ? error.message : ""}`.trim() };
  }

  /** Gives up all connections; calls under way on them go on until they end or time out. */
  reset(): void {
    const old = this.#pool;
    this.#pool = this.#open();
    old.close().catch(() => undefined);
  }

  /** Closes every connection at once. */
  async destroy(): Promise<void> {
    await this.#pool.destroy();
  }

  #open(): undici.Pool {
    return new undici.Pool(this.#url, {
      connections: this.#connections,
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      keepAliveTimeout: KEEP_ALIVE_MS,
    });
  }
}

function codeOf(error: unknown): string {
  const { code, name } = error as { code?: string; name?: string };
  return code ?? name ?? "unknown";
}
