import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("usual times of endpoints' answers");
const EXPECTED_MS = 100;

function learned(times: readonly number[]): serving.AnswerTimes {
  const answerTimes = new serving.AnswerTimes();
  for (const each of times) answerTimes.learn("e", each);
  return answerTimes;
}

function judge(answerTimes: serving.AnswerTimes, waitedMs: number, expectedMs = EXPECTED_MS): boolean {
  return answerTimes.judgeDeadline("e", { waitedMs, expectedMs }).isSilent;
}

suite("nine of ten answers come within the usual time", () => {
  const answerTimes = learned(Array.from({ length: 2_000 }, (_, index) => (index * 37) % 1_000));
  const usualMs = answerTimes.usualMs("e") ?? 0;
  assert.ok(Math.abs(usualMs - 900) < 900 / 6, String(usualMs));
});

// A route's timeout is lowered to 400 ms while the endpoint takes 600: each request marked it as silent.
suite("a deadline before the usual time says nothing against the endpoint", () => {
  assert.not(judge(learned(new Array<number>(50).fill(600)), 400));
  assert.ok(judge(learned(new Array<number>(50).fill(100)), 400));
});

// An endpoint that has failed silently would never be marked on a day with short deadlines.
suite("short waits in vain add up to silence, unless an answer comes in between", () => {
  const failed = learned(new Array<number>(50).fill(600));
  const verdicts = Array.from({ length: 8 }, () => judge(failed, 400));
  assert.not(verdicts[0]);
  assert.ok(verdicts.at(-1));
  const alive = learned(new Array<number>(50).fill(600));
  for (let count = 0; count < 8; count++) {
    assert.not(judge(alive, 400));
    alive.learn("e", 600);
  }
});

suite("without any answer, the expected time decides", () => {
  assert.not(judge(learned([]), EXPECTED_MS - 1));
  assert.ok(judge(learned([]), EXPECTED_MS));
});

suite("the answers of one endpoint say nothing of another, and a forgotten one is unknown", () => {
  const answerTimes = learned([600]);
  assert.is(answerTimes.usualMs("other"), undefined);
  answerTimes.forget("e");
  assert.is(answerTimes.usualMs("e"), undefined);
});

suite("the usual time stays between the shortest answer and a little over twice the longest", () => {
  const times = fastCheck.array(fastCheck.integer({ min: 1, max: 10_000 }), { minLength: 1, maxLength: 200 });
  fastCheck.assert(
    fastCheck.property(times, (each) => {
      const usualMs = learned(each).usualMs("e") ?? 0;
      assert.ok(usualMs >= Math.min(...each) * 0.9 && usualMs <= Math.max(...each) * 2.2, String(usualMs));
    }),
  );
});

suite.run();
