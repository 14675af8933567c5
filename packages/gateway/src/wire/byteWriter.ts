const INITIAL_BYTES = 2_048;

const MAX_UINT32 = 0xffff_ffff;
const MAX_UINT64 = 0xffff_ffff_ffff_ffffn;
const MAX_SAFE = BigInt(Number.MAX_SAFE_INTEGER);

/** Most bytes of a varint, and of a character in UTF-8 for each unit of a text. */
const MAX_VARINT_BYTES = 10;
const MAX_BYTES_PER_UNIT = 3;

/** Bits of a varint that one byte holds, and the bit that says that another byte follows. */
const GROUP = 0x80;

/** Writes values in the encoding of protobuf, one after the other, into a buffer that is used again. */
export class ByteWriter {
  #bytes = Buffer.allocUnsafe(INITIAL_BYTES);
  #length = 0;

  /** @returns a copy of what was written since the last call */
  finish(): Uint8Array {
    const written = new Uint8Array(this.#bytes.subarray(0, this.#length));
    this.#length = 0;
    return written;
  }

  /** Discards what was written since the last call of {@link ByteWriter.finish}. */
  reset(): void {
    this.#length = 0;
  }

  /**
   * @param value - a whole number
   * @throws Error if it is out of range
   */
  uint32(value: number): void {
    if (!Number.isInteger(value) || value < 0 || value > MAX_UINT32) throw new Error(`invalid uint32: ${value}`);
    this.#varint(value);
  }

  /**
   * @param value - a whole number
   * @throws Error if it is out of range
   */
  uint64(value: bigint): void {
    assertUint64(value);
    if (value <= MAX_SAFE) {
      this.#varint(Number(value));
      return;
    }
    this.#reserve(MAX_VARINT_BYTES);
    let rest = value;
    for (; rest >= BigInt(GROUP); rest >>= 7n) this.#bytes[this.#length++] = Number(rest & 0x7fn) | GROUP;
    this.#bytes[this.#length++] = Number(rest);
  }

  /** @param value - a truth value */
  bool(value: boolean): void {
    this.#varint(value ? 1 : 0);
  }

  /** @param value - a text */
  string(value: string): void {
    this.#reserve(MAX_VARINT_BYTES + MAX_BYTES_PER_UNIT * value.length);
    const start = this.#length;
    // Most texts are short, so that their length takes one byte.
    const size = this.#bytes.write(value, start + 1);
    if (size < GROUP) {
      this.#bytes[start] = size;
      this.#length = start + 1 + size;
      return;
    }
    this.#varint(size);
    this.#length += this.#bytes.write(value, this.#length);
  }

  /** @param value - bytes */
  bytes(value: Uint8Array): void {
    this.#varint(value.length);
    this.raw(value);
  }

  /** @param value - bytes to write as they are */
  raw(value: Uint8Array): void {
    this.#reserve(value.length);
    this.#bytes.set(value, this.#length);
    this.#length += value.length;
  }

  /**
   * @param value - a whole number
   * @throws Error if it is out of range
   */
  fixed32(value: number): void {
    if (!Number.isInteger(value) || value < 0 || value > MAX_UINT32) throw new Error(`invalid uint32: ${value}`);
    this.#reserve(4);
    this.#length = this.#bytes.writeUInt32LE(value, this.#length);
  }

  /**
   * @param value - a whole number
   * @throws Error if it is out of range
   */
  fixed64(value: bigint): void {
    assertUint64(value);
    this.#reserve(8);
    this.#length = this.#bytes.writeBigUInt64LE(value, this.#length);
  }

  /** @param value - a number */
  double(value: number): void {
    this.#reserve(8);
    this.#length = this.#bytes.writeDoubleLE(value, this.#length);
  }

  /**
   * Begins a part whose length precedes it.
   *
   * @returns where it begins, for {@link ByteWriter.end}
   */
  begin(): number {
    this.#reserve(1);
    return this.#length++;
  }

  /** @param start - where the part that ends here begins */
  end(start: number): void {
    const size = this.#length - start - 1;
    if (size < GROUP) {
      this.#bytes[start] = size;
      return;
    }
    this.#reserve(MAX_VARINT_BYTES);
    const shift = varintBytes(size) - 1;
    this.#bytes.copyWithin(start + 1 + shift, start + 1, this.#length);
    this.#length = start;
    this.#varint(size);
    this.#length += size;
  }

  #varint(value: number): void {
    this.#reserve(MAX_VARINT_BYTES);
    let rest = value;
    for (; rest >= GROUP; rest = Math.floor(rest / GROUP)) this.#bytes[this.#length++] = (rest % GROUP) | GROUP;
    this.#bytes[this.#length++] = rest;
  }

  #reserve(size: number): void {
    if (this.#length + size <= this.#bytes.length) return;
    const larger = Buffer.allocUnsafe(Math.max(2 * this.#bytes.length, this.#length + size));
    larger.set(this.#bytes.subarray(0, this.#length));
    this.#bytes = larger;
  }
}

function assertUint64(value: bigint): void {
  if (value < 0n || value > MAX_UINT64) throw new Error(`invalid uint64: ${value}`);
}

function varintBytes(value: number): number {
  let size = 1;
  for (let rest = value; rest >= GROUP; rest = Math.floor(rest / GROUP)) size++;
  return size;
}
