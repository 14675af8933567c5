/** Collects bytes. Its storage doubles as it grows, so that the work is linear in the bytes, however small their pieces are. */
export class ByteBuffer {
  #storage: Buffer = Buffer.alloc(0);
  #length = 0;

  /** @returns number of bytes */
  get length(): number {
    return this.#length;
  }

  /** @returns size of its storage, in bytes */
  get capacity(): number {
    return this.#storage.length;
  }

  /** @returns the bytes; they change with the next call */
  get bytes(): Buffer {
    return this.#storage.subarray(0, this.#length);
  }

  /** @param piece - bytes to add; the first piece is kept as it is, without a copy */
  append(piece: Buffer): void {
    if (this.#length === 0) {
      this.#storage = piece;
      this.#length = piece.length;
      return;
    }
    const length = this.#length + piece.length;
    if (length > this.#storage.length) {
      const storage = Buffer.allocUnsafe(2 * length);
      this.bytes.copy(storage);
      this.#storage = storage;
    }
    piece.copy(this.#storage, this.#length);
    this.#length = length;
  }

  /** Drops all bytes. */
  clear(): void {
    this.#storage = Buffer.alloc(0);
    this.#length = 0;
  }
}
