import * as serving from "@camphorcourse/serving";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as callerAddresses from "../src/callers/callerAddresses.js";
import type * as daemonEntries from "../src/daemonEntry.js";
import * as fleetViews from "../src/fleetView.js";
import * as peerTables from "../src/peerTable.js";

const suite = uvu.suite("addresses given to callers, by distance");

const REGIONS = { a1: "a", a2: "a", b1: "b" };

function entry(dataCentre: string, index: number): daemonEntries.DaemonEntry {
  const vm = `${dataCentre}-${index}`;
  return { vm, incarnation: vm, dataCentre, callers: vm, peers: `${vm}:2`, capacity: 1 };
}

function addressesAt(
  caller: string,
  counts: Readonly<Record<string, number>>,
  dataCentres: Readonly<Record<string, string>>,
): string[] {
  const view = new fleetViews.FleetView();
  const own = entry("b1", 0);
  const others = Object.entries(counts).flatMap(([dataCentre, count]) =>
    Array.from({ length: count }, (_, index) => entry(dataCentre, index + 1)),
  );
  for (const other of others) view.daemons.set(other.vm, other);
  const addresses = new callerAddresses.CallerAddresses({
    entry: own,
    view,
    peers: {
      peerTable: new peerTables.PeerTable(own.vm),
      activeSet: { active: true, activeVms: others.map(({ vm }) => vm) } as never,
    },
    distances: serving.distancesBetweenRegions({ dataCentre: "b1", dataCentres }),
    ready: () => true,
    isCutOff: () => false,
  });
  return addresses.choose(caller, 0).sort();
}

// A caller whose data centre has too few daemons was given the addresses of all regions, and two of three calls went to
// a daemon 12 ms away.
suite("a caller gets the daemons of its data centre, else of its region, else all", () => {
  assert.equal(addressesAt("a1", { a1: 2, a2: 2, b1: 1 }, REGIONS), ["a1-1", "a1-2"]);
  assert.equal(addressesAt("a1", { a1: 1, a2: 2, b1: 1 }, REGIONS), ["a1-1", "a2-1", "a2-2"]);
  assert.equal(addressesAt("a1", { a1: 1, b1: 1 }, REGIONS), ["a1-1", "b1-0", "b1-1"]);
  assert.equal(addressesAt("elsewhere", { a1: 2, b1: 1 }, REGIONS), ["a1-1", "a1-2", "b1-0", "b1-1"]);
});

// With one region nothing changes: too few daemons in the data centre means all addresses.
suite("with one region a caller gets the daemons of its data centre, else all", () => {
  const oneRegion = { a1: "a", a2: "a", b1: "a" };
  assert.equal(addressesAt("a1", { a1: 2, a2: 2, b1: 1 }, oneRegion), ["a1-1", "a1-2"]);
  assert.equal(addressesAt("a1", { a1: 1, a2: 2, b1: 1 }, oneRegion), ["a1-1", "a2-1", "a2-2", "b1-0", "b1-1"]);
});

suite.run();
