import * as fc from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as common from "../src/index.js";

const SEED = 71;
const MEGABYTE = 1_048_576;
const LIMIT = 64 * MEGABYTE;

/** Size of an ordinary caller's body, in bytes. */
const ORDINARY_BYTES = 12_000;

const suite = uvu.suite("memory of bodies");

suite("bodies are reserved by their stated length from the beginning", () => {
  const memory = new common.BodyMemory<number>(LIMIT);
  const taken = Array.from({ length: 160 }, (_, index) => memory.reserve(memory.open(index, 0), 4 * MEGABYTE, 0));
  assert.is(taken.filter((owners) => owners !== undefined).length, 15);
});

// Guards against a crowd that fills the room, stands still, and keeps ordinary callers out for as long as it stays.
suite("replay: 160 unfinished bodies of 4 MB stand still while ordinary callers come", () => {
  const memory = new common.BodyMemory<string>(LIMIT);
  for (let index = 0; index < 160; index++) memory.reserve(memory.open("crowd", 0), 4 * MEGABYTE, 0);
  let rejected = 0;
  for (let now = 0; now < 10_000; now += 5) {
    const holding = memory.open("ordinary", now);
    const yielding = memory.reserve(holding, ORDINARY_BYTES, now);
    if (yielding === undefined) rejected++;
    assert.not.ok(yielding?.includes("ordinary"));
    memory.complete(holding);
    memory.close(holding, now + 20);
  }
  assert.is(rejected, 0);
});

suite("replay: a large body of an ordinary caller takes the place of those that have stood still longest", () => {
  const memory = new common.BodyMemory<number>(LIMIT);
  for (let index = 0; index < 15; index++) memory.reserve(memory.open(index, index), 4 * MEGABYTE, index);
  assert.is(memory.reserve(memory.open(100, 500), 4 * MEGABYTE, 500), undefined);
  assert.equal(memory.reserve(memory.open(101, 1_500), 8 * MEGABYTE, 1_500), [0, 1]);
});

suite("a body that goes on isn't taken for one that stands still", () => {
  const memory = new common.BodyMemory<number>(LIMIT);
  const holdings = Array.from({ length: 15 }, (_, index) => memory.open(index, 0));
  for (const holding of holdings) memory.reserve(holding, 4 * MEGABYTE, 0);
  for (const holding of holdings.slice(1)) memory.noteProgress(holding, 1_200);
  assert.equal(memory.reserve(memory.open(100, 1_500), 4 * MEGABYTE, 1_500), [0]);
  assert.is(memory.reserve(memory.open(101, 1_500), 5 * MEGABYTE, 1_500), undefined);
});

suite(
  "beyond the share for small bodies the largest unfinished ones give way to smaller ones, not to their like",
  () => {
    const memory = new common.BodyMemory<number>(LIMIT);
    for (let index = 0; index < 3; index++) memory.reserve(memory.open(index, 0), 20 * MEGABYTE, 0);
    assert.equal(memory.reserve(memory.open(100, 0), MEGABYTE, 0), [0]);
    assert.is(memory.reserve(memory.open(101, 0), 40 * MEGABYTE, 0), undefined);
  },
);

// A body that has been read whole may have run: it can't be rejected any more.
suite("a complete body never gives way, however long it waits", () => {
  const memory = new common.BodyMemory<number>(LIMIT);
  for (let index = 0; index < 15; index++) {
    const holding = memory.open(index, 0);
    memory.reserve(holding, 4 * MEGABYTE, 0);
    memory.complete(holding);
  }
  assert.is(memory.reserve(memory.open(100, 9_000), MEGABYTE, 9_000), undefined);
  assert.equal(memory.reserve(memory.open(101, 9_000), ORDINARY_BYTES, 9_000), []);
});

suite("what is held for anything else counts towards the limit", () => {
  const memory = new common.BodyMemory<number>(LIMIT);
  assert.is(memory.reserve(memory.open(1, 0), MEGABYTE, 0, LIMIT), undefined);
  assert.equal(memory.reserve(memory.open(2, 0), MEGABYTE, 0, LIMIT / 2), []);
});

suite("a rejected body is told to come back when as much as it lacks has been released", () => {
  const memory = new common.BodyMemory<number>(LIMIT);
  assert.is(memory.retryAfterMs(4 * MEGABYTE), 1_000);
  const holdings = Array.from({ length: 15 }, (_, index) => memory.open(index, 0));
  for (const holding of holdings) memory.reserve(holding, 4 * MEGABYTE, 0);
  const [first] = holdings;
  if (first !== undefined) memory.close(first, 2_800);
  const again = memory.open(100, 2_800);
  memory.reserve(again, 4 * MEGABYTE, 2_800);
  // Sixty megabytes are released in 2.8 s, of which the next body lacks four.
  assert.ok(Math.abs(memory.retryAfterMs(4 * MEGABYTE) - 2_800 / 15) < 1);
  assert.is(memory.retryAfterMs(0), 100);
});

const event = fc.record({
  kind: fc.constantFrom("open", "grow", "complete", "close"),
  index: fc.nat(20),
  bytes: fc.integer({ min: 1, max: 5_000 }),
  afterMs: fc.nat(400),
});

suite("the total is that of the open bodies and within the limit, in any order of events", () => {
  fc.assert(
    fc.property(fc.array(event, { maxLength: 120 }), (events) => {
      const limit = 10_000;
      const memory = new common.BodyMemory<number>(limit);
      const open: common.BodyHolding<number>[] = [];
      const completed = new Set<number>();
      let now = 0;
      for (const [number, { afterMs, bytes, index, kind }] of events.entries()) {
        now += afterMs;
        const holding = open[index % Math.max(1, open.length)];
        if (kind === "open") open.push(memory.open(number, now));
        else if (holding !== undefined && kind === "grow" && !completed.has(holding.owner)) {
          const before = holding.bytes;
          const yielding = memory.reserve(holding, before + bytes, now);
          if (yielding === undefined) assert.is(holding.bytes, before);
          for (const owner of yielding ?? []) assert.not.ok(completed.has(owner) || owner === holding.owner);
        } else if (holding !== undefined && kind === "complete") {
          memory.complete(holding);
          completed.add(holding.owner);
        } else if (holding !== undefined && kind === "close") memory.close(holding, now);
        assert.is(
          memory.total,
          open.reduce((sum, each) => sum + each.bytes, 0),
        );
        assert.ok(memory.total <= limit);
      }
    }),
    { seed: SEED, numRuns: 500 },
  );
});

suite.run();
