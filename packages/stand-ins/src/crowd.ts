/** A crowd of clients that nobody controls: connections that send what they are told to at the same time and stay open. */
import * as fs from "node:fs";
import * as net from "node:net";

const HOST = "127.0.0.1";
const BYTES_PER_KILOBYTE = 1_024;

/** Interval at which a crowd is looked at, in milliseconds. */
const CHECK_INTERVAL_MS = 50;

/** Checks without a change after which a crowd stands still. */
const QUIET_CHECKS = 20;

/** Checks after which a crowd that goes on is not waited for any longer. */
const MAX_CHECKS = 240;

/** What is written at once unless the caller says otherwise, in bytes. */
const PIECE_BYTES = 65_536;

/** Chunks of one byte that are written at once. */
const SMALL_CHUNKS_PER_PIECE = 10_000;

/** End of a chunked body. */
export const LAST_CHUNK = Buffer.from("0\r\n\r\n");

/** One connection of a crowd: sends its pieces as fast as they are taken and stays open. */
class CrowdConnection {
  readonly #socket: net.Socket;
  readonly #pieces: Iterator<Buffer>;
  #progress = 0;

  constructor(port: number, pieces: Iterable<Buffer>, reads: boolean) {
    this.#pieces = pieces[Symbol.iterator]();
    this.#socket = net.connect(port, HOST, () => this.#send());
    this.#socket.setNoDelay(true);
    this.#socket.on("drain", () => this.#send());
    this.#socket.on("error", () => undefined);
    this.#socket.on("close", () => this.#progress++);
    if (reads) this.#socket.on("data", (bytes: Buffer) => (this.#progress += bytes.length));
    else this.#socket.pause();
  }

  /** Grows while anything is sent or received, and when the connection is closed. */
  get progress(): number {
    return this.#progress;
  }

  close(): void {
    this.#socket.destroy();
  }

  #send(): void {
    while (!this.#socket.destroyed) {
      const { done, value } = this.#pieces.next();
      if (done === true) return;
      this.#progress += value.length;
      if (!this.#socket.write(value)) return;
    }
  }
}

/** How a crowd behaves. */
export interface CrowdOptions {
  readonly connections: number;
  /** @returns what one connection sends */
  readonly pieces: () => Iterable<Buffer>;
  /** Whether it reads what comes; it does unless this says otherwise. */
  readonly reads?: boolean;
}

/** Connections that send at the same time and then stay open. */
export class Crowd {
  readonly #connections: CrowdConnection[];

  /**
   * @param port - port that it connects to
   * @param options - how it behaves
   */
  constructor(port: number, { connections, pieces, reads = true }: CrowdOptions) {
    this.#connections = Array.from({ length: connections }, () => new CrowdConnection(port, pieces(), reads));
  }

  /** Waits until nothing more is sent, received or closed, or for some time if that goes on. */
  async standsStill(): Promise<void> {
    let quietChecks = 0;
    let before = -1;
    for (let check = 0; check < MAX_CHECKS && quietChecks < QUIET_CHECKS; check++) {
      const progress = this.#connections.reduce((sum, connection) => sum + connection.progress, 0);
      quietChecks = progress === before ? quietChecks + 1 : 0;
      before = progress;
      await new Promise((resolve) => setTimeout(resolve, CHECK_INTERVAL_MS));
    }
  }

  /** Closes all connections. */
  leave(): void {
    for (const connection of this.#connections) connection.close();
  }
}

/** What a crowd's requests have in common. */
export interface CrowdRequest {
  readonly target: string;
  readonly host: string;
  /** Method; POST unless this says otherwise. */
  readonly method?: string;
  /** Further lines of the head. */
  readonly lines?: readonly string[];
}

let requests = 0;

/**
 * @param request - the request
 * @returns its head, with an id of its own
 */
export function head({ target, host, method = "POST", lines = [] }: CrowdRequest): Buffer {
  requests++;
  const own = [`${method} ${target} HTTP/1.1`, `Host: ${host}`, `X-Request-Id: crowd-${requests}`];
  return Buffer.from([...own, ...lines, "", ""].join("\r\n"));
}

/**
 * @param request - the request
 * @param length - length of the body that it states, in bytes
 * @param sent - bytes of the body that are sent
 * @param pieceBytes - bytes that are written at once
 * @returns the request, in pieces
 */
export function* stated(
  request: CrowdRequest,
  length: number,
  sent: number,
  pieceBytes: number = PIECE_BYTES,
): Iterable<Buffer> {
  yield head({ ...request, lines: [...(request.lines ?? []), `Content-Length: ${length}`] });
  const piece = Buffer.alloc(pieceBytes, "b");
  for (let left = sent; left > 0; left -= pieceBytes) yield piece.subarray(0, Math.min(left, pieceBytes));
}

/**
 * @param request - the request
 * @param chunkBytes - size of a chunk in bytes
 * @param bytes - bytes of the body that are sent, rounded up to what is written at once
 * @returns the request with a chunked body, without its end
 */
export function* chunked(request: CrowdRequest, chunkBytes: number, bytes: number): Iterable<Buffer> {
  yield head({ ...request, lines: [...(request.lines ?? []), "Transfer-Encoding: chunked"] });
  const chunk = `${chunkBytes.toString(16)}\r\n${"c".repeat(chunkBytes)}\r\n`;
  const chunks = Math.min(SMALL_CHUNKS_PER_PIECE, Math.max(1, Math.floor(PIECE_BYTES / chunk.length)));
  const piece = Buffer.from(chunk.repeat(chunks));
  for (let sent = 0; sent < bytes; sent += chunks * chunkBytes) yield piece;
}

/**
 * @param sequences - sequences of pieces
 * @returns their pieces, one sequence after the other
 */
export function* joined(...sequences: Iterable<Buffer>[]): Iterable<Buffer> {
  for (const sequence of sequences) yield* sequence;
}

/**
 * @param pid - a process of this machine
 * @returns the largest memory that it has had, in bytes
 * @throws Error if the system doesn't tell
 */
export function peakMemoryBytes(pid: number): number {
  const kilobytes = /VmHWM:\s+(\d+) kB/.exec(fs.readFileSync(`/proc/${pid}/status`, "utf8"))?.[1];
  if (kilobytes === undefined) throw new Error(`the system doesn't tell the memory of process ${pid}`);
  return Number(kilobytes) * BYTES_PER_KILOBYTE;
}

/**
 * @param pid - a process of this machine
 * @returns number of its open descriptors
 */
export function openDescriptors(pid: number): number {
  return fs.readdirSync(`/proc/${pid}/fd`).length;
}
