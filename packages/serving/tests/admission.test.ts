import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("request admission");

// When requests arrive much faster than the queue drains, a caller that will have left or passed its deadline before its
// turn is rejected at once instead of waiting in vain.
suite("requests that can't be served in time are rejected at once", () => {
  const callerTimeoutMs = 2_400;
  const afterTimeout = serving.checkAdmission({
    predictedMs: 7_000,
    unloadedMs: 200,
    isLearned: true,
    callerTimeoutMs: callerTimeoutMs,
    remainingMs: 10_000,
    draw: 0,
  });
  const afterDeadline = serving.checkAdmission({
    predictedMs: 1_000,
    unloadedMs: 200,
    isLearned: true,
    callerTimeoutMs: callerTimeoutMs,
    remainingMs: 900,
    draw: 0,
  });
  assert.ok(afterTimeout !== undefined && afterDeadline !== undefined);
});

// Callers of streams wait for at least four times the objective. A request that is predicted in time, or late by up to
// as much again, is never rejected: a late answer is still an answer.
suite("requests predicted within half of the caller timeout are accepted", () => {
  fastCheck.assert(
    fastCheck.property(fastCheck.integer({ min: 1, max: 1_000 }), (predictedMs) => {
      const inputs = {
        predictedMs,
        unloadedMs: 100,
        isLearned: true,
        callerTimeoutMs: 2_000,
        remainingMs: 8_000,
        draw: 0,
      };
      assert.is(serving.checkAdmission(inputs), undefined);
    }),
    { seed: 7 },
  );
});

// In an overload, each prompt that is prefilled just before its caller gives up makes those behind it late too, until all
// of them are.
suite("requests that would wait for most of the caller timeout are rejected", () => {
  const inputs = {
    predictedMs: 1_500,
    unloadedMs: 300,
    isLearned: true,
    callerTimeoutMs: 2_000,
    remainingMs: 8_000,
    draw: 0,
  };
  assert.ok(serving.checkAdmission(inputs) !== undefined);
});

// The prefill of the largest prompts takes most of the caller timeout by itself. Judged by the total time alone, they
// would be rejected by an idle fleet.
suite("a long prompt with little queued before it is accepted, unless its caller would have left", () => {
  const inputs = { callerTimeoutMs: 2_000, remainingMs: 8_000, draw: 0 };
  assert.is(serving.checkAdmission({ ...inputs, predictedMs: 1_700, unloadedMs: 1_600, isLearned: true }), undefined);
  assert.ok(
    serving.checkAdmission({ ...inputs, predictedMs: 2_100, unloadedMs: 2_050, isLearned: true }) !== undefined,
  );
});

// Guards against taking a first try that was read late for a retry: both have less time left than their route allows.
suite("the time that a caller has spent decides only whether the answer can come before its deadline", () => {
  const limits = { unloadedMs: 300, isLearned: true, callerTimeoutMs: 2_000, draw: 0 };
  fastCheck.assert(
    fastCheck.property(
      fastCheck.integer({ min: 1, max: 3_000 }),
      fastCheck.integer({ min: 1, max: 8_000 }),
      (predictedMs, remainingMs) => {
        const isAccepted = serving.checkAdmission({ ...limits, predictedMs, remainingMs }) === undefined;
        const isAcceptedAtOnce = serving.checkAdmission({ ...limits, predictedMs, remainingMs: 8_000 }) === undefined;
        assert.is(isAccepted, isAcceptedAtOnce && predictedMs <= remainingMs);
      },
    ),
    { seed: 52 },
  );
});

// A daemon that has just started predicts from priors. If it rejected all long prompts because of them, it would never
// learn the engines' speeds.
suite("a prediction from priors rejects hardly any request", () => {
  const inputs = {
    unloadedMs: 2_800,
    callerTimeoutMs: 2_000,
    remainingMs: 9_000,
    isLearned: false,
    draw: 0,
  };
  assert.is(serving.checkAdmission({ ...inputs, predictedMs: 2_800 }), undefined);
  assert.ok(serving.checkAdmission({ ...inputs, predictedMs: 5_100 }) !== undefined);
});

suite("callers that are rejected together get different retry times", () => {
  const inputs = {
    predictedMs: 7_000,
    unloadedMs: 200,
    isLearned: true,
    callerTimeoutMs: 2_000,
    remainingMs: 8_000,
  };
  const first = serving.checkAdmission({ ...inputs, draw: 0 })?.retryAfterMs ?? 0;
  const last = serving.checkAdmission({ ...inputs, draw: 0.99 })?.retryAfterMs ?? 0;
  assert.ok(first > 0 && last > 1.3 * first);
});

suite.run();
