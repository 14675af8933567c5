import type * as usageCounters from "./usageCounter.js";

/** The usage of one window: what is reported, once and for all. */
export interface UsageReport {
  readonly window: number;
  readonly counts: usageCounters.UsageCounts;
}

/** What decides on the next report. */
export interface ReportInputs {
  /** Records of all incarnations of all daemons. */
  readonly records: readonly usageCounters.UsageRecord[];
  /** The last window whose report was fixed; undefined if there is none. */
  readonly lastWindow: number | undefined;
  /** VMs of live daemons that count requests. */
  readonly counting: readonly string[];
  /** Current time, in Unix milliseconds. */
  readonly unixMs: number;
  /** Length of a window, in milliseconds. */
  readonly windowMs: number;
  /** Time after the end of a window for which missing records are waited for, in milliseconds. */
  readonly patienceMs: number;
}

/**
 * Decides whether the next window can be reported. Windows are reported in order and once each, so counts that arrive
 * after the report of their window are lost: a window is reported once all live daemons have recorded it, or when there
 * is no more time to wait. This answers daemons that die, stall or lose the key-value service around a window's end.
 *
 * @param inputs - what is known
 * @returns the report; undefined while no window can be reported
 */
export function nextReport(inputs: ReportInputs): UsageReport | undefined {
  const { records, lastWindow = -1, unixMs, windowMs } = inputs;
  const open = records.flatMap((record) => [...record.windows.keys()]).filter((window) => window > lastWindow);
  if (open.length === 0) return undefined;
  const window = Math.min(...open);
  const endedForMs = unixMs - (window + 1) * windowMs;
  if (endedForMs < 0) return undefined;
  if (endedForMs < inputs.patienceMs && !isComplete(inputs, window)) return undefined;
  return { window, counts: totalOf(records, window) };
}

function isComplete({ records, counting }: ReportInputs, window: number): boolean {
  const recorded = new Set(records.filter((record) => record.closedThrough >= window).map((record) => record.vm));
  return counting.every((vm) => recorded.has(vm));
}

function totalOf(records: readonly usageCounters.UsageRecord[], window: number): Map<string, number> {
  const total = new Map<string, number>();
  for (const record of records) {
    for (const [organisation, count] of record.windows.get(window) ?? [])
      total.set(organisation, (total.get(organisation) ?? 0) + count);
  }
  return total;
}
