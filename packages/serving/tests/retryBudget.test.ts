import * as v8 from "node:v8";
import * as vm from "node:vm";
import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("shared retry budget");
/** Number of requests that would take 8 bytes each if their instants were kept. */
const REQUESTS = 3_000_000;
const MAX_GROWN_BYTES = 500_000;

v8.setFlagsFromString("--expose-gc");
const collectGarbage = vm.runInNewContext("gc") as () => void;

const BOUNDS = { ratio: 0.2, extra: 56, windowMs: 10_000 };

// When all endpoints fail at once, every daemon retries as much as it may. In any window, the retries of all daemons
// together must stay within the operators' limit, or they overload the failing service.
suite("all daemons together stay within the limit in every window", () => {
  const load = fastCheck.record({
    daemons: fastCheck.integer({ min: 1, max: 12 }),
    everyMs: fastCheck.integer({ min: 20, max: 400 }),
  });
  fastCheck.assert(
    fastCheck.property(load, ({ daemons, everyMs }) => {
      const budgets = Array.from({ length: daemons }, () => new serving.SharedRetryBudget(BOUNDS, -BOUNDS.windowMs));
      const requests: number[] = [];
      const retries: number[] = [];
      for (let now = 0; now < 30_000; now += everyMs) {
        for (const budget of budgets) {
          budget.noteRequest(now);
          requests.push(now);
          if (budget.spend(now, daemons)) retries.push(now);
        }
      }
      for (const end of retries) {
        const countInWindow = (instants: number[]): number =>
          instants.filter((at) => at > end - BOUNDS.windowMs && at <= end).length;
        assert.ok(countInWindow(retries) <= BOUNDS.ratio * countInWindow(requests) + BOUNDS.extra);
      }
    }),
    { seed: 5, numRuns: 30 },
  );
});

// A daemon that restarts doesn't know how much of the extra its predecessor has spent.
suite("a daemon that has just started may only retry by the ratio of its own requests", () => {
  const budget = new serving.SharedRetryBudget(BOUNDS, 0);
  assert.not.ok(budget.spend(10, 8));
  for (let index = 0; index < 10; index++) budget.noteRequest(20);
  assert.ok(budget.spend(30, 8));
  assert.not.ok(budget.spend(40, 8));
});

// Guards against memory that grows with each request of a service for which no retry is considered.
suite("requests without a retry take no memory beyond one window", () => {
  const budget = new serving.SharedRetryBudget(BOUNDS, 0);
  const heldBytes = (): number => {
    collectGarbage();
    return process.memoryUsage().heapUsed;
  };
  const before = heldBytes();
  for (let index = 0; index < REQUESTS; index++) budget.noteRequest(index);
  const grownBytes = heldBytes() - before;
  assert.ok(budget.spend(REQUESTS, 8));
  assert.ok(grownBytes < MAX_GROWN_BYTES, `${grownBytes} bytes`);
});

suite.run();
