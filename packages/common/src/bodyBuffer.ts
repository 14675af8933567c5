import * as blockBuffers from "./blockBuffer.js";

/**
 * Collects the body of a message. Its parts are copied: a part that is kept by itself costs an object, hundreds of times its size
 * if it is a chunk of one byte.
 */
export class BodyBuffer {
  readonly #statedBytes: number | undefined;
  readonly #blocks = new blockBuffers.BlockBuffer();
  #whole: Buffer | undefined;
  #length = 0;

  /** @param statedBytes - length that the message states, which is within the reader's limit; undefined if it states none */
  constructor(statedBytes: number | undefined) {
    this.#statedBytes = statedBytes;
  }

  /** @returns number of bytes so far */
  get length(): number {
    return this.#length;
  }

  /** @param part - the next bytes */
  append(part: Buffer): void {
    if (this.#statedBytes === undefined) this.#blocks.append(part);
    // Most bodies come in one part, which needs no copy.
    else if (part.length === this.#statedBytes) this.#whole = part;
    else {
      this.#whole ??= Buffer.allocUnsafeSlow(this.#statedBytes);
      part.copy(this.#whole, this.#length);
    }
    this.#length += part.length;
  }

  /** @returns all bytes */
  join(): Buffer {
    if (this.#statedBytes === undefined) return this.#blocks.join();
    return this.#whole?.subarray(0, this.#length) ?? Buffer.alloc(0);
  }
}
