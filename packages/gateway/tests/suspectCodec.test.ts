import * as fastCheck from "fast-check";
import * as protobuf from "@bufbuild/protobuf";
import * as messages from "@camphorcourse/protocol/gateway";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as suspectCodec from "../src/suspects/suspectCodec.js";

const MOST_32 = 0xffff_ffff;
const age = fastCheck.integer({ min: 0, max: 100_000_000 });

const PLAIN = { noNullPrototype: true };

const WORDS = fastCheck.record(
  {
    fingerprint: fastCheck.stringMatching(/^[0-9a-f]{16}$/),
    ends: fastCheck.array(fastCheck.record({ life: fastCheck.integer({ min: 0, max: MOST_32 }), agoMs: age }, PLAIN), {
      maxLength: 8,
    }),
    clearedAgoMs: fastCheck.option(age, { nil: undefined }),
  },
  PLAIN,
);

const suite = uvu.suite("suspect records");

suite("survive a message", () => {
  fastCheck.assert(
    fastCheck.property(WORDS, (record) => {
      const bytes = protobuf.toBinary(messages.SuspectSchema, suspectCodec.toMessage(record));
      assert.equal(suspectCodec.fromMessage(protobuf.fromBinary(messages.SuspectSchema, bytes)), record);
    }),
    { seed: 31, numRuns: 200 },
  );
});

suite("survive the key-value service, and grow older there", () => {
  fastCheck.assert(
    fastCheck.property(WORDS, age, (record, laterMs) => {
      const writtenAt = 1_000_000_000;
      const read = suspectCodec
        .fromStored(suspectCodec.toStored(record, writtenAt), writtenAt + laterMs)
        ._unsafeUnwrap();
      assert.is(read.fingerprint, record.fingerprint);
      assert.equal(
        read.ends,
        record.ends.map(({ life, agoMs }) => ({ life, agoMs: agoMs + laterMs })),
      );
    }),
    { seed: 31, numRuns: 200 },
  );
});

suite("of another writer are refused", () => {
  const texts = [
    "",
    "{",
    "[]",
    '{"fingerprint":"x","ends":[]}',
    '{"fingerprint":"0011223344556677","ends":[{"life":-1,"at":1}]}',
  ];
  for (const text of texts) assert.ok(suspectCodec.fromStored(Buffer.from(text), 0).isErr(), text);
});

suite("with ages missing count the ends that have one", () => {
  const message = protobuf.create(messages.SuspectSchema, { fingerprint: 1n, lives: [1, 2], endedAgoMs: [5] });
  assert.equal(suspectCodec.fromMessage(message).ends, [{ life: 1, agoMs: 5 }]);
});

suite.run();
