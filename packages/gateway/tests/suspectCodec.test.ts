import * as fastCheck from "fast-check";
import * as protobuf from "@bufbuild/protobuf";
import * as messages from "@camphorcourse/protocol/gateway";
import * as serving from "@camphorcourse/serving";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as suspectCodec from "../src/suspects/suspectCodec.js";

const MAX_UINT32 = 0xffff_ffff;
const age = fastCheck.integer({ min: 0, max: 100_000_000 });

const PLAIN = { noNullPrototype: true };

const RECORDS = fastCheck.record(
  {
    fingerprint: fastCheck.stringMatching(/^[0-9a-f]{16}$/),
    scope: fastCheck.constantFrom(
      serving.SuspectScope.Request,
      serving.SuspectScope.OrganisationPart,
      serving.SuspectScope.Part,
    ),
    ends: fastCheck.array(
      fastCheck.record({ life: fastCheck.integer({ min: 0, max: MAX_UINT32 }), agoMs: age }, PLAIN),
      {
        maxLength: 8,
      },
    ),
    clearedAgoMs: fastCheck.option(age, { nil: undefined }),
  },
  PLAIN,
);

const suite = uvu.suite("suspect codec");

suite("a record survives encoding as a message", () => {
  fastCheck.assert(
    fastCheck.property(RECORDS, (record) => {
      const bytes = protobuf.toBinary(messages.SuspectSchema, suspectCodec.toMessage(record));
      assert.equal(suspectCodec.fromMessage(protobuf.fromBinary(messages.SuspectSchema, bytes)), record);
    }),
    { seed: 31, numRuns: 200 },
  );
});

suite("a stored record survives, and its ages grow by the time since it was written", () => {
  fastCheck.assert(
    fastCheck.property(RECORDS, age, (record, laterMs) => {
      const writtenAt = 1_000_000_000;
      const read = suspectCodec
        .fromStored(suspectCodec.toStored(record, writtenAt), writtenAt + laterMs)
        ._unsafeUnwrap();
      assert.is(read.fingerprint, record.fingerprint);
      assert.is(read.scope, record.scope);
      assert.equal(
        read.ends,
        record.ends.map(({ life, agoMs }) => ({ life, agoMs: agoMs + laterMs })),
      );
    }),
    { seed: 31, numRuns: 200 },
  );
});

suite("a stored value of another format is refused", () => {
  const texts = [
    "",
    "{",
    "[]",
    '{"fingerprint":"x","ends":[]}',
    '{"fingerprint":"0011223344556677","ends":[{"life":-1,"at":1}]}',
  ];
  for (const text of texts) assert.ok(suspectCodec.fromStored(Buffer.from(text), 0).isErr(), text);
});

// Guards against taking what daemons of other software send for the scope that rejects most requests.
suite("a record without a scope, or with one that isn't known here, names a request", () => {
  const stored = Buffer.from('{"fingerprint":"0011223344556677","ends":[]}');
  assert.is(suspectCodec.fromStored(stored, 0)._unsafeUnwrap().scope, serving.SuspectScope.Request);
  const message = protobuf.create(messages.SuspectSchema, { fingerprint: 1n, scope: 9 });
  assert.is(suspectCodec.fromMessage(message).scope, serving.SuspectScope.Request);
});

suite("a message with fewer ages than crashes keeps the crashes that have one", () => {
  const message = protobuf.create(messages.SuspectSchema, { fingerprint: 1n, lives: [1, 2], endedAgoMs: [5] });
  assert.equal(suspectCodec.fromMessage(message).ends, [{ life: 1, agoMs: 5 }]);
});

suite.run();
