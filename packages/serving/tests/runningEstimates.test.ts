import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("estimated requests at the endpoints of a plain service");

function counted(id: string, peers: number, own = 0): serving.CountedEndpoint {
  return { id, slots: 6, own, peers, serviceMs: 50 };
}

suite("without peers, or with heartbeats that are short against the work, the counts stand", () => {
  const alone = new serving.RunningEstimates().estimate([counted("a", 0, 4)], 0, 1_000);
  assert.equal(alone, { freshness: 1, running: [4] });
  const { freshness, running } = new serving.RunningEstimates().estimate([counted("a", 5, 1)], 1, 1_000);
  assert.ok(freshness > 0.98);
  assert.is(running[0], 6);
});

// All daemons would turn to the endpoint that was idle when the last heartbeats were sent.
suite("counts that are old against the work are replaced by their mean", () => {
  const estimates = new serving.RunningEstimates();
  let latest: serving.RunningEstimate = estimates.estimate([counted("a", 6), counted("b", 6)], 1_000, 0);
  for (let now = 1_000; now <= 40_000; now += 1_000)
    latest = estimates.estimate([counted("a", now % 2_000 === 0 ? 0 : 12), counted("b", 6)], 1_000, now);
  const [first = 0, second = 0] = latest.running;
  assert.ok(latest.freshness < 0.01);
  assert.ok(Math.abs(first - 6) < 2 && Math.abs(second - 6) < 0.5, JSON.stringify(latest));
});

// The own requests are known exactly at any time.
suite("own requests count in full, however old the heartbeats are", () => {
  const estimates = new serving.RunningEstimates();
  const [without = 0] = estimates.estimate([counted("a", 3)], 1_000, 0).running;
  assert.is(estimates.estimate([counted("a", 3, 5)], 1_000, 0).running[0], without + 5);
});

// Where requests wait in the endpoints, counts change slowly: replaced by a mean, they would hide the longer queue.
suite("counts stay valid for longer where requests wait in the endpoints", () => {
  const freshnessAt = (peers: number): number =>
    new serving.RunningEstimates().estimate([counted("a", peers)], 100, 0).freshness;
  assert.ok(freshnessAt(24) > freshnessAt(6) + 0.3);
  assert.is(freshnessAt(2), freshnessAt(6));
});

suite("an endpoint that is gone leaves no mean behind", () => {
  const estimates = new serving.RunningEstimates();
  estimates.estimate([counted("a", 12)], 1_000, 0);
  estimates.forget("a");
  assert.is(estimates.estimate([counted("a", 2)], 1_000, 1).running[0], 2);
});

suite("an estimate lies between the own requests and the most that was ever reported", () => {
  const report = fastCheck.record({
    peers: fastCheck.integer({ min: 0, max: 80 }),
    own: fastCheck.integer({ min: 0, max: 10 }),
    afterMs: fastCheck.integer({ min: 0, max: 3_000 }),
    heartbeatMs: fastCheck.integer({ min: 0, max: 1_000 }),
  });
  fastCheck.assert(
    fastCheck.property(fastCheck.array(report, { maxLength: 30 }), (reports) => {
      const estimates = new serving.RunningEstimates();
      let [now, most] = [0, 0];
      for (const { peers, own, afterMs, heartbeatMs } of reports) {
        now += afterMs;
        most = Math.max(most, peers);
        const { freshness, running } = estimates.estimate([counted("a", peers, own)], heartbeatMs, now);
        assert.ok(freshness >= 0 && freshness <= 1);
        assert.ok((running[0] ?? -1) >= own - 1e-6 && (running[0] ?? Infinity) <= own + most + 1e-6);
      }
    }),
  );
});

suite.run();
