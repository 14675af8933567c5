import * as metrics from "@camphorcourse/common/metrics";

/** Durations that are measured. */
export enum Duration {
  Request = "request_milliseconds",
  FirstToken = "first_token_milliseconds",
  BetweenTokens = "between_tokens_milliseconds",
  Handle = "core_event_microseconds",
}

/** Largest duration, in the unit that its name gives, and digits. */
const BOUNDS: metrics.HistogramOptions = { maxValue: 3_600_000, significantDigits: 3 };

/** Counters and histograms of the daemon; every duration is told from the start. */
export class Metrics extends metrics.Metrics<Duration> {
  constructor() {
    super(BOUNDS, Object.values(Duration));
  }
}
