import * as wire from "@bufbuild/protobuf/wire";

const { WireType } = wire;

/** Value of the high part's lowest bit. */
const HIGH = 0x1_0000_0000;

/** Bits of a varint that one byte holds, and the bit that says that another byte follows. */
const GROUP_BITS = 7;
const GROUP = 0x80;

/** Most bytes of a varint. */
const MAX_VARINT_BYTES = 10;

const MAX_TAG_WIRE_TYPE = 5;

/** First byte of a byte order mark, which the text decoder of the platform leaves out. */
const MARK = 0xef;

const decoder = new TextDecoder();

/** Reads values in the encoding of protobuf, one after the other. */
export class ByteReader {
  /** Position of the next byte. */
  position = 0;
  readonly #bytes: Uint8Array;
  readonly #buffer: Buffer;
  /** The upper 32 bits of the last varint. */
  #high = 0;

  /** @param bytes - what is read */
  constructor(bytes: Uint8Array) {
    this.#bytes = bytes;
    this.#buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
  }

  /**
   * @returns the next tag: number of the field and type on the wire
   * @throws Error if there is none
   */
  tag(): number {
    const tag = this.uint32();
    if (tag >>> 3 === 0 || (tag & 7) > MAX_TAG_WIRE_TYPE) throw new Error(`illegal tag: ${tag}`);
    return tag;
  }

  /** @returns the lower 32 bits of a varint */
  uint32(): number {
    const buffer = this.#buffer;
    const first = buffer[this.position];
    if (first !== undefined && first < GROUP) {
      this.position++;
      this.#high = 0;
      return first;
    }
    let low = 0;
    let high = 0;
    for (let count = 0; count < MAX_VARINT_BYTES; count++) {
      const byte = buffer[this.position++];
      if (byte === undefined) throw new RangeError("premature EOF");
      const bits = byte & (GROUP - 1);
      const shift = GROUP_BITS * count;
      if (shift < 32) low |= bits << shift;
      if (shift >= 32) high |= bits << (shift - 32);
      else if (shift > 32 - GROUP_BITS) high |= bits >>> (32 - shift);
      if (byte < GROUP) {
        this.#high = high >>> 0;
        return low >>> 0;
      }
    }
    throw new Error("invalid varint");
  }

  /** @returns a varint */
  uint64(): bigint {
    const low = this.uint32();
    return joined(low, this.#high);
  }

  /** @returns a truth value */
  bool(): boolean {
    return this.uint32() !== 0 || this.#high !== 0;
  }

  /** @returns a number of four bytes */
  fixed32(): number {
    return this.#buffer.readUInt32LE(this.#advance(4));
  }

  /** @returns a number of eight bytes */
  fixed64(): bigint {
    const low = this.fixed32();
    return joined(low, this.fixed32());
  }

  /** @returns a number with a fraction */
  double(): number {
    return this.#buffer.readDoubleLE(this.#advance(8));
  }

  /** @returns bytes whose length precedes them */
  bytes(): Uint8Array {
    const size = this.uint32();
    const start = this.#advance(size);
    return this.#bytes.subarray(start, start + size);
  }

  /** @returns a text whose length precedes it */
  string(): string {
    const size = this.uint32();
    const start = this.#advance(size);
    if (this.#buffer[start] === MARK) return decoder.decode(this.#bytes.subarray(start, start + size));
    return this.#buffer.toString("utf8", start, start + size);
  }

  /**
   * @param wireType - type of a value
   * @param number - number of its field
   * @returns the bytes of the value, which is skipped
   * @throws Error if the value is incomplete
   */
  skip(wireType: wire.WireType, number: number): Uint8Array {
    const start = this.position;
    if (wireType === WireType.Varint) this.uint32();
    else if (wireType === WireType.Bit64) this.#advance(8);
    else if (wireType === WireType.Bit32) this.#advance(4);
    else if (wireType === WireType.LengthDelimited) this.#advance(this.uint32());
    else if (wireType === WireType.StartGroup) this.#skipGroup(number);
    else throw new Error(`cant skip wire type ${wireType}`);
    return this.#bytes.subarray(start, this.position);
  }

  #skipGroup(number: number): void {
    for (;;) {
      const tag = this.tag();
      const wireType = tag & 7;
      if (wireType === WireType.EndGroup) {
        if (tag >>> 3 !== number) throw new Error("invalid end group tag");
        return;
      }
      this.skip(wireType, tag >>> 3);
    }
  }

  #advance(size: number): number {
    const start = this.position;
    if (start + size > this.#bytes.length) throw new RangeError("premature EOF");
    this.position = start + size;
    return start;
  }
}

function joined(low: number, high: number): bigint {
  return high < HIGH / 2 ** 11 ? BigInt(high * HIGH + low) : (BigInt(high) << 32n) | BigInt(low);
}
