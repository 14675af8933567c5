import type * as decisionLogs from "../decisionLog.js";
import * as loopUtilizations from "../loopUtilization.js";
import * as loopWatches from "../loopWatch.js";
import * as metricsModule from "../metrics.js";

/**
 * Delay from which the event loop counts as lagging, in milliseconds; it affects callers with tight latency objectives.
 */
const LOOP_LATE_MS = 100;

/** Dependencies of {@link LoopMonitor}. */
export interface LoopMonitorParts {
  readonly log: decisionLogs.DecisionLog;
  readonly metrics: metricsModule.Metrics;
  /** @returns what is open while the loop lags, as fields of the log line */
  readonly openWork: () => decisionLogs.LogFields;
}

/** Watches how late and how busy the event loop is. */
export class LoopMonitor {
  readonly #parts: LoopMonitorParts;
  readonly #watch = new loopWatches.LoopWatch(undefined, (lateMs) => this.#onHeartbeat(lateMs));
  readonly #utilization = new loopUtilizations.LoopUtilization();

  /** @param parts - dependencies */
  constructor(parts: LoopMonitorParts) {
    this.#parts = parts;
  }

  /** @returns delay of the event loop, in milliseconds */
  get lateMs(): number {
    return this.#watch.lateMs;
  }

  /** @returns whether the event loop is so late that callers notice it */
  get isLagging(): boolean {
    return this.lateMs >= LOOP_LATE_MS;
  }

  /** @returns busy share of the event loop's time */
  get busyShare(): number {
    return this.#utilization.share;
  }

  /** @returns earliest instant at which a signal that is being handled may have been sent, in milliseconds */
  earliestSignalAt(): number {
    return this.#watch.earliestSignalAt();
  }

  /** Starts watching. */
  start(): void {
    this.#watch.start();
  }

  /** Stops watching. */
  stop(): void {
    this.#watch.stop();
  }

  /**
   * Logs a lagging event loop. A daemon short of processor time, a saturated link and a busy engine all show as late
   * answers; only this log line tells the first from the others.
   */
  #onHeartbeat(lateMs: number): void {
    this.#parts.metrics.record(metricsModule.Duration.LoopLate, lateMs);
    const utilization = this.#utilization.sample();
    if (lateMs < LOOP_LATE_MS) return;
    this.#parts.log.warn("loop-late", {
      lateMs: Math.round(lateMs),
      utilization: utilization.toFixed(2),
      ...this.#parts.openWork(),
    });
  }
}
