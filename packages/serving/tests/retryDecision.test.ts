import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("next step after a send without an answer");

const inputs = fastCheck.record({
  mayHaveRun: fastCheck.boolean(),
  requestClass: fastCheck.constantFrom(...Object.values(serving.RequestClass)),
  resumable: fastCheck.boolean(),
  sends: fastCheck.integer({ min: 0, max: 4 }),
  attempts: fastCheck.integer({ min: 1, max: 4 }),
  remainingMs: fastCheck.integer({ min: -100, max: 2_000 }),
  hasOtherEndpoint: fastCheck.boolean(),
  hasBudget: fastCheck.boolean(),
});

// A caller that is told "not run" sends its call again. If an earlier send had reached an endpoint with an unknown
// outcome, the call could run twice; so a request is only rejected if every send is known not to have run.
suite("a request that may have run is never reported as not run", () => {
  fastCheck.assert(
    fastCheck.property(inputs, ({ hasBudget, ...given }) => {
      const step = serving.nextStep({ ...given, isRepeatable: serving.mayRetry(given), spendRetry: () => hasBudget });
      if (given.mayHaveRun) assert.is.not(step, serving.NextStep.Reject);
      else assert.ok(step === serving.NextStep.Reject || step === serving.NextStep.SendAgain);
    }),
    { seed: 1 },
  );
});

// An endpoint breaks the connection after it has read a label print. If it were retried, the label could be printed
// twice.
suite("a request that may run only once is not retried once it may have run", () => {
  fastCheck.assert(
    fastCheck.property(inputs, ({ hasBudget, ...given }) => {
      const step = serving.nextStep({ ...given, isRepeatable: serving.mayRetry(given), spendRetry: () => hasBudget });
      if (step === serving.NextStep.SendAgain && given.mayHaveRun) assert.ok(serving.mayRetry(given));
    }),
    { seed: 2 },
  );
});

suite("a request is sent to no more endpoints than its route allows, and not retried without budget", () => {
  fastCheck.assert(
    fastCheck.property(inputs, ({ hasBudget, ...given }) => {
      let wasAsked = false;
      const spendRetry = (): boolean => {
        wasAsked = true;
        return hasBudget;
      };
      const step = serving.nextStep({ ...given, isRepeatable: serving.mayRetry(given), spendRetry });
      if (step !== serving.NextStep.SendAgain) return;
      assert.ok(given.sends < given.attempts);
      assert.ok(given.sends === 0 || (wasAsked && hasBudget));
    }),
    { seed: 3 },
  );
});

suite.run();
