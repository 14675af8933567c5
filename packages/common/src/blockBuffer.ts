/** Size of a block in bytes. */
const BLOCK_BYTES = 65_536;

/** Collects bytes in blocks. What it holds in memory exceeds the bytes by less than two blocks, however small their pieces are. */
export class BlockBuffer {
  readonly #blocks: Buffer[] = [];
  #block = Buffer.alloc(0);
  #used = 0;
  #length = 0;

  /** @returns number of bytes */
  get length(): number {
    return this.#length;
  }

  /** @param piece - bytes to add */
  append(piece: Buffer): void {
    this.#length += piece.length;
    for (let from = 0; from < piece.length;) {
      // The first block is as large as its piece: most answers come in one piece.
      if (this.#used === this.#block.length) this.#openBlock(this.#blocks.length === 0 ? piece.length : BLOCK_BYTES);
      const copied = piece.copy(this.#block, this.#used, from);
      this.#used += copied;
      from += copied;
    }
  }

  /** @returns all bytes, joined */
  join(): Buffer {
    return Buffer.concat([...this.#blocks, this.#block.subarray(0, this.#used)]);
  }

  #openBlock(bytes: number): void {
    if (this.#used > 0) this.#blocks.push(this.#block);
    this.#block = Buffer.allocUnsafeSlow(Math.min(bytes, BLOCK_BYTES));
    this.#used = 0;
  }
}
