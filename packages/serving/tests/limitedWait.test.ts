import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("requests whose endpoints all limit what they take");
const INPUTS = { readyInMs: 300, ahead: 0, ownRatePerSecond: 2, limitPerSecond: 4, maxWaitMs: 1_000, draw: 0 };

function retryAfterMs(inputs: serving.LimitedWaitInputs): number {
  const decision = serving.decideLimitedWait(inputs);
  assert.ok(decision.isErr(), "it is rejected");
  return decision.isErr() ? decision.error.retryAfterMs : 0;
}

suite("one whose turn comes in time waits", () => {
  assert.is(serving.decideLimitedWait(INPUTS).unwrapOr(0), 300);
  assert.is(serving.decideLimitedWait({ ...INPUTS, ahead: 1 }).unwrapOr(0), 800);
});

// A burst of callers before endpoints with limits: those that can't be served in time don't wait for their deadline.
suite("one whose turn would come too late is rejected at once, and told when the queue will have passed", () => {
  assert.is(retryAfterMs({ ...INPUTS, ahead: 2 }), 1_300);
});

suite("a daemon without a part of the limits rejects, with the time in which the endpoints take one request", () => {
  const inputs = { ...INPUTS, readyInMs: Infinity, ownRatePerSecond: 0 };
  assert.is(retryAfterMs(inputs), 250);
  assert.is(retryAfterMs({ ...inputs, limitPerSecond: 0 }), 2_500);
});

suite("a stream may wait for half of its caller's patience, other requests for half of their time", () => {
  const stream = { requestClass: serving.RequestClass.Stream, objectiveMs: 600, pauseMs: 300 };
  assert.is(serving.longestLimitedWaitMs(stream, 10_000, 0), 1_200);
  assert.is(serving.longestLimitedWaitMs(stream, 500, 0), 500);
  assert.is(serving.longestLimitedWaitMs(stream, 9_000, 1_000), 200);
  const call = { requestClass: serving.RequestClass.NonIdempotent, objectiveMs: 200, pauseMs: 0 };
  assert.is(serving.longestLimitedWaitMs(call, 1_000, 0), 500);
});

suite.run();
