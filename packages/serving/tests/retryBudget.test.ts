import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("the retry budget that daemons share without talking");
const BOUNDS = { ratio: 0.2, extra: 56, windowMs: 10_000 };

// All endpoints fail at once, and every daemon repeats as much as it may. Counted together, in any window, the
// repeats must stay within the operators' bound, or the failing service is buried under them.
suite("all daemons together stay within the bound in every window", () => {
  const load = fastCheck.record({
    daemons: fastCheck.integer({ min: 1, max: 12 }),
    everyMs: fastCheck.integer({ min: 20, max: 400 }),
  });
  fastCheck.assert(
    fastCheck.property(load, ({ daemons, everyMs }) => {
      const budgets = Array.from({ length: daemons }, () => new serving.SharedRetryBudget(BOUNDS, -BOUNDS.windowMs));
      const requests: number[] = [];
      const repeats: number[] = [];
      for (let now = 0; now < 30_000; now += everyMs) {
        for (const budget of budgets) {
          budget.noteRequest(now);
          requests.push(now);
          if (budget.spend(now, daemons)) repeats.push(now);
        }
      }
      for (const end of repeats) {
        const within = (instants: number[]): number =>
          instants.filter((at) => at > end - BOUNDS.windowMs && at <= end).length;
        assert.ok(within(repeats) <= BOUNDS.ratio * within(requests) + BOUNDS.extra);
      }
    }),
    { seed: 5, numRuns: 30 },
  );
});

// A daemon is killed and starts again: it doesn't know what its predecessor has spent of the extra.
suite("a daemon that has just started has only the ratio of its own requests", () => {
  const budget = new serving.SharedRetryBudget(BOUNDS, 0);
  assert.not.ok(budget.spend(10, 8));
  for (let index = 0; index < 10; index++) budget.noteRequest(20);
  assert.ok(budget.spend(30, 8));
  assert.not.ok(budget.spend(40, 8));
});

suite.run();
