import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const GRACE_MS = 8_000;

/** Time that a process ended by force would be late by, in milliseconds. */
const FORCED_AT_MS = GRACE_MS;

function stopAt(heardAt: number, graceMs = GRACE_MS, earliestAt = heardAt): serving.PlannedStop {
  return new serving.PlannedStop({ earliestAt, heardAt, graceMs });
}

const suite = uvu.suite("what a stopping daemon takes");

// Callers hold an old address for some seconds. Sent away at once, they would spend their one retry while others of
// the fleet stop too; so whatever comes is taken while they move.
suite("whatever comes just after the signal is taken", () => {
  const stop = stopAt(0);
  assert.is(stop.takes(10_000, 0), true);
  assert.is(stop.takes(12_000, 2_000), true);
});

// A stream with ten seconds of patience came 3.1 s after the signal, ran for 4 s, and was cut when the process ended.
suite("a stream that may outlive the process is not taken once callers have moved", () => {
  const stop = stopAt(0);
  assert.is(stop.takes(13_100, 3_100), false);
  assert.is(stop.takes(14_300, 4_300), false);
});

suite("a call that is over in time is taken to the end", () => {
  const stop = stopAt(0);
  assert.is(stop.takes(6_000, 5_000), true);
  assert.is(stop.takes(7_400, 7_100), true);
  assert.is(stop.takes(7_500, 6_500), false);
});

suite("what is taken once callers have moved is over before the process is ended by force", () => {
  fastCheck.assert(
    fastCheck.property(
      fastCheck.integer({ min: 2_500, max: FORCED_AT_MS }),
      fastCheck.integer({ min: 0, max: 30_000 }),
      (now, patienceMs) => {
        const taken = stopAt(0).takes(now + patienceMs, now);
        return !taken || now + patienceMs < FORCED_AT_MS;
      },
    ),
    { seed: 20_261, numRuns: 500 },
  );
});

// The platform's time to stop may be shorter than the time in which callers move.
suite("with little time, nothing long is taken in the last second", () => {
  const stop = stopAt(0, 2_500);
  assert.is(stop.takes(2_800, 800), true);
  assert.is(stop.takes(2_900, 900), false);
  assert.is(stop.takes(1_800, 1_000), true);
});

suite("it stays for callers that are late, and ends once it is quiet", () => {
  const stop = stopAt(0);
  assert.is(stop.isOver({ open: 0, lastRequestAt: 0 }, 2_900), false);
  assert.is(stop.isOver({ open: 0, lastRequestAt: 2_900 }, 3_100), false);
  assert.is(stop.isOver({ open: 0, lastRequestAt: 2_300 }, 3_100), true);
  assert.is(stop.isOver({ open: 1, lastRequestAt: 2_300 }, 7_000), false);
  assert.is(stop.isOver({ open: 1, lastRequestAt: 2_300 }, 7_400), true);
  assert.is(stop.isOver({ open: 0, lastRequestAt: 6_300 }, 6_400), true);
});

// A daemon stood still for three seconds and hears only now that it is to stop; the signal may have come at any time
// in them. It takes as if it had come first, and gives last answers by then. A stream that has begun is not cut for
// it: if the signal came last, it still has three seconds.
suite("a signal heard late shortens what is taken, not the streams that have begun", () => {
  const stop = stopAt(3_000, GRACE_MS, 0);
  assert.is(stop.takes(13_000, 3_000), false);
  assert.is(stop.takes(7_300, 6_300), true);
  assert.is(stop.takes(7_500, 6_500), false);
  assert.is(stop.endsUnbegun(7_300), false);
  assert.is(stop.endsUnbegun(7_400), true);
  assert.is(stop.isOver({ open: 1, lastRequestAt: 0 }, 10_300), false);
  assert.is(stop.isOver({ open: 1, lastRequestAt: 0 }, 10_400), true);
});

// A daemon stood still past the instant by which its answers leave. The answers of its open calls lie in its sockets,
// and timers have their turn before these: ended at the first look, each call is told that its answer is lost.
suite("after a standstill, open calls wait until the sockets have had their turn", () => {
  const stop = stopAt(0);
  stop.look(5_000);
  stop.look(7_410);
  assert.is(stop.endsUnbegun(7_410), false);
  assert.is(stop.isOver({ open: 1, lastRequestAt: 0 }, 7_410), false);
  stop.look(7_540);
  assert.is(stop.endsUnbegun(7_540), false);
  stop.look(7_660);
  assert.is(stop.endsUnbegun(7_660), true);
  assert.is(stop.isOver({ open: 1, lastRequestAt: 0 }, 7_660), true);
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
