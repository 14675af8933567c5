import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("turning requests away");

/** Served in time when callers come faster than a queue drains, with and without turning away. */
function served(turningAway: boolean): number {
  const readMs = 60;
  const patienceMs = 2_400;
  let freeAt = 0;
  let answered = 0;
  const arrivals: { at: number; first: number; again: boolean }[] = [];
  for (let at = 0; at < 20_000; at += 45) arrivals.push({ at, first: at, again: false });
  // Callers that come back are put in while the list is walked.
  for (const { at, first, again } of arrivals) {
    const predictedMs = Math.max(0, freeAt - at) + readMs;
    const remainingMs = 10_000 - (at - first);
    const rejection = serving.judgeAdmission({ predictedMs, patienceMs, remainingMs, draw: 0.5 });
    if (turningAway && rejection !== undefined) {
      if (!again) insert(arrivals, { at: at + rejection.returnAfterMs, first, again: true });
      continue;
    }
    freeAt = Math.max(freeAt, at) + readMs;
    // A caller that has left is read for all the same: the engine learns of it when the prompt is read.
    if (freeAt - at <= patienceMs) answered++;
  }
  return answered;
}

function insert(arrivals: { at: number; first: number; again: boolean }[], one: (typeof arrivals)[number]): void {
  const index = arrivals.findIndex((each) => each.at > one.at);
  if (index < 0) arrivals.push(one);
  else arrivals.splice(index, 0, one);
}

// The load: for twenty seconds, a third more prompts come than can be read, and callers leave after 2.4 s without a
// first event. Taken all, the queue grows beyond their patience and every later one is read in vain.
suite("more callers are served when those that can't be are turned away at once", () => {
  assert.ok(served(true) > 1.5 * served(false), `${served(true)} against ${served(false)}`);
});

suite("what is predicted in time is taken", () => {
  fastCheck.assert(
    fastCheck.property(fastCheck.integer({ min: 1, max: 1_800 }), (predictedMs) => {
      const inputs = { predictedMs, patienceMs: 2_000, remainingMs: 8_000, draw: 0 };
      assert.is(serving.judgeAdmission(inputs), undefined);
    }),
    { seed: 7 },
  );
});

suite("callers that are turned away together come back apart", () => {
  const inputs = { predictedMs: 4_000, patienceMs: 2_000, remainingMs: 8_000 };
  const first = serving.judgeAdmission({ ...inputs, draw: 0 })?.returnAfterMs ?? 0;
  const last = serving.judgeAdmission({ ...inputs, draw: 0.99 })?.returnAfterMs ?? 0;
  assert.ok(first > 0 && last > 1.3 * first);
});

suite.run();
