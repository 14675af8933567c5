import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as metricsModule from "../src/metrics.js";

const suite = uvu.suite("the daemon's metrics as text");

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

suite("every duration is there from the start", () => {
  assert.equal(new metricsModule.Metrics().text({ open_requests: 3 }).split("\n"), [
    "camphorcourse_open_requests 3",
    ...lines("request_milliseconds", NONE, 0),
    ...lines("first_token_milliseconds", NONE, 0),
    ...lines("between_tokens_milliseconds", NONE, 0),
    ...lines("core_event_microseconds", NONE, 0),
    "",
  ]);
});

suite("counters come first, then gauges, then durations in their own order", () => {
  const metrics = new metricsModule.Metrics();
  metrics.record(metricsModule.Duration.Handle, 12.4);
  metrics.count("requests_total");
  metrics.count("joined_total", 3);
  metrics.count("requests_total");
  for (let value = 1; value <= 10_000; value++) metrics.record(metricsModule.Duration.Request, value);
  metrics.record(metricsModule.Duration.FirstToken, -5);
  assert.equal(metrics.text({ ready: 1, peers: 4 }).split("\n"), [
    "camphorcourse_requests_total 2",
    "camphorcourse_joined_total 3",
    "camphorcourse_ready 1",
    "camphorcourse_peers 4",
    ...lines("request_milliseconds", [5_003, 9_503, 9_903], 10_000),
    ...lines("first_token_milliseconds", NONE, 1),
    ...lines("between_tokens_milliseconds", NONE, 0),
    ...lines("core_event_microseconds", [12, 12, 12], 1),
    "",
  ]);
});

suite("a value over the largest counts as the largest", () => {
  const metrics = new metricsModule.Metrics();
  metrics.record(metricsModule.Duration.Request, 9_000_000);
  assert.equal(metrics.text({}).split("\n"), [
    ...lines("request_milliseconds", [3_600_383, 3_600_383, 3_600_383], 1),
    ...lines("first_token_milliseconds", NONE, 0),
    ...lines("between_tokens_milliseconds", NONE, 0),
    ...lines("core_event_microseconds", NONE, 0),
    "",
  ]);
});

suite.run();
