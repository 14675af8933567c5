import * as metrics from "@camphorcourse/common/metrics";

/** Durations that are measured, in milliseconds. */
export enum Duration {
  Request = "request_milliseconds",
  FirstEvent = "first_event_milliseconds",
  StoreCall = "store_call_milliseconds",
  /** How much later than it should the event loop had its turn, several times a second. */
  LoopLate = "event_loop_late_milliseconds",
}

/** Largest duration, in milliseconds, and digits. */
const BOUNDS: metrics.HistogramBounds = { largest: 600_000, significantDigits: 2 };

/** Counters and histograms of the gateway; a duration is told from its first record on. */
export class Metrics extends metrics.Metrics<Duration> {
  constructor() {
    super(BOUNDS);
  }
}
