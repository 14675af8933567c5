import * as histograms from "hdr-histogram-js";

/** Durations that are measured, in milliseconds. */
export enum Duration {
  Request = "request_milliseconds",
  FirstEvent = "first_event_milliseconds",
  StoreCall = "store_call_milliseconds",
}

const PERCENTILES = [50, 95, 99];
const LARGEST_MS = 600_000;

/** Counters and histograms as Prometheus text. */
export class Metrics {
  readonly #histograms = new Map<Duration, histograms.Histogram>();
  readonly #counters = new Map<string, number>();

  /**
   * @param duration - what was measured
   * @param milliseconds - how long it took
   */
  record(duration: Duration, milliseconds: number): void {
    let histogram = this.#histograms.get(duration);
    if (histogram === undefined) {
      histogram = histograms.build({ highestTrackableValue: LARGEST_MS, numberOfSignificantValueDigits: 2 });
      this.#histograms.set(duration, histogram);
    }
    histogram.recordValue(Math.min(LARGEST_MS, Math.max(0, Math.round(milliseconds))));
  }

  /** @param name - the counter that grows by one */
  count(name: string): void {
    this.#counters.set(name, (this.#counters.get(name) ?? 0) + 1);
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
