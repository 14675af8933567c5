import * as neverthrow from "neverthrow";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as configurationGates from "../src/configuration/configurationGate.js";
import * as decisionLogs from "../src/decisionLog.js";
import * as fleetViews from "../src/fleetView.js";
import * as metricsModule from "../src/metrics.js";
import * as ports from "../src/ports.js";

const LIMITS = { headerBytes: 1_000, bodyBytes: 1_000, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 };

const suite = uvu.suite("reads of the configuration for requests that wait");

interface Fixture {
  readonly gate: configurationGates.ConfigurationGate;
  readonly reads: () => number;
  readonly view: fleetViews.FleetView;
}

/** A gate whose configuration was last known to be the newest long ago, before a store that answers late or fails. */
function createFixture(answerMs: number, fails = false): Fixture {
  let reads = 0;
  const view = new fleetViews.FleetView();
  view.configure({ version: 1, routes: [], services: [], limits: LIMITS }, new Uint8Array(), 7);
  view.freshness.noteConfirmed(7, performance.now() - 60_000);
  const item = { key: "configuration", value: new Uint8Array(), revision: 7, createdRevision: 1 };
  const problem = { failure: ports.StoreFailure.Refused, detail: "refused" };
  const gate = new configurationGates.ConfigurationGate({
    store: {
      list: async () => {
        reads++;
        await new Promise((resolve) => setTimeout(resolve, answerMs));
        return fails ? neverthrow.err(problem) : neverthrow.ok({ items: [item], revision: 9 });
      },
    },
    layout: { configurationKey: "configuration" },
    view,
    fleetViewUpdater: { applyConfiguration: () => undefined },
    log: new decisionLogs.DecisionLog("vm-1", "info", { writableLength: 0, write: () => true }),
    metrics: new metricsModule.Metrics(),
    isStoreUnreachable: () => false,
  });
  return { gate, reads: () => reads, view };
}

async function tookMs(step: () => Promise<void>): Promise<number> {
  const startedAt = performance.now();
  await step();
  return performance.now() - startedAt;
}

suite("requests that arrive together share one read, and those after it need none", async () => {
  const { gate, reads } = createFixture(20);
  await Promise.all(Array.from({ length: 50 }, () => gate.confirm()));
  assert.ok(gate.isCurrent);
  await gate.confirm();
  assert.is(reads(), 1);
});

// A slow key-value service would delay every request by the longest wait, one after the other.
suite("a slow read delays only the requests of its first moments, and counts from its beginning", async () => {
  const { gate, reads } = createFixture(1_000);
  assert.ok((await tookMs(() => gate.confirm())) < 600);
  assert.not.ok(gate.isCurrent);
  assert.ok((await tookMs(() => gate.confirm())) < 100, "the next one doesn't wait");
  await new Promise((resolve) => setTimeout(resolve, 700));
  assert.ok(gate.isCurrent);
  assert.ok(gate.ageMs >= 950, `${gate.ageMs} ms`);
  assert.is(reads(), 1);
});

suite("a read that failed is not repeated at once", async () => {
  const { gate, reads } = createFixture(0, true);
  await gate.confirm();
  await gate.confirm();
  assert.not.ok(gate.isCurrent);
  assert.is(reads(), 1);
});

// A daemon of an older version can't decode what its peers have in force, and is behind for as long as it runs.
suite("a configuration that can't be decoded here is not read for each request", async () => {
  const { gate, reads, view } = createFixture(2);
  view.freshness.noteSeen(8);
  const longest = await tookMs(async () => {
    for (let request = 0; request < 100; request++) await gate.confirm();
  });
  assert.not.ok(gate.isCurrent);
  assert.is(reads(), 1);
  assert.ok(longest < 400, `${longest} ms for 100 requests`);
});

suite.run();
