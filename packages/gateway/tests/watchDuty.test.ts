import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as watchDuties from "../src/watchDuty.js";

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

// The load: sixty daemons read the same changes, and each reading is a call. Two of each data centre read for all.
suite("two daemons of each large data centre follow closely", () => {
  const followers = ["a", "b", "c"].flatMap((dataCentre) => daemons(20, dataCentre));
  const chosen = closely(followers);
  assert.is(chosen.length, 6);
  for (const dataCentre of ["a", "b", "c"]) assert.is(chosen.filter((vm) => vm.startsWith(dataCentre)).length, 2);
});

// A close follower is cut off from the service. Those that it told would learn of nothing new, so another takes over.
suite("another daemon follows when one is cut off or dies", () => {
  const followers = daemons(20, "a");
  const [first] = closely(followers);
  const after = followers.map((follower) => ({ ...follower, able: follower.vm !== first }));
  const chosen = closely(after);
  assert.is(chosen.length, 2);
  assert.not(chosen.includes(first ?? ""));
});

// The load: data centres of three or four daemons. Were each of them to read for itself, calls to the service would cost
// more than all else that is priced.
suite("data centres of a few daemons share two that follow closely", () => {
  const followers = ["a", "b", "c", "d", "e"].flatMap((dataCentre) => daemons(3, dataCentre));
  assert.is(closely(followers).length, 2);
});

// Those that stand by are heard by those that take callers alone: what they read would reach nobody else.
suite("daemons that take callers follow closely, not those that stand by", () => {
  const followers = daemons(20, "a").map((follower, index) => ({ ...follower, active: index < 3 }));
  const chosen = closely(followers);
  assert.is(chosen.length, 2);
  assert.ok(chosen.every((vm) => ["a-0", "a-1", "a-2"].includes(vm)));
});

suite("each of a few daemons reads for itself, and so does one that hears nobody", () => {
  assert.is(closely(daemons(5, "a")).length, 5);
  const alone = daemons(20, "a").map((follower) => ({ ...follower, able: follower.vm === "a-7" }));
  assert.ok(watchDuties.followsClosely("a-7", alone));
});

suite.run();
