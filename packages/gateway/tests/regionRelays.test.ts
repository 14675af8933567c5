import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as linkedDaemons from "./helpers/linkedDaemons.js";

const suite = uvu.suite("heartbeats that are forwarded within a region");

const REGIONS = { a1: "a", a2: "a", b1: "b" };
const DISTANT = ["vm-b1", "vm-b2", "vm-b3", "vm-b4"].map((vm) => ({ vm, dataCentre: "b1", forwards: true }));
const NEAR = [
  { vm: "vm-a1", dataCentre: "a1", forwards: true },
  { vm: "vm-a2", dataCentre: "a2", forwards: true },
  { vm: "vm-a3", dataCentre: "a2", forwards: false },
];

/** A heartbeat of a daemon of the other region. */
const PULSE = { vm: "vm-b1", incarnation: "i", dataCentre: "b1", ready: true, active: true, nextWithinMs: 350 };

function receiver(linked: linkedDaemons.LinkedDaemons, vm: string): linkedDaemons.Receiver {
  const found = linked.receivers.get(vm);
  assert.ok(found !== undefined);
  return found;
}

async function until(holds: () => boolean): Promise<void> {
  while (!holds()) await new Promise((resolve) => setTimeout(resolve, 5));
}

// Heartbeats were two thirds of the bytes between regions: each crossed once for every daemon of the other region.
suite("a heartbeat to another region is sent to one daemon there, to all of them in turn", async () => {
  const linked = await linkedDaemons.linkDaemons(REGIONS, DISTANT);
  try {
    await linked.link.start();
    const received = (): number => DISTANT.flatMap(({ vm }) => receiver(linked, vm).heartbeats).length;
    await until(() => received() >= 8);
    const forwardable = DISTANT.map(({ vm }) => receiver(linked, vm).heartbeats.filter(({ forward }) => forward));
    assert.ok(
      forwardable.every((heartbeats) => heartbeats.length >= 1),
      forwardable.map(({ length }) => length).join(" "),
    );
    const sequences = forwardable.flatMap((heartbeats) => heartbeats.map(({ sequence }) => sequence));
    assert.is(new Set(sequences).size, sequences.length, "each heartbeat goes to one relay");
  } finally {
    linked.close();
  }
});

// An engine that leaves must get nothing new after seconds: a relay that has failed must not hold the news back.
suite("a change of state is sent to each daemon of another region directly", async () => {
  const linked = await linkedDaemons.linkDaemons(REGIONS, DISTANT);
  try {
    await linked.link.start();
    await until(() => DISTANT.some(({ vm }) => receiver(linked, vm).heartbeats.some(({ forward }) => forward)));
    linked.link.noteDeparture("engine-9", { revision: 5, bornAt: undefined, setAside: false, isStated: false });
    const hasDirectNews = ({ vm }: { vm: string }): boolean =>
      receiver(linked, vm).pulses.some(({ departures, forward }) => departures.length > 0 && !forward);
    await until(() => DISTANT.every(hasDirectNews));
  } finally {
    linked.close();
  }
});

suite(
  "a relay forwards to the daemons of its region that rely on relays, with ages that include its delay",
  async () => {
    const linked = await linkedDaemons.linkDaemons(REGIONS, [...NEAR, ...DISTANT], 100);
    try {
      await linked.link.start();
      const sender = receiver(linked, "vm-b1");
      const ages = { configurationAgeMs: 40, versionsAgeMs: 50, dutyLeaseMs: 700 };
      sender.send({ ...PULSE, ...ages, forwards: true, forward: true, sequence: 3 }, linked.port);
      const forwarded = (vm: string): unknown[] =>
        receiver(linked, vm)
          .pulses.filter(({ forwardedFrom }) => forwardedFrom !== "")
          .map((pulse) => [pulse.vm, pulse.forwardedFrom, pulse.forward, pulse.sequence, pulse.configurationAgeMs]);
      await until(() => forwarded("vm-a1").length > 0 && forwarded("vm-a2").length > 0);
      assert.equal(forwarded("vm-a1"), [["vm-b1", sender.address, false, 3, 140]]);
      assert.equal(forwarded("vm-a2"), forwarded("vm-a1"));
      assert.equal(forwarded("vm-a3"), [], "it gets heartbeats of other regions directly");
      const [pulse] = receiver(linked, "vm-a1").pulses.filter(({ forwardedFrom }) => forwardedFrom !== "");
      assert.equal([pulse?.versionsAgeMs, pulse?.dutyLeaseMs], [150, 600]);
      assert.match(linked.metrics.text({}), /heartbeats_forwarded 1/u);
    } finally {
      linked.close();
    }
  },
);

// A relay that was paused would report a daemon as alive that has ended, or work that has ended.
suite("a relay whose event loop was late does not forward what waited in its socket", async () => {
  const linked = await linkedDaemons.linkDaemons(REGIONS, [...NEAR, ...DISTANT], 400);
  try {
    await linked.link.start();
    receiver(linked, "vm-b1").send({ ...PULSE, forward: true, sequence: 9 }, linked.port);
    await until(() => linked.link.peerTable.liveState("vm-b1", performance.now())?.sequence === 9);
    const count = receiver(linked, "vm-a1").heartbeats.length;
    await until(() => receiver(linked, "vm-a1").heartbeats.length > count);
    assert.is(receiver(linked, "vm-a1").pulses.filter(({ forwardedFrom }) => forwardedFrom !== "").length, 0);
  } finally {
    linked.close();
  }
});

// A daemon that has left or started anew must not come back with a heartbeat that took longer on its way.
suite(
  "a forwarded heartbeat older than the last one of its sender changes no state, and its address is the sender's",
  async () => {
    const linked = await linkedDaemons.linkDaemons(REGIONS, [...NEAR, ...DISTANT]);
    try {
      await linked.link.start();
      const state = (): unknown => {
        const { incarnation, ready, sequence } = linked.link.peerTable.liveState("vm-b1", performance.now()) ?? {};
        return [incarnation, ready, sequence];
      };
      const relay = receiver(linked, "vm-a1");
      const forwardedFrom = receiver(linked, "vm-b1").address;
      relay.send({ ...PULSE, incarnation: "i", sequence: 5, ready: false, forwardedFrom }, linked.port);
      await until(() => JSON.stringify(state()) === '["i",false,5]');
      relay.send({ ...PULSE, sequence: 4, forwardedFrom }, linked.port);
      relay.send({ ...PULSE, incarnation: "former", sequence: 9, forwardedFrom }, linked.port);
      await until(() => linked.metrics.text({}).includes("forwarded_heartbeats_outdated 2"));
      assert.equal(state(), ["i", false, 5]);
      relay.send({ ...PULSE, sequence: 6, forwardedFrom }, linked.port);
      await until(() => JSON.stringify(state()) === '["i",true,6]');
      assert.is(linked.view.daemons.get("vm-b1")?.peers, forwardedFrom);
    } finally {
      linked.close();
    }
  },
);

suite.run();
