import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("what follows a send without an answer");

const inputs = fastCheck.record({
  outcome: fastCheck.constantFrom(...Object.values(serving.SendOutcome)),
  mayHaveRun: fastCheck.boolean(),
  requestClass: fastCheck.constantFrom(...Object.values(serving.RequestClass)),
  resumable: fastCheck.boolean(),
  sends: fastCheck.integer({ min: 0, max: 4 }),
  attempts: fastCheck.integer({ min: 1, max: 4 }),
  remainingMs: fastCheck.integer({ min: -100, max: 2_000 }),
  hasOtherEndpoint: fastCheck.boolean(),
  budget: fastCheck.boolean(),
});

// A caller that hears "not run" sends its call again. If an earlier send had reached an endpoint and its fate is
// unknown, the call could run twice; so that word is given only when every send is known not to have run.
suite("a request that may have run is never said not to have run", () => {
  fastCheck.assert(
    fastCheck.property(inputs, ({ budget, ...given }) => {
      const step = serving.nextStep({ ...given, spendRetry: () => budget });
      const ran = given.mayHaveRun || given.outcome === serving.SendOutcome.Unknown;
      if (ran) assert.is.not(step, serving.NextStep.Reject);
      else assert.ok(step === serving.NextStep.Reject || step === serving.NextStep.SendAgain);
    }),
    { seed: 1 },
  );
});

// An endpoint breaks off after it has read a label print. Sent again, the label could come out twice.
suite("what may run once is not sent again once it may have run", () => {
  fastCheck.assert(
    fastCheck.property(inputs, ({ budget, ...given }) => {
      const step = serving.nextStep({ ...given, spendRetry: () => budget });
      const ran = given.mayHaveRun || given.outcome === serving.SendOutcome.Unknown;
      if (step === serving.NextStep.SendAgain && ran) assert.ok(serving.mayRetry(given));
    }),
    { seed: 2 },
  );
});

suite("no more endpoints get a request than its route allows, and no repeat without the budget", () => {
  fastCheck.assert(
    fastCheck.property(inputs, ({ budget, ...given }) => {
      let asked = false;
      const spendRepeat = (): boolean => {
        asked = true;
        return budget;
      };
      const step = serving.nextStep({ ...given, spendRetry: spendRepeat });
      if (step !== serving.NextStep.SendAgain) return;
      assert.ok(given.sends < given.attempts);
      assert.ok(given.sends === 0 || (asked && budget));
    }),
    { seed: 3 },
  );
});

suite.run();
