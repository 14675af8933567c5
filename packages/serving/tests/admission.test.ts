import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("turning requests away");

// The load: callers come much faster than a queue drains. One whose turn comes after it has left for certain, or after
// its deadline, hears so at once instead of waiting in vain.
suite("what certainly can't be served in time is turned away at once", () => {
  const callerTimeoutMs = 2_400;
  const hopeless = serving.judgeAdmission({
    predictedMs: 7_000,
    unloadedMs: 200,
    isLearned: true,
    callerTimeoutMs: callerTimeoutMs,
    remainingMs: 10_000,
    routeMs: 10_000,
    draw: 0,
  });
  const tooLate = serving.judgeAdmission({
    predictedMs: 1_000,
    unloadedMs: 200,
    isLearned: true,
    callerTimeoutMs: callerTimeoutMs,
    remainingMs: 900,
    routeMs: 10_000,
    draw: 0,
  });
  assert.ok(hopeless !== undefined && tooLate !== undefined);
});

// Callers of streams wait for four objectives at least. One that is predicted in time, or late by as much again, is
// never sent away: a late answer is still an answer.
suite("what is predicted within half of the callers' patience is taken", () => {
  fastCheck.assert(
    fastCheck.property(fastCheck.integer({ min: 1, max: 1_000 }), (predictedMs) => {
      const inputs = {
        predictedMs,
        unloadedMs: 100,
        isLearned: true,
        callerTimeoutMs: 2_000,
        remainingMs: 8_000,
        routeMs: 8_000,
        draw: 0,
      };
      assert.is(serving.judgeAdmission(inputs), undefined);
    }),
    { seed: 7 },
  );
});

// The load: prompts come faster than they are read. Each that is read so late that its caller hardly waits for it makes
// those behind it late too, until all are.
suite("what would wait for most of the callers' patience is turned away", () => {
  const inputs = {
    predictedMs: 1_500,
    unloadedMs: 300,
    isLearned: true,
    callerTimeoutMs: 2_000,
    remainingMs: 8_000,
    routeMs: 8_000,
    draw: 0,
  };
  assert.ok(serving.judgeAdmission(inputs) !== undefined);
});

// The largest prompts take most of the callers' patience by themselves. Turned away by the time alone, they would be
// turned away by an idle fleet.
suite("a long prompt with little before it is taken, unless its caller would have left", () => {
  const inputs = { callerTimeoutMs: 2_000, remainingMs: 8_000, routeMs: 8_000, draw: 0 };
  assert.is(serving.judgeAdmission({ ...inputs, predictedMs: 1_700, unloadedMs: 1_600, isLearned: true }), undefined);
  assert.ok(
    serving.judgeAdmission({ ...inputs, predictedMs: 2_100, unloadedMs: 2_050, isLearned: true }) !== undefined,
  );
});

// A caller that was turned away has come back when it was told to, with less time left. Sent away again it gets nothing.
suite("a caller that has come back waits where a new one is turned away", () => {
  const inputs = {
    predictedMs: 1_200,
    unloadedMs: 300,
    isLearned: true,
    callerTimeoutMs: 2_000,
    routeMs: 8_000,
    draw: 0,
  };
  assert.ok(serving.judgeAdmission({ ...inputs, remainingMs: 8_000 }) !== undefined);
  assert.is(serving.judgeAdmission({ ...inputs, remainingMs: 6_800 }), undefined);
});

// A daemon that has just started knows engines by a prior only. Turned away by it, every long prompt would be, and with
// nothing read nothing would be learned.
suite("a prediction that nothing was learned for turns hardly anybody away", () => {
  const inputs = {
    unloadedMs: 2_800,
    callerTimeoutMs: 2_000,
    remainingMs: 9_000,
    routeMs: 9_000,
    isLearned: false,
    draw: 0,
  };
  assert.is(serving.judgeAdmission({ ...inputs, predictedMs: 2_800 }), undefined);
  assert.ok(serving.judgeAdmission({ ...inputs, predictedMs: 5_100 }) !== undefined);
});

suite("callers that are turned away together come back apart", () => {
  const inputs = {
    predictedMs: 7_000,
    unloadedMs: 200,
    isLearned: true,
    callerTimeoutMs: 2_000,
    remainingMs: 8_000,
    routeMs: 8_000,
  };
  const first = serving.judgeAdmission({ ...inputs, draw: 0 })?.retryAfterMs ?? 0;
  const last = serving.judgeAdmission({ ...inputs, draw: 0.99 })?.retryAfterMs ?? 0;
  assert.ok(first > 0 && last > 1.3 * first);
});

suite.run();
