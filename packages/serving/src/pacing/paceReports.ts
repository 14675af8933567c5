import * as pauseTrackers from "./pauseTracker.js";

/** Maximum number of engines of which a heartbeat tells: 16 take half a kilobyte. */
export const MAX_SENT_PACES = 16;

/**
 * Interval of the reports of engines that aren't slow, in milliseconds: half the time for which a report is valid. In
 * each heartbeat of nine daemons they would take 80 KB/s, and where heartbeats are rarer 35 KB/s.
 */
const COMPLETE_INTERVAL_MS = pauseTrackers.PACE_VALID_MS / 2;

/**
 * Selects what heartbeats tell of the engines: each of them the slow engines and those that no longer are, and some of
 * them the others, with the pause objectives of the streams there.
 */
export class PaceReports {
  #reportedSlow: ReadonlySet<string> = new Set();
  #reportedAt = Number.NEGATIVE_INFINITY;
  #completeAt = Number.NEGATIVE_INFINITY;

  /**
   * @param paces - what own streams show, the most important first
   * @param now - monotonic time of the heartbeat in milliseconds
   * @returns what the heartbeat tells
   */
  select(paces: readonly pauseTrackers.EnginePace[], now: number): pauseTrackers.EnginePace[] {
    const isFrequent = now - this.#reportedAt < COMPLETE_INTERVAL_MS;
    const isComplete = isFrequent && now - this.#completeAt >= COMPLETE_INTERVAL_MS;
    this.#reportedAt = now;
    if (isComplete) this.#completeAt = now;
    const selected = paces
      .filter((pace) => isComplete || pauseTrackers.isSlow(pace) || this.#reportedSlow.has(pace.endpointId))
      .slice(0, MAX_SENT_PACES);
    this.#reportedSlow = new Set(selected.filter(pauseTrackers.isSlow).map(({ endpointId }) => endpointId));
    return selected;
  }
}
