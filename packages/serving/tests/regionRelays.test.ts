import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("heartbeats to other regions through relays");

/** Interval of the heartbeats to other regions, and time after which the work in one of them expires, in milliseconds. */
const INTERVAL_MS = 350;
const EXPIRY_MS = 2.2 * INTERVAL_MS;

function daemonsOf(region: string, count: number, forwards = true): serving.DistantDaemon[] {
  return Array.from({ length: count }, (_, index) => ({ vm: `${region}-${index}`, region, forwards }));
}

const daemons = fastCheck
  .array(fastCheck.record({ region: fastCheck.constantFrom("a", "b", "c"), forwards: fastCheck.boolean() }), {
    maxLength: 30,
  })
  .map((list) => list.map((daemon, index) => ({ ...daemon, vm: `vm-${index}` })));

// A daemon that gets a heartbeat neither directly nor from its region's relay places prompts as if its sender were idle.
suite("each daemon gets a heartbeat once: directly, or as relay of its region or from it", () => {
  const property = fastCheck.property(daemons, fastCheck.nat(1_000), (list, round) => {
    const { direct, relays } = serving.chooseRelays("sender", list, round);
    const relayed = new Set(relays.map(({ region }) => region));
    assert.is(relays.length, relayed.size);
    assert.ok(relays.every(({ forwards }) => forwards));
    for (const daemon of list) {
      const isDirect = direct.includes(daemon);
      const isRelayed = daemon.forwards && relayed.has(daemon.region);
      assert.is(Number(isDirect) + Number(isRelayed), 1, JSON.stringify(daemon));
    }
  });
  fastCheck.assert(property, { seed: 550 });
});

suite("regions with fewer than three daemons that forward are sent to directly", () => {
  const { direct, relays } = serving.chooseRelays("sender", [...daemonsOf("a", 2), ...daemonsOf("b", 9, false)], 7);
  assert.is(direct.length, 11);
  assert.is(relays.length, 0);
});

/** Longest time in milliseconds without a heartbeat in a region if the daemon that is its relay most often in a row has failed. */
function longestSilenceMs(sender: string, inRegion: readonly serving.DistantDaemon[]): number {
  const rounds = Array.from({ length: inRegion.length + 1 }, (_, round) => round);
  const relays = rounds.map((round) => serving.chooseRelays(sender, inRegion, round).relays[0]?.vm);
  let repeated = 1;
  let mostRepeated = 1;
  for (const [index, relay] of relays.entries()) {
    repeated = index > 0 && relay === relays[index - 1] ? repeated + 1 : 1;
    mostRepeated = Math.max(mostRepeated, repeated);
  }
  return (mostRepeated + 1) * INTERVAL_MS;
}

// With one relay for all heartbeats, its failure would hide all work of the other regions until it is noticed after 1.3 s.
suite("a relay that has failed unnoticed never hides a sender's work, at 9, 69 and 690 daemons", () => {
  for (const count of [9, 69, 690]) {
    const inRegion = daemonsOf("b", count / 3);
    for (const sender of ["vm-1", "vm-2", "vm-3"])
      assert.ok(longestSilenceMs(sender, inRegion) < EXPIRY_MS, `${count} daemons`);
  }
});

// Senders that all began with the same daemon would send their heartbeats of one moment over the link of one VM.
suite("at any moment the senders use different relays", () => {
  const inRegion = daemonsOf("b", 24);
  for (const round of [0, 1, 17]) {
    const counts = new Map<string, number>();
    for (let index = 0; index < 240; index++) {
      const [relay] = serving.chooseRelays(`vm-${index}`, inRegion, round).relays;
      counts.set(relay?.vm ?? "", (counts.get(relay?.vm ?? "") ?? 0) + 1);
    }
    assert.ok(Math.max(...counts.values()) <= 30, `round ${round}: ${[...counts.values()].join(" ")}`);
  }
});

// A relay that was late would bring back a daemon that has left, its former incarnation, or work that has ended.
suite("a forwarded heartbeat counts only if it is newer than the last one of its sender", () => {
  const last = { incarnation: "i-2", sequence: 5 };
  assert.is(serving.isNewerState({ incarnation: "i-2", sequence: 6 }, last), true);
  assert.is(serving.isNewerState({ incarnation: "i-2", sequence: 5 }, last), false);
  assert.is(serving.isNewerState({ incarnation: "i-2", sequence: 4 }, last), false);
  assert.is(serving.isNewerState({ incarnation: "i-1", sequence: 9 }, last), false);
  assert.is(serving.isNewerState({ incarnation: "i-1", sequence: 1 }, undefined), true);
});

suite.run();
