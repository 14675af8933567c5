import * as uvu from "uvu";
import * as assert from "uvu/assert";
import type * as daemonEntries from "../src/daemonEntry.js";
import * as simulatedFleets from "./helpers/simulatedFleet.js";

const suite = uvu.suite("active daemons, as chosen from heartbeats");

const LARGE_CORES = 1.35;
const SMALL_CORES = 0.324;
const DATA_CENTRES = ["a", "b", "c"];
const SEEDS = [1, 2, 3, 4, 5];

/**
 * Number of heartbeats of maximum size that fit into 20 KB per second, the control traffic that a daemon may receive.
 */
const MAX_HEARTBEATS_PER_SECOND = 14;

/** Time for a fleet to agree on the active daemons after a start or a loss of daemons, in milliseconds. */
const SETTLED_MS = 6_000;

function entry(dataCentre: string, name: string, capacity: number): daemonEntries.DaemonEntry {
  const vm = `${dataCentre}-${name}`;
  return { vm, incarnation: vm, dataCentre, callers: `${vm}:1`, peers: `${vm}:2`, capacity };
}

/** Data centres with a few large VMs and many small ones. */
function fleet(seed: number, lossRate = 0, small = 20): simulatedFleets.SimulatedFleet {
  const entries = DATA_CENTRES.flatMap((dataCentre) => [
    ...Array.from({ length: 3 }, (_, index) => entry(dataCentre, `large-${index}`, LARGE_CORES)),
    ...Array.from({ length: small }, (_, index) => entry(dataCentre, `small-${index}`, SMALL_CORES)),
  ]);
  return new simulatedFleets.SimulatedFleet(entries, seed, lossRate);
}

function activeNames(of: simulatedFleets.SimulatedFleet, dataCentre: string): string[] {
  return of
    .active(dataCentre)
    .map((daemon) => daemon.entry.vm)
    .sort();
}

function largeOf(dataCentre: string): string[] {
  return [0, 1, 2].map((index) => `${dataCentre}-large-${index}`);
}

suite(
  "the daemons with the most capacity in each data centre become active soon after the start, and all others know them",
  () => {
    for (const seed of SEEDS) {
      const started = fleet(seed, 0.05);
      started.advance(SETTLED_MS);
      for (const dataCentre of DATA_CENTRES) assert.equal(activeNames(started, dataCentre), largeOf(dataCentre));
      for (const daemon of started.daemons) {
        assert.equal([...daemon.activeSet.activeVms].sort(), largeOf(daemon.entry.dataCentre), daemon.entry.vm);
      }
    }
  },
);

// Guards against control traffic that grows with the square of the fleet: receiving 195 heartbeats per second from as
// many daemons took most of the processor time.
suite("a standby daemon receives a few heartbeats per second, however large the fleet is", () => {
  const started = fleet(1, 0, 80);
  started.advance(SETTLED_MS);
  for (const daemon of started.daemons) daemon.receivedCount = 0;
  started.advance(10_000);
  const standby = started.daemons.filter((daemon) => !daemon.activeSet.active);
  const most = Math.max(...standby.map(({ receivedCount }) => receivedCount)) / 10;
  assert.ok(most <= MAX_HEARTBEATS_PER_SECOND, `${most} per second`);
});

// Callers of a data centre are sent to a few daemons only. If these die at once, no daemon is left to name others.
suite("other daemons become active when all active ones die at once, and standby again when these return", () => {
  for (const seed of SEEDS) {
    const simulated = fleet(seed, 0.05);
    simulated.advance(SETTLED_MS);
    const dead = simulated.active("b");
    for (const daemon of dead) daemon.up = false;
    simulated.advance(3_000);
    assert.ok(activeNames(simulated, "b").length >= 3, `seed ${seed}: ${activeNames(simulated, "b").join(" ")}`);
    simulated.advance(SETTLED_MS);
    assert.is(activeNames(simulated, "b").length, 4, `seed ${seed}: ${activeNames(simulated, "b").join(" ")}`);
    assert.equal(activeNames(simulated, "a"), largeOf("a"));
    for (const daemon of dead) daemon.up = true;
    simulated.advance(SETTLED_MS);
    assert.equal(activeNames(simulated, "b"), largeOf("b"));
  }
});

suite("another daemon becomes active when an active one leaves as planned", () => {
  const simulated = fleet(1);
  simulated.advance(SETTLED_MS);
  const [leaving] = simulated.active("a");
  if (leaving !== undefined) leaving.ready = false;
  simulated.advance(1_000);
  assert.is(activeNames(simulated, "a").length, 3);
  assert.not(activeNames(simulated, "a").includes(leaving?.entry.vm ?? ""));
});

// The leader's heartbeats arrive, but it receives none. If the others followed it, it would send all callers to itself.
suite("a leader that receives no heartbeats doesn't take the callers from the others", () => {
  const simulated = fleet(2);
  simulated.advance(SETTLED_MS);
  for (const daemon of simulated.active("a")) {
    daemon.receives = false;
    simulated.advance(SETTLED_MS);
    assert.ok(activeNames(simulated, "a").length >= 3, activeNames(simulated, "a").join(" "));
    daemon.receives = true;
    simulated.advance(SETTLED_MS);
  }
});

suite(
  "dispatching daemons receive heartbeats from those of all other data centres, also after these have changed",
  () => {
    const simulated = fleet(3, 0.05);
    simulated.advance(SETTLED_MS);
    for (const daemon of simulated.active("c")) daemon.up = false;
    simulated.advance(2 * SETTLED_MS);
    const now = 3 * SETTLED_MS;
    for (const daemon of simulated.active()) {
      const dispatchingPeers = daemon.peerTable.live(now).filter((peer) => peer.dispatching);
      assert.is(dispatchingPeers.length, simulated.active().length - 1, daemon.entry.vm);
    }
  },
);

// Callers would go on being sent to daemons that reach no endpoint.
suite("others become active where the active daemons are cut off, and the first ones return afterwards", () => {
  for (const seed of SEEDS) {
    const started = fleet(seed, 0.05);
    started.advance(SETTLED_MS);
    const cutOff = started.active("a").slice(0, 2);
    for (const daemon of cutOff) daemon.cutOff = true;
    started.advance(SETTLED_MS);
    const active = started.active("a");
    assert.ok(active.length >= 3 && active.every((daemon) => !daemon.cutOff), `seed ${seed}`);
    assert.equal(activeNames(started, "b"), largeOf("b"));
    for (const daemon of cutOff) daemon.cutOff = false;
    started.advance(SETTLED_MS);
    assert.ok(
      largeOf("a").every((vm) => activeNames(started, "a").includes(vm)),
      `seed ${seed}`,
    );
  }
});

// The callers that still come to a data centre that is cut off as a whole are served by passing their requests on.
suite("a data centre that is cut off as a whole keeps active daemons", () => {
  const started = fleet(1);
  started.advance(SETTLED_MS);
  for (const daemon of started.daemons) daemon.cutOff = daemon.entry.dataCentre === "a";
  started.advance(SETTLED_MS);
  assert.ok(started.active("a").length >= 3);
});

suite.run();
