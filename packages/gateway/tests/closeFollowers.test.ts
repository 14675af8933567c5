import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as watchDuties from "../src/closeFollowers.js";

const suite = uvu.suite("who follows the key-value service closely");

function daemons(count: number, dataCentre: string): watchDuties.Follower[] {
  return Array.from({ length: count }, (_, index) => ({
    vm: `${dataCentre}-${index}`,
    dataCentre,
    capacity: 1,
    able: true,
    active: true,
  }));
}

function closely(followers: readonly watchDuties.Follower[]): string[] {
  return followers.map(({ vm }) => vm).filter((vm) => watchDuties.followsClosely(vm, followers));
}

// The load: hundreds of daemons read the same changes, and each reading is a call. Three read for all, and the loss of a
// data centre leaves two.
suite("three daemons of different data centres follow closely for a large fleet", () => {
  const chosen = closely(["a", "b", "c", "d"].flatMap((dataCentre) => daemons(50, dataCentre)));
  assert.is(chosen.length, 3);
  assert.is(new Set(chosen.map((vm) => vm.split("-")[0])).size, 3);
});

// A close follower is cut off from the service. Those that it told would learn of nothing new, so another takes over.
suite("another daemon follows when one is cut off or dies", () => {
  const followers = daemons(20, "a");
  const [first] = closely(followers);
  const after = followers.map((follower) => ({ ...follower, able: follower.vm !== first }));
  const chosen = closely(after);
  assert.is(chosen.length, 3);
  assert.not(chosen.includes(first ?? ""));
});

// The load: data centres of three or four daemons. Were each of them to read for itself, calls to the service would cost
// more than all else that is priced.
suite("data centres of a few daemons share three that follow closely", () => {
  const followers = ["a", "b", "c", "d", "e"].flatMap((dataCentre) => daemons(3, dataCentre));
  assert.is(closely(followers).length, 3);
});

// Those that stand by are heard by those that take callers alone: what they read would reach nobody else.
suite("daemons that take callers follow closely, not those that stand by", () => {
  const followers = daemons(20, "a").map((follower, index) => ({ ...follower, active: index < 3 }));
  const chosen = closely(followers);
  assert.is(chosen.length, 3);
  assert.ok(chosen.every((vm) => ["a-0", "a-1", "a-2"].includes(vm)));
});

const READER: watchDuties.Reader = { dataCentre: "a", active: true, followsClosely: true, storeSilentMs: 0 };

// A daemon that counts on a reader whom the service doesn't answer would learn of nothing: endpoints that have left would
// go on being used.
suite("a daemon is told while one that the service answers reads for it", () => {
  const own = { dataCentre: "a" };
  assert.ok(watchDuties.isTold(own, true, [{ ...READER, dataCentre: "b" }]));
  assert.not(watchDuties.isTold(own, true, [{ ...READER, followsClosely: false }]));
  assert.not(watchDuties.isTold(own, true, [{ ...READER, storeSilentMs: 2_000 }]));
  assert.ok(watchDuties.isTold(own, false, [{ ...READER, followsClosely: false }]));
  assert.not(watchDuties.isTold(own, false, [{ ...READER, dataCentre: "b" }]));
  assert.not(watchDuties.isTold(own, false, []));
});

suite("each of a few daemons reads for itself, and so does one that hears nobody", () => {
  assert.is(closely(daemons(5, "a")).length, 5);
  const alone = daemons(20, "a").map((follower) => ({ ...follower, able: follower.vm === "a-7" }));
  assert.ok(watchDuties.followsClosely("a-7", alone));
});

suite.run();
