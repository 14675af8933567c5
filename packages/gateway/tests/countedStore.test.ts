import * as neverthrow from "neverthrow";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as metricsModule from "../src/metrics.js";
import * as ports from "../src/ports.js";
import * as countedStores from "../src/store/countedStore.js";

const suite = uvu.suite("calls to the key-value service, by purpose");

const PROBLEM = { failure: ports.StoreFailure.Unanswered, detail: "no answer" };

function failing(): ReturnType<ports.DurableStore["write"]> {
  return Promise.resolve(neverthrow.err(PROBLEM));
}

/** Answers every call; lists take several calls. */
const STORE: ports.DurableStore = {
  list: () => Promise.resolve(neverthrow.ok({ items: [], revision: 1, calls: 3 })),
  watch: () => Promise.resolve(neverthrow.ok({ events: [], revision: 1 })),
  write: failing,
  grantLease: () => Promise.resolve(neverthrow.ok({ id: 1, ttlMs: 1 })),
  renewLease: () => Promise.resolve(neverthrow.ok(undefined)),
  endLease: () => Promise.resolve(neverthrow.ok(undefined)),
};

function counts(metrics: metricsModule.Metrics): string[] {
  return metrics
    .text({})
    .split("\n")
    .filter((line) => line.includes("store_calls_total"));
}

// Without the purposes, an operator can't tell what a daemon that calls the service often does there.
suite("each user's calls are counted by what they are for, and a list by its pages", async () => {
  const metrics = new metricsModule.Metrics();
  const stores = countedStores.countedStores(STORE, metrics);
  await stores.follower.list("p");
  await stores.follower.watch("p", 1, 1);
  await stores.registration.grantLease(1);
  await stores.registration.renewLease(1);
  await stores.duties.renewLease(1);
  await stores.usage.list("p");
  await stores.suspects.endLease(1);
  await stores.configuration.list("p");
  assert.equal(counts(metrics), [
    'camphorcourse_store_calls_total{purpose="list"} 3',
    'camphorcourse_store_calls_total{purpose="watch"} 1',
    'camphorcourse_store_calls_total{purpose="registration"} 1',
    'camphorcourse_store_calls_total{purpose="lease_renewal"} 1',
    'camphorcourse_store_calls_total{purpose="orders"} 1',
    'camphorcourse_store_calls_total{purpose="usage_records"} 3',
    'camphorcourse_store_calls_total{purpose="suspects"} 1',
    'camphorcourse_store_calls_total{purpose="configuration"} 3',
  ]);
});

suite("a call that fails is counted, and its result is passed on", async () => {
  const metrics = new metricsModule.Metrics();
  const { registration } = countedStores.countedStores(STORE, metrics);
  const written = await registration.write({ conditions: [], puts: [], removals: [] });
  assert.equal(written.isErr() ? written.error : undefined, PROBLEM);
  assert.equal(counts(metrics), ['camphorcourse_store_calls_total{purpose="registration"} 1']);
});

suite.run();
