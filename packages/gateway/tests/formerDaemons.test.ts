import type * as daemonEntries from "../src/daemonEntry.js";
import * as fleetViews from "../src/fleetView.js";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as formerDaemons from "../src/formerDaemons.js";

const suite = uvu.suite("daemons that have left and may restart");

const FLEET = Array.from({ length: 300 }, (_, index) => `vm-${index}`);

function entry(vm: string): daemonEntries.DaemonEntry {
  return { vm, incarnation: "before", dataCentre: "a", callers: `${vm}:1`, peers: `${vm}:2`, capacity: 1 };
}

/** The daemons of a fleet that send heartbeats to one that has left, given the live ones. */
function sendersTo(left: string, live: readonly string[]): string[] {
  return live.filter((own) => {
    const former = new formerDaemons.FormerDaemons();
    former.add(entry(left), 0);
    const candidates = live.filter((vm) => vm !== own);
    return former.assignedTo(own, candidates, 1).length > 0;
  });
}

// A daemon of a large fleet restarts. If all daemons sent to it, the datagrams to daemons that are down would grow with
// the square of the fleet. If only one did and died too, the restarted daemon would receive no heartbeat.
suite("a few daemons send to one that has left, and others do when these die", () => {
  const live = FLEET.filter((vm) => vm !== "vm-7");
  const first = sendersTo("vm-7", live);
  assert.is(first.length, formerDaemons.SENDERS_PER_FORMER_DAEMON);
  const second = sendersTo(
    "vm-7",
    live.filter((vm) => !first.includes(vm)),
  );
  assert.is(second.length, formerDaemons.SENDERS_PER_FORMER_DAEMON);
});

// A VM is removed for good. Sending to its address must end, because another machine may get the address.
suite("a daemon that doesn't return is dropped", () => {
  const former = new formerDaemons.FormerDaemons();
  former.add(entry("vm-2"), 0);
  assert.is(former.assignedTo("vm-1", [], formerDaemons.FORMER_KEPT_MS - 1).length, 1);
  assert.is(former.assignedTo("vm-1", [], formerDaemons.FORMER_KEPT_MS).length, 0);
});

suite("only the newest are kept, up to the maximum", () => {
  const former = new formerDaemons.FormerDaemons();
  for (const [index, vm] of FLEET.entries()) former.add(entry(vm), index);
  const kept = former.assignedTo("vm-own", [], FLEET.length).map(({ vm }) => vm);
  assert.equal(kept, FLEET.slice(-formerDaemons.MAX_FORMER_DAEMONS));
});

suite("a daemon that has joined again is no longer kept as a former one", () => {
  const former = new formerDaemons.FormerDaemons();
  former.add(entry("vm-2"), 0);
  assert.equal(former.remove("vm-2"), entry("vm-2"));
  assert.equal(former.assignedTo("vm-1", [], 1), []);
  assert.is(former.remove("vm-2"), undefined);
});

suite("a daemon doesn't send to itself when its own entry has lapsed", () => {
  const former = new formerDaemons.FormerDaemons();
  former.add(entry("vm-1"), 0);
  assert.equal(former.assignedTo("vm-1", [], 1), []);
});

// After an outage of the key-value service in which all entries have lapsed, each daemon finds only its own entry. If
// the others were not counted until they are registered again, each daemon would spend the retries of the whole fleet.
suite("daemons whose entries have just lapsed still count in the upper bound of daemons", () => {
  const view = new fleetViews.FleetView();
  view.daemons.set("daemons/vm-1", entry("vm-1"));
  for (const vm of ["vm-2", "vm-3", "vm-4"]) view.former.add(entry(vm), 0);
  assert.is(view.daemonsUpperBound, 4);
  view.former.remove("vm-2");
  view.daemons.set("daemons/vm-2", entry("vm-2"));
  assert.is(view.daemonsUpperBound, 4);
});

suite.run();
