import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as metricsModule from "../src/metrics.js";

const suite = uvu.suite("text format of the gateway's metrics");

/** @returns the lines of one duration: its quantiles 0.5, 0.95 and 0.99, then its count */
function durationLines(name: string, quantiles: readonly number[], count: number): string[] {
  const [median, p95, p99] = quantiles;
  return [
    `camphorcourse_${name}{quantile="0.5"} ${median}`,
    `camphorcourse_${name}{quantile="0.95"} ${p95}`,
    `camphorcourse_${name}{quantile="0.99"} ${p99}`,
    `camphorcourse_${name}_count ${count}`,
  ];
}

const ZERO_QUANTILES = [0, 0, 0];

suite("only gauges are written before anything is counted", () => {
  assert.is(new metricsModule.Metrics().text({ open_requests: 3 }), "camphorcourse_open_requests 3\n");
  assert.is(new metricsModule.Metrics().text({}), "\n");
});

suite("counters come first, then gauges, then durations in the order of their first record", () => {
  const metrics = new metricsModule.Metrics();
  metrics.record(metricsModule.Duration.StoreCall, 12.4);
  metrics.count("role_orders");
  metrics.count("requests_answered");
  metrics.count("requests_answered");
  for (let value = 1; value <= 1_000; value++) metrics.record(metricsModule.Duration.Request, value);
  metrics.record(metricsModule.Duration.FirstEvent, -5);
  assert.equal(metrics.text({ ready: 1, peers: 4 }).split("\n"), [
    "camphorcourse_role_orders 1",
    "camphorcourse_requests_answered 2",
    "camphorcourse_ready 1",
    "camphorcourse_peers 4",
    ...durationLines("store_call_milliseconds", [12, 12, 12], 1),
    ...durationLines("request_milliseconds", [501, 951, 991], 1_000),
    ...durationLines("first_event_milliseconds", ZERO_QUANTILES, 1),
    "",
  ]);
});

suite("a value above the maximum is recorded as the maximum", () => {
  const metrics = new metricsModule.Metrics();
  metrics.record(metricsModule.Duration.Request, 900_000);
  assert.equal(metrics.text({}).split("\n"), [
    ...durationLines("request_milliseconds", [602_111, 602_111, 602_111], 1),
    "",
  ]);
});

suite.run();
