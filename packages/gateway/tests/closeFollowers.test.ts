import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as closeFollowers from "../src/closeFollowers.js";

const suite = uvu.suite("daemons that follow the key-value service closely");

function daemons(count: number, dataCentre: string): closeFollowers.Follower[] {
  return Array.from({ length: count }, (_, index) => ({
    vm: `${dataCentre}-${index}`,
    dataCentre,
    capacity: 1,
    eligible: true,
    active: true,
  }));
}

function selectFollowers(followers: readonly closeFollowers.Follower[]): string[] {
  return followers.map(({ vm }) => vm).filter((vm) => closeFollowers.followsClosely(vm, followers));
}

// If hundreds of daemons read the same changes, each read is a call. Three daemons read for all, and the loss of a data
// centre leaves two.
suite("three daemons of different data centres follow closely for a large fleet", () => {
  const chosen = selectFollowers(["a", "b", "c", "d"].flatMap((dataCentre) => daemons(50, dataCentre)));
  assert.is(chosen.length, 3);
  assert.is(new Set(chosen.map((vm) => vm.split("-")[0])).size, 3);
});

// A close follower is cut off from the service. The daemons that it updated would learn of nothing new, so another
// takes over.
suite("another daemon follows closely when one is cut off or dies", () => {
  const followers = daemons(20, "a");
  const [first] = selectFollowers(followers);
  const after = followers.map((follower) => ({ ...follower, eligible: follower.vm !== first }));
  const chosen = selectFollowers(after);
  assert.is(chosen.length, 3);
  assert.not(chosen.includes(first ?? ""));
});

// Data centres have three or four daemons. If each daemon read for itself, calls to the service would cost more than
// everything else that is priced.
suite("data centres with few daemons share three that follow closely", () => {
  const followers = ["a", "b", "c", "d", "e"].flatMap((dataCentre) => daemons(3, dataCentre));
  assert.is(selectFollowers(followers).length, 3);
});

// Only active daemons receive heartbeats from standby daemons: what those read would reach no other daemon.
suite("active daemons follow closely, not standby daemons", () => {
  const followers = daemons(20, "a").map((follower, index) => ({ ...follower, active: index < 3 }));
  const chosen = selectFollowers(followers);
  assert.is(chosen.length, 3);
  assert.ok(chosen.every((vm) => ["a-0", "a-1", "a-2"].includes(vm)));
});

const READER: closeFollowers.Reader = { dataCentre: "a", active: true, followsClosely: true, storeSilentMs: 0 };

// A daemon that relied on a reader that the service doesn't answer would learn of nothing, and continue to use
// endpoints that have left.
suite("a daemon is updated by peers while one that the service answers reads for it", () => {
  const own = { dataCentre: "a" };
  assert.ok(closeFollowers.isUpdatedByPeers(own, true, [{ ...READER, dataCentre: "b" }]));
  assert.not(closeFollowers.isUpdatedByPeers(own, true, [{ ...READER, followsClosely: false }]));
  assert.not(closeFollowers.isUpdatedByPeers(own, true, [{ ...READER, storeSilentMs: 2_000 }]));
  assert.ok(closeFollowers.isUpdatedByPeers(own, false, [{ ...READER, followsClosely: false }]));
  assert.not(closeFollowers.isUpdatedByPeers(own, false, [{ ...READER, dataCentre: "b" }]));
  assert.not(closeFollowers.isUpdatedByPeers(own, false, []));
});

suite("each daemon of a small fleet reads for itself, and so does one that receives heartbeats from no other", () => {
  assert.is(selectFollowers(daemons(5, "a")).length, 5);
  const alone = daemons(20, "a").map((follower) => ({ ...follower, eligible: follower.vm === "a-7" }));
  assert.ok(closeFollowers.followsClosely("a-7", alone));
});

suite.run();
