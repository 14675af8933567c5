import * as histograms from "hdr-histogram-js";

const PERCENTILES = [50, 95, 99];

/** Range and precision of the histograms. */
export interface HistogramOptions {
  /** Highest value that is tracked; higher values are recorded as this one. */
  readonly maxValue: number;
  readonly significantDigits: 1 | 2 | 3 | 4 | 5;
}

/** Counters and histograms, reported as Prometheus text. The name of a duration states its unit. */
export class Metrics<Duration extends string> {
  readonly #options: HistogramOptions;
  readonly #histograms = new Map<Duration, histograms.Histogram>();
  readonly #counters = new Map<string, number>();

  /**
   * @param options - range and precision of the histograms
   * @param preregistered - durations that are reported before their first value; others appear with theirs
   */
  constructor(options: HistogramOptions, preregistered: readonly Duration[] = []) {
    this.#options = options;
    for (const duration of preregistered) this.#histogram(duration);
  }

  /**
   * @param duration - what was measured
   * @param value - the measured value, in the unit that the name of the duration states
   */
  record(duration: Duration, value: number): void {
    this.#histogram(duration).recordValue(Math.min(this.#options.maxValue, Math.max(0, Math.round(value))));
  }

  /**
   * Increments a counter.
   *
   * @param name - name of the counter
   * @param by - the increment
   */
  count(name: string, by = 1): void {
    this.#counters.set(name, (this.#counters.get(name) ?? 0) + by);
  }

  /**
   * @param gauges - current values by name
   * @returns the metrics in Prometheus text format
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

  #histogram(duration: Duration): histograms.Histogram {
    let histogram = this.#histograms.get(duration);
    if (histogram === undefined) {
      const { maxValue: largest, significantDigits } = this.#options;
      histogram = histograms.build({
        highestTrackableValue: largest,
        numberOfSignificantValueDigits: significantDigits,
      });
      this.#histograms.set(duration, histogram);
    }
    return histogram;
  }
}
