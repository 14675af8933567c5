import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const GRACE_MS = 8_000;

/** Time after the signal at which the process is killed, in milliseconds. */
const KILLED_AT_MS = GRACE_MS;

function shutdownAt(receivedAt: number, graceMs = GRACE_MS, earliestSignalAt = receivedAt): serving.GracefulShutdown {
  return new serving.GracefulShutdown({ earliestSignalAt, receivedAt, graceMs });
}

const suite = uvu.suite("graceful shutdown");

// A stream with a timeout of 8 s arrived 2.2 s after the signal, ran for 5.1 s, and was cut when the process exited.
suite("a stream that may outlive the process is rejected, however soon after the signal it arrives", () => {
  const shutdown = shutdownAt(0);
  assert.is(shutdown.accepts(10_000), false);
  assert.is(shutdown.accepts(2_233 + 8_000), false);
  assert.is(shutdown.accepts(13_100), false);
});

suite("a call that ends in time is accepted until the end", () => {
  const shutdown = shutdownAt(0);
  assert.is(shutdown.accepts(6_000), true);
  assert.is(shutdown.accepts(6_900), true);
});

// A deadline less than one event loop iteration before the exit was only checked after it: the request was accepted
// and cut.
suite("a request whose deadline is just before the final answers is rejected", () => {
  assert.is(shutdownAt(0).accepts(7_190), false);
  assert.is(shutdownAt(0).accepts(7_400), false);
});

suite("an accepted request ends before the process is killed", () => {
  fastCheck.assert(
    fastCheck.property(
      fastCheck.integer({ min: 0, max: KILLED_AT_MS }),
      fastCheck.integer({ min: 0, max: 30_000 }),
      (now, timeoutMs) => {
        const isAccepted = shutdownAt(0).accepts(now + timeoutMs);
        return !isAccepted || now + timeoutMs < KILLED_AT_MS;
      },
    ),
    { seed: 20_261, numRuns: 500 },
  );
});

suite("with a short grace period, no long request is accepted", () => {
  const shutdown = shutdownAt(0, 2_500);
  assert.is(shutdown.accepts(1_400), true);
  assert.is(shutdown.accepts(1_500), false);
  assert.is(shutdown.accepts(2_800), false);
});

suite("the daemon stays for late callers, and exits once it is idle", () => {
  const shutdown = shutdownAt(0);
  assert.is(shutdown.isComplete({ openRequests: 0, lastRequestAt: 0 }, 2_900), false);
  assert.is(shutdown.isComplete({ openRequests: 0, lastRequestAt: 2_900 }, 3_100), false);
  assert.is(shutdown.isComplete({ openRequests: 0, lastRequestAt: 2_300 }, 3_100), true);
  assert.is(shutdown.isComplete({ openRequests: 1, lastRequestAt: 2_300 }, 7_000), false);
  assert.is(shutdown.isComplete({ openRequests: 1, lastRequestAt: 2_300 }, 7_200), true);
  assert.is(shutdown.isComplete({ openRequests: 0, lastRequestAt: 6_300 }, 6_400), true);
});

// A daemon was paused for three seconds and only then receives the signal, which may have been sent at any time during
// the pause. Requests are accepted and final answers sent as if it had been sent at the start of the pause. Streams that
// have started are not cut for this: if the signal was sent at the end of the pause, they have three more seconds.
suite("a signal received late limits the accepted requests, not the streams that have started", () => {
  const shutdown = shutdownAt(3_000, GRACE_MS, 0);
  assert.is(shutdown.accepts(13_000), false);
  assert.is(shutdown.accepts(6_900), true);
  assert.is(shutdown.accepts(7_300), false);
  assert.is(shutdown.shouldEndUnstarted(7_100), false);
  assert.is(shutdown.shouldEndUnstarted(7_200), true);
  assert.is(shutdown.isComplete({ openRequests: 1, lastRequestAt: 0 }, 10_100), false);
  assert.is(shutdown.isComplete({ openRequests: 1, lastRequestAt: 0 }, 10_200), true);
});

// A daemon is paused past the instant of the final answers. The answers of its open calls are unread in its sockets, and
// timers run before socket reads: ended at the first check, each caller would be told that its answer is lost.
suite("after a pause, open calls wait until pending socket reads have run", () => {
  const shutdown = shutdownAt(0);
  shutdown.recordCheck(5_000);
  shutdown.recordCheck(7_210);
  assert.is(shutdown.shouldEndUnstarted(7_210), false);
  assert.is(shutdown.isComplete({ openRequests: 1, lastRequestAt: 0 }, 7_210), false);
  shutdown.recordCheck(7_340);
  assert.is(shutdown.shouldEndUnstarted(7_340), false);
  shutdown.recordCheck(7_460);
  assert.is(shutdown.shouldEndUnstarted(7_460), true);
  assert.is(shutdown.isComplete({ openRequests: 1, lastRequestAt: 0 }, 7_460), true);
});

// The signal itself is received only after a pause that may have begun before it was sent.
suite("a signal received after the instant of the final answers still leaves time for pending socket reads", () => {
  const shutdown = shutdownAt(8_100, GRACE_MS, 0);
  shutdown.recordCheck(8_100);
  assert.is(shutdown.shouldEndUnstarted(8_100), false);
  shutdown.recordCheck(8_230);
  shutdown.recordCheck(8_360);
  assert.is(shutdown.shouldEndUnstarted(8_360), true);
});

// Answers are waited for only while there is time to send correct final answers for the other calls before the kill.
suite("whatever pauses come before the kill, open calls are ended in time for it or at the second check", () => {
  const checkEveryMs = 25;
  const sendingMs = 200;
  fastCheck.assert(
    fastCheck.property(
      fastCheck.array(fastCheck.tuple(fastCheck.integer({ min: 0, max: 7_900 }), fastCheck.integer({ max: 4_000 }))),
      (pauses) => {
        const shutdown = shutdownAt(0);
        let now = 0;
        let resumedAt = 0;
        const pending = [...pauses].sort(([left], [right]) => left - right);
        for (;;) {
          shutdown.recordCheck(now);
          if (shutdown.shouldEndUnstarted(now)) break;
          const next = now + checkEveryMs;
          const [at = Infinity, forMs = 0] = pending[0] ?? [];
          if (at <= now) pending.shift();
          now = at <= now && forMs > 0 ? next + forMs : next;
          if (at <= now && forMs > 0) resumedAt = now;
          if (now >= KILLED_AT_MS) return true;
        }
        return now <= Math.max(KILLED_AT_MS - sendingMs, resumedAt + checkEveryMs);
      },
    ),
    { seed: 20_262, numRuns: 500 },
  );
});

suite.run();
