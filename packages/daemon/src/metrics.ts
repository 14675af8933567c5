import * as metrics from "@camphorcourse/common/metrics";

/** Measured durations; each value is the name of its metric. */
export enum Duration {
  Request = "request_milliseconds",
  FirstToken = "first_token_milliseconds",
  BetweenTokens = "between_tokens_milliseconds",
  CoreEvent = "core_event_microseconds",
}

/** Maximum value, in the unit that the metric's name gives, and the number of significant digits. */
const HISTOGRAM_BOUNDS: metrics.HistogramOptions = { maxValue: 3_600_000, significantDigits: 3 };

/** Counters and histograms of the daemon. Every duration is exported from the start, also before its first value. */
export class Metrics extends metrics.Metrics<Duration> {
  constructor() {
    super(HISTOGRAM_BOUNDS, Object.values(Duration));
  }
}
