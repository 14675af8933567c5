import type * as http from "node:http";
import * as bodyMemories from "../bodyMemory.js";
import * as bodyReaders from "./bodyReader.js";
import * as unreadBodies from "./unreadBodies.js";

/** Interval at which unfinished bodies are checked for their deadlines, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

/** Dependencies of {@link RequestBodies}. */
export interface RequestBodiesParts {
  /** Bytes that all bodies together may hold. */
  readonly limitBytes: number;
  /** @returns bytes that are held for anything else within the same limit */
  readonly otherBytes: () => number;
  /** Called when an unfinished body is given up for others. */
  readonly onYielded: () => void;
}

/** Reads the bodies of all requests, of callers and of peers, within one memory. */
export class RequestBodies {
  /** Reads on what senders still send after they have been refused. */
  readonly unread = new unreadBodies.UnreadBodies();
  readonly #parts: RequestBodiesParts;
  readonly #memory: bodyMemories.BodyMemory<bodyReaders.BodyReader>;
  readonly #unfinished = new Set<bodyReaders.BodyReader>();
  #timer: NodeJS.Timeout | undefined;

  /** @param parts - dependencies */
  constructor(parts: RequestBodiesParts) {
    this.#parts = parts;
    this.#memory = new bodyMemories.BodyMemory(parts.limitBytes);
  }

  /** @returns bytes that are reserved for all bodies */
  get reservedBytes(): number {
    return this.#memory.total;
  }

  /**
   * @param bytes - size of a body that was rejected
   * @returns time after which there is likely to be room for it, in milliseconds
   */
  retryAfterMs(bytes: number): number {
    return this.#memory.retryAfterMs(bytes);
  }

  /**
   * Begins to read the body of a request.
   *
   * @param incoming - the request
   * @param options - limits of the body
   * @returns its reader, to be released once the body isn't needed any more
   */
  read(incoming: http.IncomingMessage, options: bodyReaders.BodyOptions): bodyReaders.BodyReader {
    const room: bodyReaders.BodyRoom = {
      reserve: (bytes) => this.#reserve(holding, bytes),
      noteProgress: () => this.#memory.noteProgress(holding, performance.now()),
      complete: () => this.#memory.complete(holding),
      release: () => this.#memory.close(holding, performance.now()),
    };
    const reader = new bodyReaders.BodyReader(incoming, options, room);
    const holding = this.#memory.open(reader, performance.now());
    this.#unfinished.add(reader);
    void reader.result.then(() => this.#unfinished.delete(reader));
    reader.start();
    this.#schedule();
    return reader;
  }

  /** One timer for all bodies: most have come before it fires. */
  #schedule(): void {
    if (this.#unfinished.size === 0) return;
    // After a pause of the process, timers run before pending socket reads: a body that came in time would be rejected.
    this.#timer ??= setTimeout(() => setImmediate(() => this.#check()), CHECK_INTERVAL_MS).unref();
  }

  #check(): void {
    this.#timer = undefined;
    const now = performance.now();
    for (const reader of this.#unfinished) if (reader.isOverdue(now)) reader.giveUp(bodyReaders.BodyFault.TooLate);
    this.#schedule();
  }

  #reserve(holding: bodyMemories.BodyHolding<bodyReaders.BodyReader>, bytes: number): boolean {
    const yielding = this.#memory.reserve(holding, bytes, performance.now(), this.#parts.otherBytes());
    for (const reader of yielding ?? []) {
      this.#parts.onYielded();
      reader.giveUp(bodyReaders.BodyFault.NoMemory);
    }
    return yielding !== undefined;
  }
}
