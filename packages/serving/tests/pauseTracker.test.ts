import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("gaps between the events of streams");

const EXPECTED_MS = 50;
const PAUSE_MS = 150;
const SERVICE = "s";

/** A stream at an engine whose events arrive at the instants given. */
function streamWith(
  tracker: serving.PauseTracker,
  endpointId: string,
  instants: readonly number[],
  pauseMs = PAUSE_MS,
) {
  const stream = tracker.beginStream(endpointId, SERVICE, pauseMs);
  for (const at of instants) tracker.recordEvent(stream, EXPECTED_MS, at);
  return stream;
}

function pace(endpointId: string, ratio: number): serving.EnginePace {
  return { endpointId, ratio, ageMs: 0, pauseMs: PAUSE_MS };
}

function isSlow(tracker: serving.PauseTracker, endpointId: string, now: number): boolean {
  return tracker.gapsOf(endpointId, EXPECTED_MS, now)?.isSlow ?? false;
}

// Guards against prefills beside the streams of an engine whose events take 2.5 times as long.
suite("an engine counts as slow after one long gap, and no longer after a usual one", () => {
  const tracker = new serving.PauseTracker();
  const stream = streamWith(tracker, "e1", [0, 50, 100, 225]);
  assert.is(isSlow(tracker, "e1", 226), true);
  assert.is(tracker.gapsOf("e1", EXPECTED_MS, 226)?.ratio, 2.5);
  tracker.recordEvent(stream, EXPECTED_MS, 275);
  assert.is(isSlow(tracker, "e1", 276), false);
});

// Guards against detection only with the first late event, when half of the pause is used up.
suite("an engine counts as slow while its streams are silent for longer than usual", () => {
  const tracker = new serving.PauseTracker();
  const stream = streamWith(tracker, "e1", [0, 50]);
  assert.is(isSlow(tracker, "e1", 130), false);
  assert.is(isSlow(tracker, "e1", 131), true);
  tracker.endStream(stream);
  assert.is(isSlow(tracker, "e1", 140), false);
});

// Guards against an engine that counts as slow for ever because its caller reads slowly.
suite("a stream that its caller holds back says nothing", () => {
  const tracker = new serving.PauseTracker();
  const stream = streamWith(tracker, "e1", [0, 50]);
  tracker.suspend(stream);
  assert.is(isSlow(tracker, "e1", 400), false);
  tracker.recordEvent(stream, EXPECTED_MS, 1_000);
  assert.is(tracker.gapsOf("e1", EXPECTED_MS, 1_001), undefined);
  assert.is(tracker.quantile(SERVICE, 1_001), 1);
});

// Guards against an engine that counts as slow because one of its many streams waited for a reason of its own.
suite("the median of the streams' latest gaps decides", () => {
  const tracker = new serving.PauseTracker();
  streamWith(tracker, "e1", [0, 50, 100]);
  streamWith(tracker, "e1", [0, 50, 100]);
  streamWith(tracker, "e1", [0, 105]);
  assert.is(isSlow(tracker, "e1", 110), false);
});

suite("the quantile of the gaps follows the load and is forgotten", () => {
  const tracker = new serving.PauseTracker();
  const stream = streamWith(tracker, "e1", [0]);
  let now = 0;
  const gaps = (count: number, gapMs: number): void => {
    for (let index = 0; index < count; index++) tracker.recordEvent(stream, EXPECTED_MS, (now += gapMs));
  };
  gaps(4, 100);
  assert.is(tracker.quantile(SERVICE, now), 1, "too few are known");
  gaps(100, 100);
  assert.ok(Math.abs(tracker.quantile(SERVICE, now) - 2) < 0.1);
  gaps(1_000, 50);
  assert.is(tracker.quantile(SERVICE, now), 1);
  gaps(1_000, 1_000);
  assert.is(tracker.quantile(SERVICE, now), 4, "bounded");
});

// Guards against budgets that a slow engine exceeds: 7 of 100 gaps that are 2.5 times as long take 16% of the time.
suite("a gap counts as much as it takes, as a prefill falls into a long one more often", () => {
  const tracker = new serving.PauseTracker();
  const stream = streamWith(tracker, "e1", [0]);
  let now = 0;
  for (let index = 0; index < 300; index++)
    tracker.recordEvent(stream, EXPECTED_MS, (now += index % 14 === 0 ? 125 : EXPECTED_MS));
  assert.ok(Math.abs(tracker.quantile(SERVICE, now) - 2.5) < 0.1);
});

// Guards against daemons that send prefills to an engine of whose slowness only a peer's streams tell.
suite("what a peer reports decides until it lapses, or until own streams show something newer", () => {
  const tracker = new serving.PauseTracker();
  tracker.notePeer({ endpointId: "e1", ratio: 2.5, ageMs: 100, pauseMs: 120 }, 1_000);
  assert.is(isSlow(tracker, "e1", 1_000), true);
  assert.is(tracker.gapsOf("e1", EXPECTED_MS, 1_000)?.ageMs, 100);
  assert.is(tracker.tightestPauseMs("e1", 1_000), 120);
  assert.is(isSlow(tracker, "e1", 900 + serving.PACE_VALID_MS - 1), true);
  assert.is(isSlow(tracker, "e1", 900 + serving.PACE_VALID_MS), false);
  assert.is(tracker.tightestPauseMs("e1", 1_000 + serving.PACE_VALID_MS), Number.POSITIVE_INFINITY);
  tracker.notePeer({ endpointId: "e2", ratio: 2.5, ageMs: 0, pauseMs: 120 }, 2_000);
  streamWith(tracker, "e2", [1_990, 2_040]);
  assert.is(isSlow(tracker, "e2", 2_050), false);
  tracker.notePeer({ endpointId: "e2", ratio: 2.5, ageMs: 50, pauseMs: 120 }, 2_060);
  assert.is(isSlow(tracker, "e2", 2_060), false, "an older report");
});

// Guards against a tight objective that is forgotten because a peer with looser streams reports later.
suite("the tightest pause objective of the peers' streams counts until it lapses", () => {
  const tracker = new serving.PauseTracker();
  tracker.notePeer({ endpointId: "e1", ratio: 1, ageMs: 0, pauseMs: 100 }, 0);
  tracker.notePeer({ endpointId: "e1", ratio: 1, ageMs: 0, pauseMs: 150 }, 300);
  assert.is(tracker.tightestPauseMs("e1", 400), 100);
  tracker.notePeer({ endpointId: "e1", ratio: 1, ageMs: 0, pauseMs: 150 }, 700);
  assert.is(tracker.tightestPauseMs("e1", 800), 150);
});

suite("slow engines are reported first, then those with the tightest pause objective", () => {
  const tracker = new serving.PauseTracker();
  streamWith(tracker, "loose", [1_000, 1_050], 300);
  streamWith(tracker, "tight", [1_000, 1_050], 100);
  streamWith(tracker, "slow", [900, 1_050], 300);
  streamWith(tracker, "silent", [850, 900], 200);
  const paces = tracker.ownPaces(() => EXPECTED_MS, 1_050);
  assert.equal(
    paces.map(({ endpointId }) => endpointId),
    ["silent", "slow", "tight", "loose"],
  );
  assert.equal(paces[0], { endpointId: "silent", ratio: 3, ageMs: 0, pauseMs: 200 });
});

// Guards against heartbeats that take up the links between data centres, and against engines that peers take for slow
// until a report lapses.
suite("each heartbeat tells of slow engines and those that have recovered, of others only a few", () => {
  const reports = new serving.PaceReports();
  const usual = [pace("e1", 1), pace("e2", 1)];
  const counts = Array.from({ length: 30 }, (_, index) => reports.select(usual, index * 50).length);
  assert.equal(
    counts.flatMap((count, index) => (count > 0 ? [index] : [])),
    [1, 7, 13, 19, 25],
  );
  assert.equal(reports.select([pace("e1", 2.5), pace("e2", 1)], 1_500), [pace("e1", 2.5)]);
  assert.equal(reports.select(usual, 1_510), [pace("e1", 1)]);
  assert.equal(reports.select(usual, 1_520), []);
  assert.equal(reports.select(usual, 2_400), [], "nothing of usual engines where heartbeats are rare");
  const many = Array.from({ length: 20 }, (_, index) => pace(`slow-${index}`, 2));
  assert.equal(reports.select(many, 2_410), many.slice(0, serving.MAX_SENT_PACES));
});

// Guards against gaps of an earlier incarnation that count against an engine which has just started.
suite("an engine that has restarted isn't judged by what came before", () => {
  const tracker = new serving.PauseTracker();
  tracker.notePeer({ endpointId: "e1", ratio: 2.5, ageMs: 0, pauseMs: 120 }, 0);
  streamWith(tracker, "e1", [0, 200]);
  tracker.forget("e1");
  assert.is(tracker.gapsOf("e1", EXPECTED_MS, 210), undefined);
});

suite.run();
