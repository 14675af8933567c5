import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("hot shared parts, and roles by region");

const OBJECTIVE_MS = 400;
const ORDER = ["first", "second", "third"];

function preferredAt(parts: serving.HotParts, waitMs: number, now: number, secondWaitMs = waitMs): string[] {
  return parts.preferred({
    key: "part",
    order: ORDER,
    waitMs: (id) => (id === "first" ? waitMs : secondWaitMs),
    objectiveMs: OBJECTIVE_MS,
    now,
  });
}

// The prompts of a part that many callers ask for at once queued at its one preferred engine while others idled.
suite(
  "a part whose prompts wait for half of the objective gets a second engine until the wait has been short for 2 s",
  () => {
    const parts = new serving.HotParts();
    assert.equal(preferredAt(parts, 200, 0), ["first"]);
    assert.equal(preferredAt(parts, 900, 5, 100), ["first"], "the second engine has no room");
    assert.equal(preferredAt(parts, 201, 10, 99), ["first", "second"]);
    assert.equal(preferredAt(parts, 120, 20), ["first", "second"], "between a quarter and a half");
    assert.equal(preferredAt(parts, 90, 1_000), ["first", "second"]);
    assert.equal(preferredAt(parts, 90, 2_900), ["first", "second"], "short for 1.9 s");
    assert.equal(preferredAt(parts, 110, 2_950), ["first", "second"], "no longer short");
    assert.equal(preferredAt(parts, 90, 3_000), ["first", "second"]);
    assert.equal(preferredAt(parts, 20, 2_950, 150), ["first", "second"], "the second engine is still busy");
    assert.equal(preferredAt(parts, 90, 3_100), ["first", "second"]);
    assert.equal(preferredAt(parts, 90, 5_100), ["first"]);
    assert.equal(preferredAt(parts, 90, 5_200), ["first"]);
    assert.is(parts.count, 0);
  },
);

suite("hot parts are bounded in number, and one that no prompt uses is forgotten", () => {
  const parts = new serving.HotParts();
  for (let index = 0; index < 2_000; index++) {
    const key = `part-${index}`;
    parts.preferred({
      key,
      order: ORDER,
      waitMs: (id) => (id === "first" ? 900 : 0),
      objectiveMs: OBJECTIVE_MS,
      now: index,
    });
  }
  assert.is(parts.count, 256);
  const key = "part-1999";
  const later = { key, order: ORDER, waitMs: () => 120, objectiveMs: OBJECTIVE_MS };
  assert.equal(parts.preferred({ ...later, now: 2_100 }), ["first", "second"]);
  assert.equal(parts.preferred({ ...later, now: 20_000 }), ["first"]);
  assert.equal(parts.preferred({ ...later, order: [], now: 0 }), []);
  assert.equal(parts.preferred({ ...later, order: ["only"], waitMs: () => 900, now: 0 }), ["only"]);
});

function engine(id: string, region: string | undefined, role: serving.EngineRole, running = 0): serving.BalancedEngine {
  return { id, role, running, slots: 16, region };
}

function chosenFor(engines: readonly serving.BalancedEngine[], readingLoad: number): string | undefined {
  const balance = new serving.RoleBalance();
  for (let now = 0; now <= 20_000; now += 300) {
    const change = balance.decide({
      engines,
      readingLoad,
      eventsPerMs: 0.01,
      speeds: new serving.EngineSpeeds(),
      streamCapacity: 100,
      now,
    });
    if (change !== undefined) return change.endpointId;
  }
  return undefined;
}

// A region's prompts stay in it: without a prefill engine there, all of them would be prefilled beside its streams.
suite("the engine that changes its role is one of the region where the wanted role is rarest", () => {
  const { Decode, Prefill } = serving.EngineRole;
  const engines = [
    ...["a1", "a2", "a3"].map((id) => engine(id, "a", Decode)),
    engine("a4", "a", Prefill),
    ...["b1", "b2", "b3", "b4"].map((id) => engine(id, "b", Decode, 1)),
  ];
  assert.is(chosenFor(engines, 6), "b1");
  const withoutRegions = engines.map((each) => ({ ...each, region: undefined }));
  assert.is(chosenFor(withoutRegions, 6), "a1", "without regions the idlest");
});

suite("with one region named or none, the chosen engine is the same", () => {
  const { Decode, Prefill } = serving.EngineRole;
  const running = fastCheck.array(fastCheck.nat(20), { minLength: 3, maxLength: 8 });
  fastCheck.assert(
    fastCheck.property(running, fastCheck.nat(8), (counts, load) => {
      const roleOf = (index: number): serving.EngineRole => (index === 0 ? Prefill : Decode);
      const engines = counts.map((count, index) => engine(`e${index}`, undefined, roleOf(index), count));
      const named = engines.map((each) => ({ ...each, region: "a" }));
      assert.is(chosenFor(named, load), chosenFor(engines, load));
    }),
    { numRuns: 30 },
  );
});

suite.run();
