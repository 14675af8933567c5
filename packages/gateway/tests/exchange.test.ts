import * as serving from "@camphorcourse/serving";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as harnesses from "./helpers/exchangeHarness.js";

const { Decode, None, Prefill } = serving.EngineRole;
const { Idempotent, NonIdempotent, Stream } = serving.RequestClass;

const suite = uvu.suite("a request that is ended before its answer is complete");

function startedExchange(
  requestClass: serving.RequestClass,
  roles: readonly serving.EngineRole[],
): harnesses.ExchangeHarness {
  const harness = new harnesses.ExchangeHarness(requestClass, roles);
  harness.exchange.start();
  return harness;
}

// The process is about to end while an endpoint may be running the request. The caller must not be told that it has not
// run, and the send is cancelled.
for (const requestClass of [Idempotent, NonIdempotent]) {
  suite(`a send under way may have run: ${requestClass} gets 502`, () => {
    const harness = startedExchange(requestClass, [None]);
    harness.exchange.endNow("stopping");
    assert.equal(harness.answer.refusals, [{ status: 502, headers: [] }]);
    assert.ok(harness.send(0).cancelled);
    assert.is(harness.running, 0);
    assert.is(harness.endLines.length, 1);
    assert.match(harness.endLines[0] ?? "", /outcome=stopping status=502/);
  });
}

// The engine's own failure of a prefill counts as a run, and it may be on its way: nothing proves that the request has not run.
suite("a request whose prefill is under way isn't rejected as not run: 502", () => {
  const harness = startedExchange(Stream, [Prefill, Decode]);
  assert.is(harness.sends.length, 1);
  harness.exchange.endNow("stopping");
  assert.equal(harness.answer.refusals, [{ status: 502, headers: [] }]);
  assert.ok(harness.send(0).cancelled);
  assert.is(harness.running, 0);
  assert.match(harness.endLines[0] ?? "", /outcome=stopping status=502 .*sent=e0:prefill:unanswered/);
});

// Guards against a run that begins when a stopping daemon has no time left for it.
suite("a request whose prompt was prefilled after the last time to run it is rejected as not run", () => {
  const harness = startedExchange(Stream, [Prefill, Decode]);
  harness.exchange.endUnsent("stopping");
  assert.equal(harness.answer.refusals, []);
  finishPrefill(harness.send(0));
  assert.is(harness.answer.refusals[0]?.status, 503);
  assert.equal(
    harness.sends.map(({ path }) => path),
    ["/x", "/free/handle"],
  );
});

suite("a request whose prefill and run were declined has not run: 503 with Retry-After", () => {
  const harness = startedExchange(Stream, [Prefill, Decode]);
  finishPrefill(harness.send(0));
  decline(harness.send(1));
  assert.is(harness.answer.refusals.length, 1);
  assert.is(harness.answer.refusals[0]?.status, 503);
  assert.is(harness.answer.refusals[0]?.headers[0], "retry");
  assert.match(harness.answer.refusals[0]?.headers[1] ?? "", /^0\.\d{3}$/);
  assert.is(harness.running, 0);
  assert.match(harness.endLines[0] ?? "", /status=503 .*sent="?e0:prefill:prefilled e1:run:declined/);
});

/** Answers a prefill as finished. */
function finishPrefill(prefill: harnesses.RecordedSend): void {
  assert.ok(prefill.receiver.onHead(200, {}));
  prefill.receiver.onData(Buffer.from("handle"));
  prefill.receiver.onEnd();
}

// The decode engine may have begun. The KV cache that the prefill engine holds for it is freed.
suite("a request handed over to a decode engine may have run: 502", () => {
  const harness = startedExchange(Stream, [Prefill, Decode]);
  finishPrefill(harness.send(0));
  assert.is(harness.sends.length, 2);
  harness.exchange.endNow("stopping");
  assert.equal(harness.answer.refusals, [{ status: 502, headers: [] }]);
  assert.ok(harness.send(1).cancelled);
  assert.is(harness.send(2).path, "/free/handle");
});

suite("a stream that has begun is aborted", () => {
  const harness = startedExchange(Stream, [Decode]);
  const { receiver } = harness.send(0);
  assert.ok(receiver.onHead(200, { sealed: "yes" }));
  receiver.onData(Buffer.from("id: 1\ndata: a\n\n"));
  harness.exchange.endNow("stopping");
  assert.is(harness.answer.aborts, 1);
  assert.equal(harness.answer.refusals, []);
  assert.ok(harness.send(0).cancelled);
  assert.is(harness.endLines.length, 1);
});

// The decode engine was lost before the first token, so the request may have run. The second prefill alone runs
// nothing, but the request as a whole may have run.
suite("a request stays marked as possibly run while it is sent again", () => {
  const harness = startedExchange(Stream, [Prefill, Decode, Decode]);
  finishPrefill(harness.send(0));
  // Otherwise the other decode engine would copy the cached prompt and prefill the rest itself.
  harness.slowDownDecodeEngines();
  harness.send(1).receiver.onBroken(serving.SendOutcome.Unknown, "reset");
  assert.is(harness.send(2).endpoint.role, Prefill);
  harness.exchange.endNow("stopping");
  assert.equal(harness.answer.refusals, [{ status: 502, headers: [] }]);
  assert.ok(harness.send(2).cancelled);
});

suite("a request is ended only once", () => {
  const harness = startedExchange(Idempotent, [None]);
  const { receiver } = harness.send(0);
  assert.ok(receiver.onHead(200, { sealed: "yes", "content-length": "4" }));
  receiver.onData(Buffer.from("done"));
  receiver.onEnd();
  assert.is(harness.endLines.length, 1);
  harness.exchange.endNow("stopping");
  harness.exchange.endNow("stopping");
  assert.equal(harness.answer.refusals, []);
  assert.is(harness.answer.aborts, 0);
  assert.is(harness.endLines.length, 1);
});

// An error thrown while one request is served, by a decision or a library, went uncaught and ended the daemon with all
// its callers' requests (exit code 1); a caller's invalid token counts caused it. It must fail this request only, as
// not run.
suite("an error thrown while a request is served fails this request only", () => {
  const harness = new harnesses.ExchangeHarness(NonIdempotent, [None]);
  harness.failNextSend(new TypeError("sizeCalculation return invalid"));
  harness.exchange.start();
  assert.is(harness.answer.refusals[0]?.status, 503);
  assert.is(harness.running, 0);
  assert.match(harness.endLines[0] ?? "", /outcome=request-fault status=503/);
});

/** An answer of an engine that has not run the request. */
function decline({ receiver }: harnesses.RecordedSend): void {
  assert.ok(receiver.onHead(503, {}));
  receiver.onEnd();
}

// Endpoints that shed load: each retry whose prompt is prefilled again reaches two engines, and the budget counts both.
suite("a prompt is prefilled again only if the retry budget allows that call, too", () => {
  for (const { retries, role } of [
    { retries: 1, role: Decode },
    { retries: 2, role: Prefill },
  ]) {
    const harness = startedExchange(Stream, [Prefill, Decode, Decode]);
    harness.slowDownDecodeEngines();
    harness.leaveRetries(retries);
    finishPrefill(harness.send(0));
    decline(harness.send(1));
    const again = harness.sends.filter(({ path }) => !path.startsWith("/free/"))[2];
    assert.is(again?.endpoint.role, role, `${retries} retries left`);
  }
});

// Guards against an aborted answer whose cause no log tells.
suite("the log of an aborted answer names the decision, the endpoints, the events and the configurations", () => {
  const harness = startedExchange(Stream, [Decode]);
  const { endpoint, receiver } = harness.send(0);
  assert.ok(receiver.onHead(200, { sealed: "yes" }));
  receiver.onData(Buffer.from("id: 7\ndata: a\n\n"));
  receiver.onBroken(serving.SendOutcome.Unknown, "reset");
  assert.is(harness.answer.aborts, 1);
  const [line = ""] = harness.linesOf("answer-aborted");
  assert.match(line, new RegExp(`reason=endpoint-failed .*endpoints=${endpoint.id} events=1 after=7 .*loopLateMs=0`));
  assert.match(line, /acceptedUnder=1 configuration=1/);
  assert.match(harness.metricsText, /answers_aborted 1/);
});

suite.run();
