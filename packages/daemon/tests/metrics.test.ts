import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as metricsModule from "../src/metrics.js";

const suite = uvu.suite("text format of the daemon's metrics");

/** @returns the expected text for one duration: its quantiles 0.5, 0.95 and 0.99, then its count */
function expectedLines(name: string, quantiles: readonly number[], count: number): string[] {
  const [median, percentile95, percentile99] = quantiles;
  return [
    `camphorcourse_${name}{quantile="0.5"} ${median}`,
    `camphorcourse_${name}{quantile="0.95"} ${percentile95}`,
    `camphorcourse_${name}{quantile="0.99"} ${percentile99}`,
    `camphorcourse_${name}_count ${count}`,
  ];
}

const ZEROS = [0, 0, 0];

suite("every duration is exported from the start", () => {
  assert.equal(new metricsModule.Metrics().text({ open_requests: 3 }).split("\n"), [
    "camphorcourse_open_requests 3",
    ...expectedLines("request_milliseconds", ZEROS, 0),
    ...expectedLines("first_token_milliseconds", ZEROS, 0),
    ...expectedLines("between_tokens_milliseconds", ZEROS, 0),
    ...expectedLines("core_event_microseconds", ZEROS, 0),
    "",
  ]);
});

suite("counters come first, then gauges, then durations in their own order", () => {
  const metrics = new metricsModule.Metrics();
  metrics.record(metricsModule.Duration.CoreEvent, 12.4);
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
    ...expectedLines("request_milliseconds", [5_003, 9_503, 9_903], 10_000),
    ...expectedLines("first_token_milliseconds", ZEROS, 1),
    ...expectedLines("between_tokens_milliseconds", ZEROS, 0),
    ...expectedLines("core_event_microseconds", [12, 12, 12], 1),
    "",
  ]);
});

suite("a value above the maximum counts as the maximum", () => {
  const metrics = new metricsModule.Metrics();
  metrics.record(metricsModule.Duration.Request, 9_000_000);
  assert.equal(metrics.text({}).split("\n"), [
    ...expectedLines("request_milliseconds", [3_600_383, 3_600_383, 3_600_383], 1),
    ...expectedLines("first_token_milliseconds", ZEROS, 0),
    ...expectedLines("between_tokens_milliseconds", ZEROS, 0),
    ...expectedLines("core_event_microseconds", ZEROS, 0),
    "",
  ]);
});

suite.run();
