import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("queue of calls that wait for room");

/** A request that can be in time until its deadline. */
function place(deadlineAt: number, options: Partial<serving.CallPlace> = {}): serving.CallPlace {
  return { level: 0, deadlineAt, inTimeUntil: deadlineAt, ...options };
}

suite("the earliest deadline goes first, and among equal ones the first that came", () => {
  const queue = new serving.CallQueue<string>();
  for (const [call, deadlineAt] of [
    ["c", 30],
    ["a", 10],
    ["b1", 20],
    ["b2", 20],
  ] as const)
    queue.add(call, place(deadlineAt));
  assert.equal(queue.inOrder(0), ["a", "b1", "b2", "c"]);
  assert.is(queue.countBefore(place(20), 0), 3);
  assert.is(queue.countBefore(place(5), 0), 0);
});

// By deadline alone, each request of a burst is sent when hardly any of its time is left, and few are in their objective.
suite("a request that can be in its objective goes before one that no longer can", () => {
  const queue = new serving.CallQueue<string>();
  queue.add("early", place(100, { inTimeUntil: 20 }));
  queue.add("late", place(200, { inTimeUntil: 120 }));
  assert.equal(queue.inOrder(20), ["early", "late"]);
  assert.equal(queue.inOrder(21), ["late", "early"]);
  assert.is(queue.countBefore(place(300, { inTimeUntil: 220 }), 21), 1);
});

suite("a lower level goes first, whatever is in time", () => {
  const queue = new serving.CallQueue<string>();
  queue.add("second rank", place(50, { level: 1 }));
  queue.add("first rank", place(100, { inTimeUntil: 0 }));
  assert.equal(queue.inOrder(10), ["first rank", "second rank"]);
});

// A daemon that keeps more would hold them, and their bodies, until their deadlines.
suite("no more than 64 wait", () => {
  const queue = new serving.CallQueue<number>();
  for (let call = 0; call < serving.MAX_WAITING_CALLS; call++) assert.ok(queue.add(call, place(call)));
  assert.ok(queue.isFull);
  assert.not(queue.add(100, place(0)));
  assert.ok(queue.remove(5));
  assert.not(queue.remove(5));
  assert.not(queue.has(5));
  assert.ok(queue.add(100, place(-1)));
  assert.ok(queue.has(100));
  assert.is(queue.inOrder(-2)[0], 100);
});

suite("the order is that of level, time left for the objective and deadline, whatever is added and removed", () => {
  const added = fastCheck.record({
    level: fastCheck.integer({ min: 0, max: 3 }),
    deadlineAt: fastCheck.integer({ min: 0, max: 20 }),
    inTimeUntil: fastCheck.integer({ min: 0, max: 20 }),
  });
  const steps = fastCheck.array(fastCheck.oneof(added, fastCheck.integer({ min: 0, max: 20 })), { maxLength: 200 });
  fastCheck.assert(
    fastCheck.property(steps, fastCheck.integer({ min: 0, max: 20 }), (each, now) => {
      const queue = new serving.CallQueue<serving.CallPlace>();
      for (const step of each) {
        if (typeof step !== "number") queue.add(step, step);
        else
          queue
            .inOrder(now)
            .slice(step, step + 1)
            .forEach((call) => queue.remove(call));
        const keys = queue
          .inOrder(now)
          .map(({ level, inTimeUntil, deadlineAt }) => 1_000 * level + (now > inTimeUntil ? 100 : 0) + deadlineAt);
        assert.equal(
          keys,
          keys.toSorted((left, right) => left - right),
        );
        assert.ok(queue.size <= serving.MAX_WAITING_CALLS);
      }
    }),
  );
});

suite.run();
