import type * as http from "node:http";
import * as neverthrow from "neverthrow";
import * as bodyBuffers from "../bodyBuffer.js";

/** Why a body isn't read to its end. */
export enum BodyFault {
  /** It exceeds the limit. */
  TooLarge = "too-large",
  /** There is no memory for it. */
  NoMemory = "no-memory",
  /** It hasn't come to its end in the time of its request. */
  TooLate = "too-late",
  /** Its sender has closed the connection. */
  Disconnected = "disconnected",
}

/** How a body is read. */
export interface BodyOptions {
  /** Maximum size of the body in bytes. */
  readonly maxBytes: number;
  /** @returns instant by which the body must have come, in milliseconds; asked only while it is being read */
  readonly deadlineAt: () => number;
  /** @param bytes - bytes of the body that are held from now on */
  readonly onHeld?: (bytes: number) => void;
}

/** Reserves memory for a body. */
export interface BodyRoom {
  /**
   * @param bytes - bytes that the body needs in all from now on
   * @returns whether there is room
   */
  reserve(bytes: number): boolean;
  /** Bytes of the body have come. */
  noteProgress(): void;
  /** The body has been read to its end: it is kept until it is released. */
  complete(): void;
  /** The body isn't needed any more. */
  release(): void;
}

/** What is reserved first for a body without a stated length, in bytes; it doubles up to a block. */
const FIRST_RESERVATION_BYTES = 4_096;
const BLOCK_BYTES = 65_536;

/** A body without a stated length is held twice for a moment: in blocks, and joined. */
const UNSTATED_COPIES = 2;

/** Reads the body of a request within a limit and within the memory that there is. */
export class BodyReader {
  readonly #incoming: http.IncomingMessage;
  readonly #options: BodyOptions;
  readonly #room: BodyRoom;
  readonly #statedBytes: number | undefined;
  #body: bodyBuffers.BodyBuffer;
  #reservedBytes = 0;
  #length = 0;
  #settle: ((result: neverthrow.Result<Buffer, BodyFault>) => void) | undefined;
  /** The body, or why it wasn't read to its end. */
  readonly result: Promise<neverthrow.Result<Buffer, BodyFault>>;

  /**
   * @param incoming - the request
   * @param options - limits of the body
   * @param room - reserves memory for it
   */
  constructor(incoming: http.IncomingMessage, options: BodyOptions, room: BodyRoom) {
    this.#incoming = incoming;
    this.#options = options;
    this.#room = room;
    const stated = incoming.headers["content-length"];
    this.#statedBytes = stated === undefined ? undefined : Number(stated);
    this.#body = new bodyBuffers.BodyBuffer(this.#statedBytes);
    this.result = new Promise((resolve) => {
      this.#settle = resolve;
    });
  }

  /** @returns whether the body is still being read */
  get isReading(): boolean {
    return this.#settle !== undefined;
  }

  /** @returns bytes that it needs at least, as far as that is known */
  get requiredBytes(): number {
    return this.#statedBytes ?? this.#length;
  }

  /**
   * @param now - current instant in milliseconds
   * @returns whether the body has not come to its end in its time
   */
  isOverdue(now: number): boolean {
    return this.#settle !== undefined && now >= this.#options.deadlineAt();
  }

  /** Begins to read, unless what is stated of the body's length is too much. */
  start(): void {
    const bytes = this.#statedBytes ?? 0;
    if (bytes > this.#options.maxBytes) this.giveUp(BodyFault.TooLarge);
    else if (bytes > 0 && !this.#room.reserve(bytes)) this.giveUp(BodyFault.NoMemory);
    const incoming = this.#incoming;
    incoming.on("data", (part: Buffer) => this.#onData(part));
    incoming.once("end", () => this.#onEnd());
    incoming.once("error", () => this.giveUp(BodyFault.Disconnected));
    incoming.once("close", () => this.giveUp(BodyFault.Disconnected));
  }

  /**
   * Ends the reading, unless it has ended, and releases what is held of the body.
   *
   * @param fault - why
   */
  giveUp(fault: BodyFault): void {
    if (this.#settle === undefined) return;
    this.#body = new bodyBuffers.BodyBuffer(undefined);
    this.release();
    this.#end(neverthrow.err(fault));
  }

  /** Releases the memory of the body, which isn't needed any more. */
  release(): void {
    this.#room.release();
  }

  #onData(part: Buffer): void {
    if (this.#settle === undefined) return;
    this.#length += part.length;
    if (this.#length > this.#options.maxBytes) this.giveUp(BodyFault.TooLarge);
    else if (this.#statedBytes === undefined && !this.#grow(this.#length)) this.giveUp(BodyFault.NoMemory);
    else {
      this.#body.append(part);
      this.#room.noteProgress();
      this.#options.onHeld?.(part.length);
    }
  }

  /** Reserves what a body without a stated length needs, in steps. */
  #grow(length: number): boolean {
    if (length <= this.#reservedBytes) return true;
    let bytes = Math.max(FIRST_RESERVATION_BYTES, this.#reservedBytes);
    while (bytes < length) bytes += Math.min(bytes, BLOCK_BYTES);
    if (!this.#room.reserve(bytes * UNSTATED_COPIES)) return false;
    this.#reservedBytes = bytes;
    return true;
  }

  #onEnd(): void {
    if (this.#settle === undefined) return;
    this.#room.complete();
    this.#end(neverthrow.ok(this.#body.join()));
  }

  #end(result: neverthrow.Result<Buffer, BodyFault>): void {
    this.#settle?.(result);
    this.#settle = undefined;
  }
}
