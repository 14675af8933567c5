import * as histograms from "hdr-histogram-js";

const PERCENTILES = [50, 95, 99];

/** How exactly durations are kept. */
export interface HistogramOptions {
  /** Largest value; larger ones count as this one. */
  readonly maxValue: number;
  readonly significantDigits: 1 | 2 | 3 | 4 | 5;
}

/** Counters and histograms as Prometheus text; a duration's name tells its unit. */
export class Metrics<Duration extends string> {
  readonly #bounds: HistogramOptions;
  readonly #histograms = new Map<Duration, histograms.Histogram>();
  readonly #counters = new Map<string, number>();

  /**
   * @param bounds - how exactly durations are kept
   * @param fromStart - durations that are told before their first record; others come in the order of theirs
   */
  constructor(bounds: HistogramOptions, fromStart: readonly Duration[] = []) {
    this.#bounds = bounds;
    for (const duration of fromStart) this.#histogram(duration);
  }

  /**
   * @param duration - what was measured
   * @param value - in the unit that its name gives
   */
  record(duration: Duration, value: number): void {
    this.#histogram(duration).recordValue(Math.min(this.#bounds.maxValue, Math.max(0, Math.round(value))));
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

  #histogram(duration: Duration): histograms.Histogram {
    let histogram = this.#histograms.get(duration);
    if (histogram === undefined) {
      const { maxValue: largest, significantDigits } = this.#bounds;
      histogram = histograms.build({
        highestTrackableValue: largest,
        numberOfSignificantValueDigits: significantDigits,
      });
      this.#histograms.set(duration, histogram);
    }
    return histogram;
  }
}
