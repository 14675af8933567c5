import * as serving from "@camphorcourse/serving";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as harnesses from "./helpers/exchangeHarness.js";

const { Decode, Prefill } = serving.EngineRole;

/** Deadline of the request, in milliseconds. */
const DEADLINE_MS = 400;

const suite = uvu.suite("a request whose deadline has passed");

function blockEventLoop(milliseconds: number): void {
  const until = performance.now() + milliseconds;
  while (performance.now() < until);
}

// The event loop lags: the prefill engine has answered in time, but its answer is handled only after the caller has
// given up, and before the deadline timer runs. The request was sent on to the decode engine, which worked for nobody:
// in one day eight requests reached an engine more than half a second after their callers had disconnected.
suite("is not sent on when the prefill engine's answer is handled too late", () => {
  const harness = new harnesses.ExchangeHarness(serving.RequestClass.Stream, [Prefill, Decode], DEADLINE_MS);
  harness.exchange.start();
  const prefill = harness.send(0);
  blockEventLoop(DEADLINE_MS * 1.25);
  assert.ok(prefill.receiver.onHead(200, {}));
  prefill.receiver.onData(Buffer.from("handle"));
  prefill.receiver.onEnd();
  assert.equal(
    harness.sends.map(({ path }) => path).filter((path) => !path.startsWith("/free/")),
    [prefill.path],
  );
  assert.is(harness.answer.refusals[0]?.status, 503, "the request has not run");
  assert.is(harness.running, 0);
});

suite.run();
