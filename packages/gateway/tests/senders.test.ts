import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import type * as recipients from "../src/peers/recipients.js";
import * as senders from "../src/peers/senders.js";

const suite = uvu.suite("daemons that may send requests to endpoints");
const OWN = { vm: "a1", dataCentre: "a" };

function daemon(vm: string, state: Partial<Omit<recipients.KnownDaemon, "entry">> = {}): recipients.KnownDaemon {
  const dataCentre = vm.slice(0, 1);
  const entry = { vm, dataCentre, incarnation: "i", callers: "c", peers: "p", capacity: 1 };
  return { entry, live: false, dispatching: false, reportedActive: false, ...state };
}

const ACTIVE = { live: true, dispatching: true };
const STANDBY = { live: true };

suite("active daemons are senders, those on standby are not", () => {
  const others = [daemon("a2", ACTIVE), daemon("a3", STANDBY), daemon("b1", ACTIVE), daemon("b2")];
  assert.equal(senders.chooseSenders(OWN, others), ["a1", "a2", "b1"]);
});

suite("a daemon that others report as active is a sender, unless it says otherwise itself", () => {
  const reported = { reportedActive: true };
  const others = [daemon("b1", ACTIVE), daemon("b2", reported), daemon("b3", { ...reported, ...STANDBY })];
  assert.equal(senders.chooseSenders(OWN, others), ["a1", "b1", "b2"]);
});

// Heartbeats are cut. If each daemon took itself for the only sender, each would use the whole limit.
suite("a daemon that hears nobody counts all daemons that it knows", () => {
  const vms = ["a1", "a2", "a3", "b1", "b2"];
  for (const vm of vms) {
    const own = { vm, dataCentre: vm.slice(0, 1) };
    const others = vms.filter((other) => other !== vm).map((other) => daemon(other));
    assert.equal(senders.chooseSenders(own, others), vms);
  }
});

suite("a data centre that can't be heard counts with all its daemons", () => {
  const others = [daemon("a2", ACTIVE), daemon("b1"), daemon("b2"), daemon("b3")];
  assert.equal(senders.chooseSenders(OWN, others), ["a1", "a2", "b1", "b2", "b3"]);
});

suite("whatever is heard, the daemon itself and all that are known to dispatch are senders", () => {
  const state = fastCheck.record({
    live: fastCheck.boolean(),
    dispatching: fastCheck.boolean(),
    reportedActive: fastCheck.boolean(),
  });
  const known = fastCheck.uniqueArray(
    fastCheck.tuple(fastCheck.constantFrom("a", "b", "c"), fastCheck.nat(20), state),
    {
      selector: ([dataCentre, index]) => `${dataCentre}${index}`,
    },
  );
  fastCheck.assert(
    fastCheck.property(known, (daemons) => {
      const others = daemons.map(([dataCentre, index, each]) => daemon(`${dataCentre}x${index}`, each));
      const chosen = senders.chooseSenders(OWN, others);
      const dispatching = others.filter(({ live, dispatching }) => live && dispatching);
      return [OWN.vm, ...dispatching.map(({ entry }) => entry.vm)].every((vm) => chosen.includes(vm));
    }),
    { seed: 40 },
  );
});

suite.run();
