import * as fc from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as experiment from "../src/index.js";

const SEED = 49;

/** What a daemon may send and receive for all control together, in bytes a second. */
const MOST_BYTES_PER_SECOND = 20_000;

/** Share of the streams that go on, at least: half is what callers are promised. */
const LEAST_SHARE = 0.5;

const suite = uvu.suite("streams that callers take up while versions change and daemons fail");

function scenario(changes: Partial<experiment.StreamScenario>): experiment.StreamScenario {
  const daemons = changes.daemons ?? 9;
  return {
    daemons,
    dataCentres: 3,
    endpoints: 6,
    streamsPerSecondEach: 6,
    versions: 2,
    killedShare: 0.3,
    cutShare: 0.3,
    heartbeatMs: experiment.heartbeatMsOf(daemons),
    knowledge: experiment.StreamKnowledge.Records,
    ...changes,
  };
}

for (const [daemons, endpoints, streamsPerSecondEach] of [
  [9, 6, 6],
  [69, 46, 6],
  [690, 530, 0.5],
] as const) {
  // Daemons are killed and cut off from the store while two or three versions serve side by side.
  suite(`${daemons} daemons, three versions: no stream goes on at another version, most go on`, () => {
    const fleet = scenario({ daemons, endpoints, streamsPerSecondEach, versions: 3 });
    const outcome = new experiment.StreamReplay(fleet, SEED).run();
    assert.ok(outcome.takenUp > 50, `${outcome.takenUp} taken up`);
    assert.is(outcome.mixed, 0);
    assert.ok(outcome.goOnShare >= LEAST_SHARE, `${outcome.goOnShare} went on`);
    assert.ok(outcome.mostBytesPerSecond < MOST_BYTES_PER_SECOND, `${outcome.mostBytesPerSecond} bytes a second`);
  });
}

suite("nothing is exchanged while a service has one version", () => {
  const fleet = scenario({ versions: 1, killedShare: 0, cutShare: 0 });
  const outcome = new experiment.StreamReplay(fleet, SEED).run();
  assert.is(outcome.mostBytesPerSecond, 0);
  assert.is(outcome.goOnShare, 1);
});

suite("streams mix versions where daemons take any endpoint", () => {
  const fleet = scenario({ knowledge: experiment.StreamKnowledge.None });
  assert.ok(new experiment.StreamReplay(fleet, SEED).run().mixed > 0);
});

suite("fewer streams go on without records", () => {
  const withRecords = new experiment.StreamReplay(scenario({}), SEED).run();
  const without = new experiment.StreamReplay(
    scenario({ knowledge: experiment.StreamKnowledge.OnlyVersion }),
    SEED,
  ).run();
  assert.is(without.mixed, 0);
  assert.ok(without.goOnShare < withRecords.goOnShare);
});

suite("no stream mixes versions, whatever fails", () => {
  const troubles = fc.record({
    daemons: fc.integer({ min: 1, max: 20 }),
    dataCentres: fc.integer({ min: 1, max: 4 }),
    endpoints: fc.integer({ min: 1, max: 12 }),
    versions: fc.integer({ min: 1, max: 3 }),
    killedShare: fc.constantFrom(0, 0.2, 0.5, 0.9, 1),
    cutShare: fc.constantFrom(0, 0.3, 1),
  });
  fc.assert(
    fc.property(troubles, fc.integer({ min: 1, max: 1_000_000 }), (changes, seed) => {
      assert.is(new experiment.StreamReplay(scenario(changes), seed).run().mixed, 0);
    }),
    { seed: SEED, numRuns: 100 },
  );
});

suite.run();
