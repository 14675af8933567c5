import * as common from "@camphorcourse/common";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const DRAWS = 9_000;
const NOBODY: ReadonlySet<string> = new Set();

const suite = uvu.suite("the peer that passes on a request");

function peer(vm: string, dataCentre: string, state: Partial<serving.RelayCandidate> = {}): serving.RelayCandidate {
  return { vm, dataCentre, ready: true, active: true, linkLost: false, capacity: 1, busyCores: 0.1, ...state };
}

/** Counts how often each peer is chosen by a daemon of data centre a. */
function choices(
  candidates: readonly serving.RelayCandidate[],
  { excluded = NOBODY, avoidedDataCentres = NOBODY } = {},
): Map<string | undefined, number> {
  const random = new common.SeededRandom(43);
  const counts = new Map<string | undefined, number>();
  for (let draw = 0; draw < DRAWS; draw++) {
    const inputs = { dataCentre: "a", excluded, avoidedDataCentres, draw: () => random.next() };
    const vm = serving.chooseRelay(candidates, inputs)?.vm;
    counts.set(vm, (counts.get(vm) ?? 0) + 1);
  }
  return counts;
}

suite("is able: neither stopping, nor cut off, nor tried before", () => {
  const candidates = [
    peer("stopping", "a", { ready: false }),
    peer("lost", "a", { linkLost: true }),
    peer("tried", "a"),
    peer("able", "b"),
  ];
  assert.equal([...choices(candidates, { excluded: new Set(["tried"]) }).keys()], ["able"]);
  assert.equal([...choices(candidates.slice(0, 2)).keys()], [undefined]);
});

suite("is near while the near ones have capacity to spare", () => {
  assert.equal([...choices([peer("near", "a"), peer("far", "b")]).keys()], ["near"]);
  const busy = [peer("near", "a", { busyCores: 0.9 }), peer("far", "b"), peer("farther", "c")];
  assert.ok((choices(busy).get("near") ?? 0) < DRAWS / 5);
});

// A data centre that is cut off as a whole asks itself until the heartbeats say so.
suite("is in another data centre once one near has failed to reach the endpoint", () => {
  const candidates = [peer("near", "a"), peer("far", "b")];
  assert.equal([...choices(candidates, { avoidedDataCentres: new Set(["a"]) }).keys()], ["far"]);
  assert.equal([...choices(candidates.slice(0, 1), { avoidedDataCentres: new Set(["a"]) }).keys()], ["near"]);
});

suite("is on standby only where no active one is able", () => {
  const candidates = [peer("standby", "a", { active: false }), peer("active", "b")];
  assert.equal([...choices(candidates).keys()], ["active"]);
  assert.equal([...choices(candidates.slice(0, 1)).keys()], ["standby"]);
});

// The requests of a whole data centre must not all go to a few daemons.
suite("is each of the able ones about as often as the others", () => {
  const candidates = Array.from({ length: 30 }, (_, index) => peer(`vm-${index}`, index % 2 === 0 ? "b" : "c"));
  const counts = [...choices(candidates).values()];
  assert.is(counts.length, candidates.length);
  assert.ok(Math.max(...counts) < (1.5 * DRAWS) / candidates.length);
});

suite.run();
