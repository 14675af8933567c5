import * as common from "@camphorcourse/common";
import type * as serving from "@camphorcourse/serving";

/** Buffers one answer, within its own bound and that of all answers together. */
export class BoundedBuffer {
  readonly #memory: serving.AnswerMemory;
  readonly #holding: serving.AnswerHolding;
  readonly #limits: serving.BufferLimits;
  readonly #buffer = new common.BlockBuffer();

  /**
   * @param memory - bounds all answers together
   * @param limits - how much of it is buffered
   */
  constructor(memory: serving.AnswerMemory, limits: serving.BufferLimits) {
    this.#memory = memory;
    this.#limits = limits;
    this.#holding = memory.open();
  }

  /** @returns number of bytes that have been buffered */
  get length(): number {
    return this.#buffer.length;
  }

  /** @returns what has been buffered */
  join(): Buffer {
    return this.#buffer.join();
  }

  /**
   * @param chunk - the next bytes
   * @returns false if the answer is too large to be buffered and is to be given up
   */
  push(chunk: Buffer): boolean {
    if (!this.#memory.hold(this.#holding, this.#buffer.length + chunk.length, this.#limits)) return false;
    this.#buffer.append(chunk);
    return true;
  }

  /** The answer is complete or given up. */
  close(): void {
    this.#memory.close(this.#holding);
  }
}
