import type * as daemonEntries from "../src/daemonEntry.js";
import * as fleetViews from "../src/fleetView.js";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as formerDaemons from "../src/formerDaemons.js";

const suite = uvu.suite("daemons that have left and may start again");

const FLEET = Array.from({ length: 300 }, (_, index) => `vm-${index}`);

function entry(vm: string): daemonEntries.DaemonEntry {
  return { vm, incarnation: "before", dataCentre: "a", callers: `${vm}:1`, peers: `${vm}:2`, capacity: 1 };
}

/** Who of a fleet speaks to one that has left, if these live. */
function speakers(left: string, live: readonly string[]): string[] {
  return live.filter((own) => {
    const former = new formerDaemons.FormerDaemons();
    former.note(entry(left), 0);
    const able = live.filter((vm) => vm !== own);
    return former.spokenToBy(own, able, 1).length > 0;
  });
}

// A daemon of a large fleet restarts. Were it spoken to by all, the datagrams to those that are down would grow with
// the square of the fleet; were it spoken to by one that has just died too, it would hear nobody.
suite("few speak to one that has left, and others when these die", () => {
  const live = FLEET.filter((vm) => vm !== "vm-7");
  const first = speakers("vm-7", live);
  assert.is(first.length, formerDaemons.FORMER_SPEAKERS);
  const second = speakers(
    "vm-7",
    live.filter((vm) => !first.includes(vm)),
  );
  assert.is(second.length, formerDaemons.FORMER_SPEAKERS);
});

// A VM is removed for good. Nobody is to speak to its address for ever: another machine may get it.
suite("one that doesn't come back is forgotten", () => {
  const former = new formerDaemons.FormerDaemons();
  former.note(entry("vm-2"), 0);
  assert.is(former.spokenToBy("vm-1", [], formerDaemons.FORMER_KEPT_MS - 1).length, 1);
  assert.is(former.spokenToBy("vm-1", [], formerDaemons.FORMER_KEPT_MS).length, 0);
});

suite("only so many are kept, the newest", () => {
  const former = new formerDaemons.FormerDaemons();
  for (const [index, vm] of FLEET.entries()) former.note(entry(vm), index);
  const kept = former.spokenToBy("vm-own", [], FLEET.length).map(({ vm }) => vm);
  assert.equal(kept, FLEET.slice(-formerDaemons.MOST_FORMER));
});

suite("one that has joined again is no longer spoken to as one that has left", () => {
  const former = new formerDaemons.FormerDaemons();
  former.note(entry("vm-2"), 0);
  assert.equal(former.take("vm-2"), entry("vm-2"));
  assert.equal(former.spokenToBy("vm-1", [], 1), []);
  assert.is(former.take("vm-2"), undefined);
});

suite("a daemon doesn't speak to itself, when its own entry has lapsed", () => {
  const former = new formerDaemons.FormerDaemons();
  former.note(entry("vm-1"), 0);
  assert.equal(former.spokenToBy("vm-1", [], 1), []);
});

// The service comes back from an outage in which all entries have lapsed, and each daemon reads of itself alone. Were
// the others not counted until they have written theirs again, each would spend the repeats of the whole fleet.
suite("daemons whose entries have just lapsed still count among those that share", () => {
  const view = new fleetViews.FleetView();
  view.daemons.set("daemons/vm-1", entry("vm-1"));
  for (const vm of ["vm-2", "vm-3", "vm-4"]) view.former.note(entry(vm), 0);
  assert.is(view.daemonsUpperBound, 4);
  view.former.take("vm-2");
  view.daemons.set("daemons/vm-2", entry("vm-2"));
  assert.is(view.daemonsUpperBound, 4);
});

suite.run();
