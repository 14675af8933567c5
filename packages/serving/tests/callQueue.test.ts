import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("queue of calls that wait for room");

suite("the earliest deadline goes first, and among equal ones the first that came", () => {
  const queue = new serving.CallQueue<string>();
  for (const [call, deadlineAt] of [
    ["c", 30],
    ["a", 10],
    ["b1", 20],
    ["b2", 20],
  ] as const)
    queue.add(call, deadlineAt);
  assert.equal(queue.inOrder(), ["a", "b1", "b2", "c"]);
  assert.is(queue.countBefore(20), 3);
  assert.is(queue.countBefore(5), 0);
});

// A daemon that keeps more would hold them, and their bodies, until their deadlines.
suite("no more than 64 wait", () => {
  const queue = new serving.CallQueue<number>();
  for (let call = 0; call < serving.MAX_WAITING_CALLS; call++) assert.ok(queue.add(call, call));
  assert.ok(queue.isFull);
  assert.not(queue.add(100, 0));
  assert.ok(queue.remove(5));
  assert.not(queue.remove(5));
  assert.ok(queue.add(100, -1));
  assert.is(queue.inOrder()[0], 100);
});

suite("the order is that of the deadlines, whatever is added and removed", () => {
  const steps = fastCheck.array(
    fastCheck.record({ isAdded: fastCheck.boolean(), value: fastCheck.integer({ min: 0, max: 20 }) }),
    { maxLength: 200 },
  );
  fastCheck.assert(
    fastCheck.property(steps, (each) => {
      const queue = new serving.CallQueue<{ readonly deadlineAt: number }>();
      for (const { isAdded, value } of each) {
        if (isAdded) queue.add({ deadlineAt: value }, value);
        else
          queue
            .inOrder()
            .slice(value, value + 1)
            .forEach((call) => queue.remove(call));
        const deadlines = queue.inOrder().map(({ deadlineAt }) => deadlineAt);
        assert.equal(
          deadlines,
          deadlines.toSorted((left, right) => left - right),
        );
        assert.ok(queue.size <= serving.MAX_WAITING_CALLS);
      }
    }),
  );
});

suite.run();
