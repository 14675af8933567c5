import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as metricsModule from "../src/metrics.js";

const suite = uvu.suite("the gateway's metrics as text");

/** @returns the lines of one duration: its quantiles 0.5, 0.95 and 0.99, then its count */
function lines(name: string, quantiles: readonly number[], count: number): string[] {
  const [half, most, nearlyAll] = quantiles;
  return [
    `camphorcourse_${name}{quantile="0.5"} ${half}`,
    `camphorcourse_${name}{quantile="0.95"} ${most}`,
    `camphorcourse_${name}{quantile="0.99"} ${nearlyAll}`,
    `camphorcourse_${name}_count ${count}`,
  ];
}

const NONE = [0, 0, 0];

suite("without anything counted there are only gauges", () => {
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
    ...lines("store_call_milliseconds", [12, 12, 12], 1),
    ...lines("request_milliseconds", [501, 951, 991], 1_000),
    ...lines("first_event_milliseconds", NONE, 1),
    "",
  ]);
});

suite("a value over the largest counts as the largest", () => {
  const metrics = new metricsModule.Metrics();
  metrics.record(metricsModule.Duration.Request, 900_000);
  assert.equal(metrics.text({}).split("\n"), [...lines("request_milliseconds", [602_111, 602_111, 602_111], 1), ""]);
});

suite.run();
