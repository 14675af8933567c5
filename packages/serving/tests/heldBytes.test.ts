import * as fc from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const SEED = 62;

/** Memory of a VM of which 1,000 bytes may be held. */
const MEMORY = 4_000;

const suite = uvu.suite("bytes held for callers");

suite("no body is taken beyond a quarter of the VM's memory", () => {
  const held = new serving.HeldBytes<string>(MEMORY);
  assert.is(held.limit, 1_000);
  assert.ok(held.mayTake(1_000));
  held.addRequest("a", 400);
  held.addAnswer("b", 300);
  assert.not.ok(held.mayTake(301));
  held.addRequest("a", -400);
  assert.ok(held.mayTake(700));
});

suite("streams are read on for slow callers within a quarter of the limit", () => {
  const held = new serving.HeldBytes<string>(MEMORY);
  held.noteUnsent("a", 249, 0, 0);
  assert.ok(held.mayReadAhead);
  held.noteUnsent("a", 250, 0, 0);
  assert.not.ok(held.mayReadAhead);
});

suite("within the limit no answer is broken off, however slowly it is read", () => {
  const held = new serving.HeldBytes<string>(MEMORY);
  held.noteUnsent("a", 1_000, 0, 0);
  assert.is(held.connectionToBreak(60_000), undefined);
});

// A caller with a large answer that reads fast must not pay for one that doesn't read.
suite("beyond the limit the slowest reader's answer is broken off, not the largest", () => {
  const held = new serving.HeldBytes<string>(MEMORY);
  held.noteUnsent("fast", 900, 0, 0);
  held.noteUnsent("slow", 200, 0, 0);
  held.noteUnsent("fast", 800, 5_000, 1_000);
  held.noteUnsent("slow", 201, 10, 1_000);
  assert.is(held.connectionToBreak(1_000), "slow");
  held.forget("slow");
  assert.is(held.connectionToBreak(1_000), undefined);
});

suite("of those that don't read at all, the one that holds the most", () => {
  const held = new serving.HeldBytes<string>(MEMORY);
  for (const [connection, bytes] of Object.entries({ a: 300, b: 500, c: 400 }))
    held.noteUnsent(connection, bytes, 0, 0);
  assert.is(held.connectionToBreak(500), "b");
});

// An answer that is just being handed to its caller is unsent as a whole for a moment.
suite("an answer whose caller has only just begun to lag isn't broken off", () => {
  const held = new serving.HeldBytes<string>(MEMORY);
  held.noteUnsent("slow", 100, 0, 0);
  held.noteUnsent("new", 5_000, 0, 1_000);
  assert.is(held.connectionToBreak(1_000), "slow");
  held.forget("slow");
  assert.is(held.connectionToBreak(1_199), undefined);
  assert.is(held.connectionToBreak(1_200), "new");
});

suite("requests alone break no answer off", () => {
  const held = new serving.HeldBytes<string>(MEMORY);
  held.addRequest("a", 1_500);
  assert.is(held.connectionToBreak(0), undefined);
});

// A total that drifts would one day reject all bodies, or none.
suite("the total is the sum of what is held, in any order of changes", () => {
  const change = fc.record({
    kind: fc.constantFrom("request", "answer", "unsent", "forget"),
    connection: fc.constantFrom("a", "b", "c"),
    bytes: fc.integer({ min: -300, max: 900 }),
  });
  fc.assert(
    fc.property(fc.array(change, { maxLength: 60 }), (changes) => {
      const held = new serving.HeldBytes<string>(MEMORY);
      const expected = new Map<string, { request: number; answer: number; unsent: number }>();
      for (const [now, { kind, connection, bytes }] of changes.entries()) {
        const each = expected.get(connection) ?? { request: 0, answer: 0, unsent: 0 };
        expected.set(connection, each);
        if (kind === "request") {
          held.addRequest(connection, bytes);
          each.request = Math.max(0, each.request + bytes);
        } else if (kind === "answer") {
          held.addAnswer(connection, bytes);
          each.answer = Math.max(0, each.answer + bytes);
        } else if (kind === "unsent") {
          held.noteUnsent(connection, Math.max(0, bytes), now, now);
          each.unsent = Math.max(0, bytes);
        } else {
          held.forget(connection);
          expected.delete(connection);
        }
        const sum = [...expected.values()].reduce(
          (total, { request, answer, unsent }) => total + request + answer + unsent,
          0,
        );
        assert.is(held.total, sum);
        const broken = held.connectionToBreak(now);
        assert.ok(broken === undefined || (expected.get(broken)?.unsent ?? 0) > 0);
      }
    }),
    { seed: SEED, numRuns: 2_000 },
  );
});

suite.run();
