import * as protobuf from "@bufbuild/protobuf";
import * as wire from "@bufbuild/protobuf/wire";
import * as byteReaders from "./byteReader.js";
import * as byteWriters from "./byteWriter.js";

/** A message by the names of its fields. */
type Fields = Record<string, unknown>;

/** Writes and reads the values of one scalar type. */
interface ScalarCodec {
  readonly wireType: wire.WireType;
  readonly zero: unknown;
  readonly write: (writer: byteWriters.ByteWriter, value: never) => unknown;
  readonly read: (reader: byteReaders.ByteReader) => unknown;
}

/** Writes and reads one field of a message. */
interface FieldCodec {
  readonly name: string;
  readonly number: number;
  readonly write: (writer: byteWriters.ByteWriter, message: Fields) => void;
  readonly read: (reader: byteReaders.ByteReader, message: Fields, wireType: wire.WireType) => void;
}

const { ScalarType } = protobuf;
const { WireType } = wire;

/** The scalar types that the messages between daemons use. */
const SCALARS = new Map<protobuf.ScalarType, ScalarCodec>([
  [
    ScalarType.STRING,
    {
      wireType: WireType.LengthDelimited,
      zero: "",
      write: (writer, value: string) => writer.string(value),
      read: (reader) => reader.string(),
    },
  ],
  [
    ScalarType.BYTES,
    {
      wireType: WireType.LengthDelimited,
      zero: undefined,
      write: (writer, value: Uint8Array) => writer.bytes(value),
      read: (reader) => reader.bytes(),
    },
  ],
  [
    ScalarType.BOOL,
    {
      wireType: WireType.Varint,
      zero: false,
      write: (writer, value: boolean) => writer.bool(value),
      read: (reader) => reader.bool(),
    },
  ],
  [
    ScalarType.UINT32,
    {
      wireType: WireType.Varint,
      zero: 0,
      write: (writer, value: number) => writer.uint32(value),
      read: (reader) => reader.uint32(),
    },
  ],
  [
    ScalarType.UINT64,
    {
      wireType: WireType.Varint,
      zero: 0n,
      write: (writer, value: bigint) => writer.uint64(value),
      read: (reader) => reader.uint64(),
    },
  ],
  [
    ScalarType.FIXED32,
    {
      wireType: WireType.Bit32,
      zero: 0,
      write: (writer, value: number) => writer.fixed32(value),
      read: (reader) => reader.fixed32(),
    },
  ],
  [
    ScalarType.FIXED64,
    {
      wireType: WireType.Bit64,
      zero: 0n,
      write: (writer, value: bigint) => writer.fixed64(value),
      read: (reader) => reader.fixed64(),
    },
  ],
  [
    ScalarType.DOUBLE,
    {
      wireType: WireType.Bit64,
      zero: 0,
      write: (writer, value: number) => writer.double(value),
      read: (reader) => reader.double(),
    },
  ],
]);

/**
 * Encodes and decodes one type of message, with the same result as `protobuf.toBinary` and `protobuf.fromBinary`. The
 * library looks every field up by reflection each time, which takes most of the time of a heartbeat; here each field's
 * functions are determined once.
 */
export class MessageCodec<Schema extends protobuf.DescMessage> {
  readonly #plan: MessagePlan;
  readonly #writer = new byteWriters.ByteWriter();

  /**
   * @param schema - the type of message
   * @throws Error if it has fields of a kind that the messages between daemons don't use
   */
  constructor(schema: Schema) {
    this.#plan = new MessagePlan(schema);
  }

  /**
   * @param message - the message
   * @returns its bytes
   * @throws Error if a number is out of its field's range
   */
  encode(message: protobuf.MessageShape<Schema>): Uint8Array {
    this.#writer.reset();
    this.#plan.write(this.#writer, message as unknown as Fields);
    return this.#writer.finish();
  }

  /**
   * @param bytes - an encoded message
   * @returns the message
   * @throws Error if the bytes are no such message
   */
  decode(bytes: Uint8Array): protobuf.MessageShape<Schema> {
    const reader = new byteReaders.ByteReader(bytes);
    return this.#plan.read(reader, bytes.length) as unknown as protobuf.MessageShape<Schema>;
  }
}

/** What a message consists of, and how to write and read it. */
class MessagePlan {
  readonly #zero: Fields;
  readonly #lists: readonly string[];
  readonly #fields: readonly FieldCodec[];
  readonly #byNumber = new Map<number, FieldCodec>();

  constructor(schema: protobuf.DescMessage) {
    // Implicit fields are on the message from the start, in the order of their declaration.
    this.#zero = { ...protobuf.create(schema) };
    this.#lists = schema.fields.filter(({ fieldKind }) => fieldKind === "list").map(({ localName }) => localName);
    this.#fields = [...schema.fields].sort((left, right) => left.number - right.number).map(fieldCodec);
    for (const field of this.#fields) this.#byNumber.set(field.number, field);
  }

  write(writer: byteWriters.ByteWriter, message: Fields): void {
    for (const field of this.#fields) field.write(writer, message);
    const { $unknown } = message as { readonly $unknown?: protobuf.UnknownField[] };
    if ($unknown !== undefined)
      for (const { no, wireType, data } of $unknown) {
        writer.uint32(((no << 3) | wireType) >>> 0);
        writer.raw(data);
      }
  }

  /** @param length - its length in bytes, from the reader's position on */
  read(reader: byteReaders.ByteReader, length: number): Fields {
    const message: Fields = { ...this.#zero };
    for (const name of this.#lists) message[name] = [];
    const end = reader.position + length;
    let unknown: protobuf.UnknownField[] | undefined;
    while (reader.position < end) {
      const tag = reader.tag();
      const number = tag >>> 3;
      const wireType = tag & 7;
      const field = this.#byNumber.get(number);
      if (field !== undefined) field.read(reader, message, wireType);
      else (unknown ??= []).push({ no: number, wireType, data: reader.skip(wireType, number) });
    }
    if (unknown !== undefined) message["$unknown"] = unknown;
    return message;
  }
}

function fieldCodec(field: protobuf.DescField): FieldCodec {
  const { localName: name, number } = field;
  if (field.oneof === undefined && field.fieldKind === "scalar") return { name, number, ...scalarField(field) };
  if (field.fieldKind === "list" && field.listKind === "message" && !field.delimitedEncoding)
    return { name, number, ...messageList(field) };
  if (field.fieldKind === "list" && field.listKind === "scalar") return { name, number, ...scalarList(field) };
  throw new Error(`field ${field.parent.typeName}.${field.name} is of a kind that no message between daemons has`);
}

function scalarCodec(field: protobuf.DescField & { readonly scalar: protobuf.ScalarType }): ScalarCodec {
  const codec = SCALARS.get(field.scalar);
  if (codec === undefined) throw new Error(`the type of field ${field.parent.typeName}.${field.name} is not supported`);
  const { typeName } = field.parent;
  const write = (writer: byteWriters.ByteWriter, value: never): void => {
    try {
      codec.write(writer, value);
    } catch (error) {
      throw new Error(`cannot encode field ${typeName}.${field.name} to binary: ${(error as Error).message}`, {
        cause: error,
      });
    }
  };
  return { ...codec, write };
}

function tagOf({ number }: protobuf.DescField, wireType: wire.WireType): number {
  return ((number << 3) | wireType) >>> 0;
}

function scalarField(field: protobuf.DescField & { readonly fieldKind: "scalar" }): Pick<FieldCodec, "write" | "read"> {
  const { localName } = field;
  const { wireType, write, read, zero } = scalarCodec(field);
  const tag = tagOf(field, wireType);
  // A zero in a field without explicit presence stands for its absence.
  const isExplicit = !(localName in protobuf.create(field.parent));
  const isAbsent = (value: unknown): boolean =>
    isExplicit ? value === undefined : value === zero || (value instanceof Uint8Array && value.length === 0);
  return {
    write: (writer, message) => {
      const value = message[localName];
      if (isAbsent(value)) return;
      writer.uint32(tag);
      write(writer, value as never);
    },
    read: (reader, message) => {
      message[localName] = read(reader);
    },
  };
}

function messageList(
  field: protobuf.DescField & { readonly fieldKind: "list"; readonly listKind: "message" },
): Pick<FieldCodec, "write" | "read"> {
  const { localName } = field;
  const plan = new MessagePlan(field.message);
  const tag = tagOf(field, WireType.LengthDelimited);
  return {
    write: (writer, message) => {
      for (const item of message[localName] as Fields[]) {
        writer.uint32(tag);
        const start = writer.begin();
        plan.write(writer, item);
        writer.end(start);
      }
    },
    read: (reader, message) => {
      (message[localName] as Fields[]).push(plan.read(reader, reader.uint32()));
    },
  };
}

function scalarList(
  field: protobuf.DescField & { readonly fieldKind: "list"; readonly listKind: "scalar" },
): Pick<FieldCodec, "write" | "read"> {
  const { localName } = field;
  const { wireType, write, read } = scalarCodec(field);
  const itemTag = tagOf(field, wireType);
  const packedTag = tagOf(field, WireType.LengthDelimited);
  return {
    write: (writer, message) => {
      const list = message[localName] as never[];
      if (list.length === 0) return;
      let start = 0;
      if (field.packed) {
        writer.uint32(packedTag);
        start = writer.begin();
      }
      for (const item of list) {
        if (!field.packed) writer.uint32(itemTag);
        write(writer, item);
      }
      if (field.packed) writer.end(start);
    },
    read: (reader, message, readWireType) => {
      const list = message[localName] as unknown[];
      if (readWireType !== WireType.LengthDelimited || wireType === WireType.LengthDelimited) {
        list.push(read(reader));
        return;
      }
      const end = reader.uint32() + reader.position;
      while (reader.position < end) list.push(read(reader));
    },
  };
}
