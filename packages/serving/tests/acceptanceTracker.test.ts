import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("counts of accepted prompts");

const KIND = "audit";

const decisions = fastCheck.array(
  fastCheck.record({
    daemon: fastCheck.nat({ max: 2 }),
    tokens: fastCheck.integer({ min: 1, max: 100_000 }),
    isAccepted: fastCheck.boolean(),
    waitMs: fastCheck.nat({ max: 5_000 }),
    isExchanged: fastCheck.boolean(),
  }),
  { maxLength: 60 },
);

/** Sends what each daemon has decided since to the other ones. */
function exchange(trackers: readonly serving.AcceptanceTracker[], now: number): void {
  const sent = trackers.map((tracker) => tracker.takeUnsentCounts());
  for (const [receiver, tracker] of trackers.entries())
    for (const count of sent.filter((_, sender) => sender !== receiver).flat())
      assert.is(tracker.addPeerCount(count, now), true);
}

// Guards against a rate over 1, which hides the sizes that a shortage hits.
suite("accepted prompts never exceed the offered ones, by kind, size and daemon", () => {
  fastCheck.assert(
    fastCheck.property(decisions, (steps) => {
      const trackers = Array.from({ length: 3 }, () => new serving.AcceptanceTracker());
      let now = 0;
      for (const { daemon, tokens, isAccepted, waitMs, isExchanged } of steps) {
        now += waitMs;
        trackers[daemon]?.noteDecision(KIND, tokens, isAccepted, now);
        if (isExchanged) exchange(trackers, now);
        for (const tracker of trackers) {
          const counts = tracker.countsOf(KIND, tokens, now);
          assert.ok(counts.takenOfSize <= counts.offeredOfSize);
          assert.ok(counts.takenOfKind <= counts.offeredOfKind);
          assert.ok(tracker.acceptanceRates(KIND, tokens, now).ofSize <= 1);
        }
      }
    }),
    { seed: 52 },
  );
});

/** Decides on prompts of two sizes, of which the given shares are accepted. */
function trackerWith(shares: { readonly short: number; readonly long: number }): serving.AcceptanceTracker {
  const tracker = new serving.AcceptanceTracker();
  for (let index = 0; index < 1_000; index++) tracker.noteDecision(KIND, 4_000, index < 1_000 * shares.short, 0);
  for (let index = 0; index < 100; index++) tracker.noteDecision(KIND, 40_000, index < 100 * shares.long, 0);
  return tracker;
}

// Guards against a tenth that falls under half of its kind: the fewer are accepted, the smaller the accepted prompts of
// each size are.
suite("in a severe shortage a size counts as underserved sooner than in a slight one", () => {
  assert.is(trackerWith({ short: 0.96, long: 0.96 * 0.7 }).isUnderserved(KIND, 40_000, 0), false);
  assert.is(trackerWith({ short: 0.96, long: 0.96 * 0.5 }).isUnderserved(KIND, 40_000, 0), true);
  assert.is(trackerWith({ short: 0.5, long: 0.5 * 0.7 }).isUnderserved(KIND, 40_000, 0), true);
});

// Guards against a peer whose counts can't be: added up, they would make a shortage look like none.
suite("a peer's count with more accepted than offered prompts is left out", () => {
  const tracker = new serving.AcceptanceTracker();
  tracker.noteDecision(KIND, 40_000, false, 0);
  assert.is(tracker.addPeerCount({ kind: KIND, sizeClass: 15, offered: 1, taken: 3 }, 0), false);
  assert.is(tracker.countsOf(KIND, 40_000, 0).takenOfKind, 0);
  assert.is(tracker.refusedCounts, 1);
});

suite.run();
