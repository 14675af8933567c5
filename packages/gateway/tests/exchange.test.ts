import * as serving from "@camphorcourse/serving";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as stands from "./helpers/exchangeHarness.js";

const { Decode, None, Prefill } = serving.EngineRole;
const { Idempotent, NonIdempotent, Stream } = serving.RequestClass;

const suite = uvu.suite("a request that is ended before its answer has come");

function started(requestClass: serving.RequestClass, roles: readonly serving.EngineRole[]): stands.ExchangeStand {
  const stand = new stands.ExchangeStand(requestClass, roles);
  stand.exchange.start();
  return stand;
}

// The process is about to end, and an endpoint may be running the call. The caller must not hear that it has not
// run, and the endpoint's work is cancelled.
for (const requestClass of [Idempotent, NonIdempotent]) {
  suite(`a send under way may have run: 502 to ${requestClass}`, () => {
    const stand = started(requestClass, [None]);
    stand.exchange.endNow("stopping");
    assert.equal(stand.answer.refusals, [{ status: 502, headers: [] }]);
    assert.ok(stand.send(0).cancelled);
    assert.is(stand.running, 0);
    assert.is(stand.endLines.length, 1);
    assert.match(stand.endLines[0] ?? "", /outcome=stopping status=502/);
  });
}

suite("a prompt that is only being read has not run: 503, with a time to come back", () => {
  const stand = started(Stream, [Prefill, Decode]);
  assert.is(stand.sends.length, 1);
  stand.exchange.endNow("stopping");
  assert.is(stand.answer.refusals.length, 1);
  assert.is(stand.answer.refusals[0]?.status, 503);
  assert.is(stand.answer.refusals[0]?.headers[0], "retry");
  assert.match(stand.answer.refusals[0]?.headers[1] ?? "", /^0\.\d{3}$/);
  assert.ok(stand.send(0).cancelled);
  assert.is(stand.running, 0);
  assert.match(stand.endLines[0] ?? "", /outcome=stopping status=503/);
});

/** The engine that reads the prompt has read it. */
function handOver(reading: stands.SeenSend): void {
  assert.ok(reading.receiver.onHead(200, {}));
  reading.receiver.onData(Buffer.from("handle"));
  reading.receiver.onEnd();
}

// The engine that makes the tokens may have begun. The memory that the first engine keeps for it is freed.
suite("a prompt that another engine goes on with may have run: 502", () => {
  const stand = started(Stream, [Prefill, Decode]);
  handOver(stand.send(0));
  assert.is(stand.sends.length, 2);
  stand.exchange.endNow("stopping");
  assert.equal(stand.answer.refusals, [{ status: 502, headers: [] }]);
  assert.ok(stand.send(1).cancelled);
  assert.is(stand.send(2).path, "/free/handle");
});

suite("a stream that has begun is broken off", () => {
  const stand = started(Stream, [Decode]);
  const { receiver } = stand.send(0);
  assert.ok(receiver.onHead(200, { sealed: "yes" }));
  receiver.onData(Buffer.from("id: 1\ndata: a\n\n"));
  stand.exchange.endNow("stopping");
  assert.is(stand.answer.brokenOff, 1);
  assert.equal(stand.answer.refusals, []);
  assert.ok(stand.send(0).cancelled);
  assert.is(stand.endLines.length, 1);
});

// The engine that made the tokens was lost before the first, so they may have run. The prompt is read once more for
// another engine: that reading alone runs nothing, but the request as a whole may have run.
suite("an earlier send that may have run is not forgotten", () => {
  const stand = started(Stream, [Prefill, Decode, Decode]);
  handOver(stand.send(0));
  // Otherwise the other decode engine copies the prompt and reads what is left itself.
  stand.slowDecoding();
  stand.send(1).receiver.onBroken(serving.SendFate.Unknown, "reset");
  assert.is(stand.send(2).endpoint.role, Prefill);
  stand.exchange.endNow("stopping");
  assert.equal(stand.answer.refusals, [{ status: 502, headers: [] }]);
  assert.ok(stand.send(2).cancelled);
});

suite("a request that has ended is not ended again", () => {
  const stand = started(Idempotent, [None]);
  const { receiver } = stand.send(0);
  assert.ok(receiver.onHead(200, { sealed: "yes", "content-length": "4" }));
  receiver.onData(Buffer.from("done"));
  receiver.onEnd();
  assert.is(stand.endLines.length, 1);
  stand.exchange.endNow("stopping");
  stand.exchange.endNow("stopping");
  assert.equal(stand.answer.refusals, []);
  assert.is(stand.answer.brokenOff, 0);
  assert.is(stand.endLines.length, 1);
});

// A decision or a library throws while one request is served: uncaught, it ended the daemon with all its callers ("ended
// by itself: code 1"), as a caller's odd token counts did. It costs this request only, which has not run and is told so.
suite("a fault while it is served costs one request, and no daemon", () => {
  const stand = new stands.ExchangeStand(NonIdempotent, [None]);
  stand.failNextSend(new TypeError("sizeCalculation return invalid"));
  stand.exchange.start();
  assert.is(stand.answer.refusals[0]?.status, 503);
  assert.is(stand.running, 0);
  assert.match(stand.endLines[0] ?? "", /outcome=request-fault status=503/);
});

suite.run();
