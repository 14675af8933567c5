import * as histograms from "hdr-histogram-js";

/** Durations that are measured. */
export enum Duration {
  Request = "request_milliseconds",
  FirstToken = "first_token_milliseconds",
  BetweenTokens = "between_tokens_milliseconds",
  Handle = "core_event_microseconds",
}

const PERCENTILES = [50, 95, 99];
const LARGEST_VALUE = 3_600_000;

/** Counters and histograms, published as Prometheus text. */
export class Metrics {
  readonly #histograms = new Map<Duration, histograms.Histogram>();
  readonly #counters = new Map<string, number>();

  constructor() {
    for (const duration of Object.values(Duration)) {
      this.#histograms.set(
        duration,
        histograms.build({ highestTrackableValue: LARGEST_VALUE, numberOfSignificantValueDigits: 3 }),
      );
    }
  }

  /**
   * @param duration - what was measured
   * @param value - in the unit that its name gives
   */
  record(duration: Duration, value: number): void {
    this.#histograms.get(duration)?.recordValue(Math.min(LARGEST_VALUE, Math.max(0, Math.round(value))));
  }

  /**
   * @param name - the counter
   * @param by - how much it grows
   */
  count(name: string, by = 1): void {
    this.#counters.set(name, (this.#counters.get(name) ?? 0) + by);
  }

  /**
   * @param gauges - values of the moment
   * @returns Prometheus text
   */
  text(gauges: Readonly<Record<string, number>>): string {
    const lines: string[] = [];
    for (const [name, value] of [...this.#counters, ...Object.entries(gauges)]) {
      lines.push(`camphorcourse_${name} ${value}`);
    }
    for (const [duration, histogram] of this.#histograms) {
      for (const percentile of PERCENTILES) {
        const value = histogram.getValueAtPercentile(percentile);
        lines.push(`camphorcourse_${duration}{quantile="${percentile / 100}"} ${value}`);
      }
      lines.push(`camphorcourse_${duration}_count ${histogram.totalCount}`);
    }
    return `${lines.join("\n")}\n`;
  }
}
