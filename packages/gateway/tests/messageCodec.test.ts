import * as protobuf from "@bufbuild/protobuf";
import * as messages from "@camphorcourse/protocol/gateway";
import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as messageCodecs from "../src/wire/messageCodec.js";

const suite = uvu.suite("codec of heartbeats");

const codec = new messageCodecs.MessageCodec(messages.PulseSchema);

const text = fastCheck.oneof(
  fastCheck.string({ maxLength: 200 }),
  fastCheck.string({ unit: "grapheme", maxLength: 80 }),
);

/** Arbitrary values by scalar type, with those at the ends of the ranges. */
const SCALARS = new Map<protobuf.ScalarType, fastCheck.Arbitrary<unknown>>([
  [protobuf.ScalarType.STRING, text],
  [protobuf.ScalarType.BYTES, fastCheck.uint8Array({ maxLength: 300 })],
  [protobuf.ScalarType.BOOL, fastCheck.boolean()],
  [protobuf.ScalarType.UINT32, fastCheck.oneof(fastCheck.nat(200), fastCheck.nat(0xffff_ffff))],
  [protobuf.ScalarType.UINT64, fastCheck.bigInt(0n, 2n ** 64n - 1n)],
  [protobuf.ScalarType.FIXED32, fastCheck.nat(0xffff_ffff)],
  [protobuf.ScalarType.FIXED64, fastCheck.bigInt(0n, 2n ** 64n - 1n)],
  [protobuf.ScalarType.DOUBLE, fastCheck.double()],
]);

function fieldValue(field: protobuf.DescField): fastCheck.Arbitrary<unknown> {
  const element =
    field.fieldKind === "list" && field.listKind === "message"
      ? messageFields(field.message)
      : (SCALARS.get(field.scalar ?? protobuf.ScalarType.UINT32) ?? fastCheck.constant(undefined));
  return field.fieldKind === "list" ? fastCheck.array(element, { maxLength: 4 }) : element;
}

/** Messages with any of their fields, of the present software and of a later one. */
function messageFields(schema: protobuf.DescMessage): fastCheck.Arbitrary<Record<string, unknown>> {
  const fields = Object.fromEntries(schema.fields.map((field) => [field.localName, fieldValue(field)]));
  return fastCheck.record(fields, { requiredKeys: [] });
}

const pulses = messageFields(messages.PulseSchema).map((fields) => protobuf.create(messages.PulseSchema, fields));

/** What decoding gives: the message, or that there is none. */
function attempt(decode: (bytes: Uint8Array) => messages.Pulse, bytes: Uint8Array): unknown {
  try {
    return decode(bytes);
  } catch {
    return "error";
  }
}

function assertSameDecoding(bytes: Uint8Array): void {
  const decoded = attempt((each) => codec.decode(each), bytes);
  const expected = attempt((each) => protobuf.fromBinary(messages.PulseSchema, each), bytes);
  assert.equal(decoded, expected);
}

// Daemons of older software, which use the library, would misread or discard the heartbeats.
suite("heartbeats are encoded and decoded as by the library", () => {
  fastCheck.assert(
    fastCheck.property(pulses, (pulse) => {
      const bytes = protobuf.toBinary(messages.PulseSchema, pulse);
      assert.equal(codec.encode(pulse), bytes);
      assertSameDecoding(bytes);
    }),
    { numRuns: 400 },
  );
});

// A datagram that anything may have sent would be taken for a heartbeat, or end the daemon.
suite("damaged heartbeats are decoded or rejected as by the library", () => {
  const damage = fastCheck.tuple(fastCheck.nat(), fastCheck.nat(), fastCheck.nat(255));
  fastCheck.assert(
    fastCheck.property(pulses, damage, (pulse, [cutAt, changedAt, byte]) => {
      const bytes = protobuf.toBinary(messages.PulseSchema, pulse);
      assertSameDecoding(bytes.slice(0, cutAt % (bytes.length + 1)));
      const changed = bytes.slice();
      if (changed.length > 0) changed[changedAt % changed.length] = byte;
      assertSameDecoding(changed);
    }),
    { numRuns: 2_000 },
  );
});

suite("any bytes are decoded or rejected as by the library", () => {
  fastCheck.assert(
    fastCheck.property(fastCheck.uint8Array({ maxLength: 40 }), (bytes) => assertSameDecoding(bytes)),
    { numRuns: 2_000 },
  );
});

// Heartbeats of newer software would lose what this daemon doesn't know, unlike with the library.
suite("unknown fields are kept", () => {
  const pulse = protobuf.create(messages.PulseSchema, { vm: "vm-1" });
  pulse.$unknown = [{ no: 1_000, wireType: 2, data: new Uint8Array([2, 7, 8]) }];
  const bytes = protobuf.toBinary(messages.PulseSchema, pulse);
  assert.equal(codec.encode(pulse), bytes);
  assertSameDecoding(bytes);
});

// The daemon would send a heartbeat that its receivers misread, instead of one without the number.
suite("a number out of range is an error, and the next message is not affected", () => {
  const pulse = protobuf.create(messages.PulseSchema, { vm: "vm-1", incarnation: "a" });
  for (const busyThousandths of [-1, 2 ** 32, 0.5, Number.NaN])
    assert.throws(() => codec.encode({ ...pulse, busyThousandths }), /busy_thousandths/);
  assert.throws(() => codec.encode({ ...pulse, unixMs: -1n }), /unix_ms/);
  assert.equal(codec.encode(pulse), protobuf.toBinary(messages.PulseSchema, pulse));
});

suite.run();
