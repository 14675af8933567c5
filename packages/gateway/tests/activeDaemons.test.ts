import * as uvu from "uvu";
import * as assert from "uvu/assert";
import type * as daemonEntries from "../src/daemonEntry.js";
import * as talkingFleets from "./helpers/simulatedFleet.js";

const suite = uvu.suite("daemons that take callers, as they hear each other");

const LARGE_CORES = 1.35;
const SMALL_CORES = 0.324;
const DATA_CENTRES = ["a", "b", "c"];
const SEEDS = [1, 2, 3, 4, 5];

/** Pulses of the largest datagram that fit into 20 KB a second, which is what control may cost a daemon. */
const MOST_HEARD_A_SECOND = 14;

/** Time for a fleet that starts, or that has lost daemons, to know who takes callers, in milliseconds. */
const SETTLED_MS = 6_000;

function entry(dataCentre: string, name: string, capacity: number): daemonEntries.DaemonEntry {
  const vm = `${dataCentre}-${name}`;
  return { vm, incarnation: vm, dataCentre, callers: `${vm}:1`, peers: `${vm}:2`, capacity };
}

/** Data centres with a few large VMs and many small ones. */
function fleet(seed: number, lostShare = 0, small = 20): talkingFleets.TalkingFleet {
  const entries = DATA_CENTRES.flatMap((dataCentre) => [
    ...Array.from({ length: 3 }, (_, index) => entry(dataCentre, `large-${index}`, LARGE_CORES)),
    ...Array.from({ length: small }, (_, index) => entry(dataCentre, `small-${index}`, SMALL_CORES)),
  ]);
  return new talkingFleets.TalkingFleet(entries, seed, lostShare);
}

function activeNames(of: talkingFleets.TalkingFleet, dataCentre: string): string[] {
  return of
    .active(dataCentre)
    .map((daemon) => daemon.entry.vm)
    .sort();
}

function largeOf(dataCentre: string): string[] {
  return [0, 1, 2].map((index) => `${dataCentre}-large-${index}`);
}

suite("the most able of each data centre take callers soon after the start, and all others know them", () => {
  for (const seed of SEEDS) {
    const started = fleet(seed, 0.05);
    started.goOn(SETTLED_MS);
    for (const dataCentre of DATA_CENTRES) assert.equal(activeNames(started, dataCentre), largeOf(dataCentre));
    for (const daemon of started.daemons) {
      assert.equal([...daemon.standing.activeVms].sort(), largeOf(daemon.entry.dataCentre), daemon.entry.vm);
    }
  }
});

// What each daemon hears grew with the square of the fleet: 195 pulses a second of as many daemons took most of a day's
// processor time.
suite("one that stands by hears a few pulses a second, however large the fleet is", () => {
  const started = fleet(1, 0, 80);
  started.goOn(SETTLED_MS);
  for (const daemon of started.daemons) daemon.heardCount = 0;
  started.goOn(10_000);
  const standing = started.daemons.filter((daemon) => !daemon.standing.active);
  const most = Math.max(...standing.map(({ heardCount }) => heardCount)) / 10;
  assert.ok(most <= MOST_HEARD_A_SECOND, `${most} a second`);
});

// Callers of a data centre are sent to a few daemons. If these die at once, nobody names another.
suite("others take callers when all that took them die at once, and leave them when they return", () => {
  for (const seed of SEEDS) {
    const hit = fleet(seed, 0.05);
    hit.goOn(SETTLED_MS);
    const dead = hit.active("b");
    for (const daemon of dead) daemon.up = false;
    hit.goOn(3_000);
    assert.ok(activeNames(hit, "b").length >= 3, `seed ${seed}: ${activeNames(hit, "b").join(" ")}`);
    hit.goOn(SETTLED_MS);
    assert.is(activeNames(hit, "b").length, 4, `seed ${seed}: ${activeNames(hit, "b").join(" ")}`);
    assert.equal(activeNames(hit, "a"), largeOf("a"));
    for (const daemon of dead) daemon.up = true;
    hit.goOn(SETTLED_MS);
    assert.equal(activeNames(hit, "b"), largeOf("b"));
  }
});

suite("another takes callers when one that takes them leaves as planned", () => {
  const hit = fleet(1);
  hit.goOn(SETTLED_MS);
  const [leaving] = hit.active("a");
  if (leaving !== undefined) leaving.ready = false;
  hit.goOn(1_000);
  assert.is(activeNames(hit, "a").length, 3);
  assert.not(activeNames(hit, "a").includes(leaving?.entry.vm ?? ""));
});

// The leader's datagrams arrive and the others' don't reach it. Followed, it would send all callers to itself.
suite("a leader that hears nobody doesn't take the callers from the others", () => {
  const hit = fleet(2);
  hit.goOn(SETTLED_MS);
  for (const daemon of hit.active("a")) {
    daemon.hears = false;
    hit.goOn(SETTLED_MS);
    assert.ok(activeNames(hit, "a").length >= 3, activeNames(hit, "a").join(" "));
    daemon.hears = true;
    hit.goOn(SETTLED_MS);
  }
});

suite("daemons that decide hear those of all other data centres, also after these have changed", () => {
  const hit = fleet(3, 0.05);
  hit.goOn(SETTLED_MS);
  for (const daemon of hit.active("c")) daemon.up = false;
  hit.goOn(2 * SETTLED_MS);
  const now = 3 * SETTLED_MS;
  for (const daemon of hit.active()) {
    const heard = daemon.book.live(now).filter((peer) => peer.deciding);
    assert.is(heard.length, hit.active().length - 1, daemon.entry.vm);
  }
});

suite.run();
