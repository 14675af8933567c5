import type * as serving from "@camphorcourse/serving";
import * as byteBuffers from "./byteBuffer.js";

/** Buffers one answer, within its own bound and that of all answers together. */
export class BoundedBuffer {
  readonly #memory: serving.AnswerMemory;
  readonly #holding: serving.AnswerHolding;
  readonly #maxBytes: number;
  readonly #buffer = new byteBuffers.ByteBuffer();

  /**
   * @param memory - bounds all answers together
   * @param maxBytes - bound of this one, in bytes
   */
  constructor(memory: serving.AnswerMemory, maxBytes: number) {
    this.#memory = memory;
    this.#maxBytes = maxBytes;
    this.#holding = memory.open();
  }

  /** @returns what has been buffered */
  get bytes(): Buffer {
    return this.#buffer.bytes;
  }

  /**
   * @param chunk - the next bytes
   * @returns false if the answer is too large to be buffered and is to be given up
   */
  push(chunk: Buffer): boolean {
    if (!this.#memory.hold(this.#holding, this.#buffer.length + chunk.length, this.#maxBytes)) return false;
    this.#buffer.append(chunk);
    return true;
  }

  /** The answer is complete or given up. */
  close(): void {
    this.#memory.close(this.#holding);
  }
}
