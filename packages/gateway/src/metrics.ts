import * as metrics from "@camphorcourse/common/metrics";

/** Durations that are measured, in milliseconds. */
export enum Duration {
  Request = "request_milliseconds",
  FirstEvent = "first_event_milliseconds",
  StoreCall = "store_call_milliseconds",
  /** Delay of the event loop, sampled several times a second. */
  LoopLate = "event_loop_late_milliseconds",
}

/** Maximum duration in milliseconds, and precision of the histograms. */
const BOUNDS: metrics.HistogramOptions = { maxValue: 600_000, significantDigits: 2 };

/** Counters and histograms of the gateway; a duration is reported once it has been recorded for the first time. */
export class Metrics extends metrics.Metrics<Duration> {
  constructor() {
    super(BOUNDS);
  }
}
