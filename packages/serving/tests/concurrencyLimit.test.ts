import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("limits of concurrent calls");
const SLOTS = 6;

/** Answers at an interval of 20 ms; returns the instant after the last. */
function answer(limit: serving.ConcurrencyLimit, count: number, tookMs: number, from = 0, running = SLOTS): number {
  for (let index = 0; index < count; index++) limit.onAnswer({ tookMs, running }, from + index * 20);
  return from + count * 20;
}

suite("a limit starts at the slots, and an endpoint without slots has one", () => {
  assert.is(new serving.GradientLimit(SLOTS).limit(0), SLOTS);
  assert.is(new serving.GradientLimit(0).limit(0), 1);
});

// Requests beyond what the endpoint can do wait in it until after their deadline.
suite("it falls while the shortest answers take longer than they did, and recovers afterwards", () => {
  const limit = new serving.GradientLimit(SLOTS);
  let now = answer(limit, 50, 21);
  const before = limit.limit(now);
  now = answer(limit, 50, 100, now);
  assert.ok(limit.limit(now) < before);
  assert.ok(limit.limit(now) < SLOTS);
  assert.is(limit.limit(now + 2_000), SLOTS - 1, "it approaches the slots");
});

// The tail of the work isn't waiting: a limit that fell with each long call would leave slots unused.
suite("single long calls don't lower it", () => {
  const limit = new serving.GradientLimit(SLOTS);
  for (let index = 0; index < 400; index++)
    limit.onAnswer({ tookMs: index % 4 === 0 ? 21 : 430, running: SLOTS }, index * 20);
  assert.ok(limit.limit(8_000) >= SLOTS);
});

suite("it rises to twice the slots at most, and only while it is used", () => {
  const used = new serving.GradientLimit(SLOTS);
  assert.is(used.limit(answer(used, 1_000, 21, 0, 2 * SLOTS)), 2 * SLOTS);
  const idle = new serving.GradientLimit(SLOTS);
  assert.is(idle.limit(answer(idle, 1_000, 21, 0, 1)), SLOTS);
});

// An endpoint that rejects what exceeds its slots has no queue, so that its answers never take longer.
suite("a decline halves it, declines of one burst count once, and it then stays within the slots", () => {
  const limit = new serving.GradientLimit(SLOTS);
  let now = answer(limit, 1_000, 21, 0, 2 * SLOTS);
  for (let decline = 0; decline < 5; decline++) limit.onDeclined(now + decline);
  assert.is(limit.limit(now + 5), SLOTS);
  now = answer(limit, 500, 21, now, 2 * SLOTS);
  assert.is(limit.limit(now), SLOTS);
  limit.onDeclined(now);
  assert.is(limit.limit(now), SLOTS / 2);
});

suite("it stays between 1 and twice the slots, whatever happens", () => {
  const events = fastCheck.array(
    fastCheck.record({
      tookMs: fastCheck.double({ min: 0, max: 100_000, noNaN: true }),
      running: fastCheck.integer({ min: 0, max: 200 }),
      pauseMs: fastCheck.integer({ min: 0, max: 5_000 }),
      isDeclined: fastCheck.boolean(),
    }),
    { maxLength: 300 },
  );
  for (const create of [serving.GradientLimit, serving.AimdLimit])
    fastCheck.assert(
      fastCheck.property(fastCheck.integer({ min: 1, max: 64 }), events, (slots, each) => {
        const limit = new create(slots);
        let now = 0;
        for (const { tookMs, running, pauseMs, isDeclined } of each) {
          now += pauseMs;
          if (isDeclined) limit.onDeclined(now);
          else limit.onAnswer({ tookMs, running }, now);
          const value = limit.limit(now);
          assert.ok(Number.isInteger(value) && value >= 1 && value <= 2 * slots, String(value));
        }
      }),
    );
});

const ENDPOINT = { id: "e", service: "s", slots: SLOTS };

suite("service times are learned without the wait in the endpoint, and known for new endpoints from the others", () => {
  const times = new serving.ServiceTimes();
  assert.is(times.serviceMs(ENDPOINT, 120), 30);
  assert.not(times.isLearned("s"));
  for (let index = 0; index < 100; index++) times.learn(ENDPOINT, 100, 2 * SLOTS);
  assert.ok(times.isLearned("s"));
  assert.ok(Math.abs(times.serviceMs(ENDPOINT, 120) - 50) < 1);
  assert.ok(Math.abs(times.serviceMs({ ...ENDPOINT, id: "new" }, 120) - 50) < 1);
  times.forget("e");
  times.retainServices(new Set());
  assert.is(times.serviceMs(ENDPOINT, 120), 30);
});

// The calls of an endpoint that has become very slow all end at their deadlines: its time would never be learned.
suite("a call that ends at its deadline raises the service time, and a short wait says nothing", () => {
  const times = new serving.ServiceTimes();
  for (let index = 0; index < 20; index++) times.learn(ENDPOINT, 50, 1);
  times.learnAtLeast(ENDPOINT, 20, 1);
  assert.is(Math.round(times.serviceMs(ENDPOINT, 120)), 50);
  for (let index = 0; index < 20; index++) times.learnAtLeast(ENDPOINT, 600, 1);
  assert.ok(times.serviceMs(ENDPOINT, 120) > 400);
});

suite.run();
