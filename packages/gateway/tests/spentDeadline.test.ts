import * as serving from "@camphorcourse/serving";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as harnesses from "./helpers/exchangeHarness.js";

const { Decode, Prefill } = serving.EngineRole;

/** Deadline of the request, in milliseconds. */
const DEADLINE_MS = 400;

/** Deadline that is below the time that endpoints usually take, in milliseconds. */
const SHORT_DEADLINE_MS = 40;
const USUAL_MS = 20_000;

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

const sleep = (milliseconds: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, milliseconds));

/** Waits until the deadline timer has ended the request. */
async function waitForEnd(harness: harnesses.ExchangeHarness): Promise<void> {
  while (harness.endLines.length === 0) await sleep(5);
}

// A configuration lowers a route's timeout below the time that its endpoints usually take. Each request that ended at it
// marked a sound endpoint as silent, until all endpoints of the service counted as unhealthy.
for (const requestClass of [serving.RequestClass.Idempotent, serving.RequestClass.NonIdempotent]) {
  suite(`says nothing against an endpoint that usually takes longer: ${requestClass}`, async () => {
    const harness = new harnesses.ExchangeHarness(requestClass, [serving.EngineRole.None], SHORT_DEADLINE_MS);
    harness.answerTimes.learn("e0", USUAL_MS);
    harness.exchange.start();
    await waitForEnd(harness);
    assert.is(harness.answer.refusals[0]?.status, 504);
    assert.not(harness.isUnhealthy("e0"));
  });
}

// A deadline that is long enough must still tell an endpoint that has failed silently: requests would go on to it.
suite("shows an endpoint to be silent that usually answers sooner", async () => {
  const harness = new harnesses.ExchangeHarness(
    serving.RequestClass.NonIdempotent,
    [serving.EngineRole.None],
    SHORT_DEADLINE_MS,
  );
  harness.answerTimes.learn("e0", 1);
  harness.exchange.start();
  await waitForEnd(harness);
  assert.ok(harness.isUnhealthy("e0"));
});

suite.run();
