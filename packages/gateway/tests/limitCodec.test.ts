import * as protobuf from "@bufbuild/protobuf";
import * as messages from "@camphorcourse/protocol/gateway";
import * as serving from "@camphorcourse/serving";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as limitCodec from "../src/limits/limitCodec.js";

const suite = uvu.suite("limits of endpoints in heartbeats");
const RECORD: serving.LimitRecord = {
  endpointId: "e1",
  bornAt: 1_700_000_000_000,
  requestsPerSecond: 3.6,
  statedIn: serving.AnsweredCall.Run,
  version: 1_700_000_000_123,
};

function overTheWire(record: serving.LimitRecord): serving.LimitRecord | undefined {
  const bytes = protobuf.toBinary(messages.EndpointLimitSchema, limitCodec.toMessage(record));
  return limitCodec.fromMessage(protobuf.fromBinary(messages.EndpointLimitSchema, bytes));
}

suite("a limit, a limit of 0 and a withdrawn limit arrive as they were sent", () => {
  for (const requestsPerSecond of [3.6, 0, undefined])
    assert.equal(overTheWire({ ...RECORD, requestsPerSecond }), { ...RECORD, requestsPerSecond });
  assert.equal(overTheWire({ ...RECORD, bornAt: undefined }), { ...RECORD, bornAt: undefined });
});

suite("what a newer or faulty peer sends is left out", () => {
  const message = limitCodec.toMessage(RECORD);
  assert.is(limitCodec.fromMessage({ ...message, statedIn: "elsewhere" }), undefined);
  assert.is(limitCodec.fromMessage({ ...message, requestsPerSecond: Number.NaN }), undefined);
  assert.is(limitCodec.fromMessage({ ...message, requestsPerSecond: -1 }), undefined);
  assert.is(limitCodec.fromMessage({ ...message, version: 1n << 60n }), undefined);
});

suite.run();
