import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const GRACE_MS = 8_000;

/** Time that a process ended by force would be late by, in milliseconds. */
const FORCED_AT_MS = GRACE_MS;

function stopAt(heardAt: number, graceMs = GRACE_MS, earliestAt = heardAt): serving.GracefulShutdown {
  return new serving.GracefulShutdown({ earliestAt, heardAt, graceMs });
}

const suite = uvu.suite("what a stopping daemon accepts");

// A stream of 8 s of patience came 2.2 s after the signal, ran for 5.1 s, and was cut when the process ended.
suite("a stream that may outlive the process is not accepted, however soon after the signal it comes", () => {
  const stop = stopAt(0);
  assert.is(stop.accepts(10_000), false);
  assert.is(stop.accepts(2_233 + 8_000), false);
  assert.is(stop.accepts(13_100), false);
});

suite("a call that is over in time is accepted to the end", () => {
  const stop = stopAt(0);
  assert.is(stop.accepts(6_000), true);
  assert.is(stop.accepts(6_900), true);
});

// A deadline within a turn of the daemon's end was looked at after the end: accepted and cut.
suite("a request whose deadline lies just before the last answers is not accepted", () => {
  assert.is(stopAt(0).accepts(7_190), false);
  assert.is(stopAt(0).accepts(7_400), false);
});

suite("what is accepted is over before the process is ended by force", () => {
  fastCheck.assert(
    fastCheck.property(
      fastCheck.integer({ min: 0, max: FORCED_AT_MS }),
      fastCheck.integer({ min: 0, max: 30_000 }),
      (now, patienceMs) => {
        const taken = stopAt(0).accepts(now + patienceMs);
        return !taken || now + patienceMs < FORCED_AT_MS;
      },
    ),
    { seed: 20_261, numRuns: 500 },
  );
});

suite("with little time, nothing long is accepted", () => {
  const stop = stopAt(0, 2_500);
  assert.is(stop.accepts(1_400), true);
  assert.is(stop.accepts(1_500), false);
  assert.is(stop.accepts(2_800), false);
});

suite("it stays for callers that are late, and ends once it is quiet", () => {
  const stop = stopAt(0);
  assert.is(stop.isOver({ open: 0, lastRequestAt: 0 }, 2_900), false);
  assert.is(stop.isOver({ open: 0, lastRequestAt: 2_900 }, 3_100), false);
  assert.is(stop.isOver({ open: 0, lastRequestAt: 2_300 }, 3_100), true);
  assert.is(stop.isOver({ open: 1, lastRequestAt: 2_300 }, 7_000), false);
  assert.is(stop.isOver({ open: 1, lastRequestAt: 2_300 }, 7_200), true);
  assert.is(stop.isOver({ open: 0, lastRequestAt: 6_300 }, 6_400), true);
});

// A daemon stood still for three seconds and hears only now that it is to stop; the signal may have come at any time
// in them. It takes as if it had come first, and gives last answers by then. A stream that has begun is not cut for
// it: if the signal came last, it still has three seconds.
suite("a signal heard late shortens what is accepted, not the streams that have begun", () => {
  const stop = stopAt(3_000, GRACE_MS, 0);
  assert.is(stop.accepts(13_000), false);
  assert.is(stop.accepts(6_900), true);
  assert.is(stop.accepts(7_300), false);
  assert.is(stop.endsUnbegun(7_100), false);
  assert.is(stop.endsUnbegun(7_200), true);
  assert.is(stop.isOver({ open: 1, lastRequestAt: 0 }, 10_100), false);
  assert.is(stop.isOver({ open: 1, lastRequestAt: 0 }, 10_200), true);
});

// A daemon stood still past the instant by which its answers leave. The answers of its open calls lie in its sockets,
// and timers have their turn before these: ended at the first look, each call is told that its answer is lost.
suite("after a standstill, open calls wait until the sockets have had their turn", () => {
  const stop = stopAt(0);
  stop.look(5_000);
  stop.look(7_210);
  assert.is(stop.endsUnbegun(7_210), false);
  assert.is(stop.isOver({ open: 1, lastRequestAt: 0 }, 7_210), false);
  stop.look(7_340);
  assert.is(stop.endsUnbegun(7_340), false);
  stop.look(7_460);
  assert.is(stop.endsUnbegun(7_460), true);
  assert.is(stop.isOver({ open: 1, lastRequestAt: 0 }, 7_460), true);
});

// The signal itself is heard only after a standstill that may have begun before it.
suite("a signal that is heard after the last answers should have left still leaves the sockets a turn", () => {
  const stop = stopAt(8_100, GRACE_MS, 0);
  stop.look(8_100);
  assert.is(stop.endsUnbegun(8_100), false);
  stop.look(8_230);
  stop.look(8_360);
  assert.is(stop.endsUnbegun(8_360), true);
});

// Answers are waited for only as long as there is time for the others' true final answers before the forced end.
suite("whatever stands still before its forced end, open calls are ended before it or at the second look", () => {
  const lookEveryMs = 25;
  const leavesMs = 200;
  fastCheck.assert(
    fastCheck.property(
      fastCheck.array(fastCheck.tuple(fastCheck.integer({ min: 0, max: 7_900 }), fastCheck.integer({ max: 4_000 }))),
      (standstills) => {
        const stop = stopAt(0);
        let now = 0;
        let wentOnAt = 0;
        const pending = [...standstills].sort(([left], [right]) => left - right);
        for (;;) {
          stop.look(now);
          if (stop.endsUnbegun(now)) break;
          const next = now + lookEveryMs;
          const [at = Infinity, forMs = 0] = pending[0] ?? [];
          if (at <= now) pending.shift();
          now = at <= now && forMs > 0 ? next + forMs : next;
          if (at <= now && forMs > 0) wentOnAt = now;
          if (now >= FORCED_AT_MS) return true;
        }
        return now <= Math.max(FORCED_AT_MS - leavesMs, wentOnAt + lookEveryMs);
      },
    ),
    { seed: 20_262, numRuns: 500 },
  );
});

suite.run();
