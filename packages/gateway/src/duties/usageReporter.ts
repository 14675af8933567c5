import * as serving from "@camphorcourse/serving";
import * as neverthrow from "neverthrow";
import type * as decisionLogs from "../decisionLog.js";
import * as ports from "../ports.js";
import type * as dutyLeases from "./dutyLease.js";
import * as usageCodecs from "./usageCodec.js";

/** Delay after the end of a window until the records of it are read for the first time, in milliseconds. */
const FIRST_READ_DELAY_MS = 1_100;

/** Interval between two reads while records or an acknowledgement are missing, in milliseconds. */
const RETRY_INTERVAL_MS = 900;

/** Part of the time until a report is due for which missing records are waited for. */
const PATIENCE_SHARE = 0.8;

/** Maximum number of obsolete records that one write removes. */
const MAX_REMOVALS = 20;

/** Number of windows for which the record of a daemon that has stopped writing is kept. */
const KEPT_WINDOWS = 24;

/** Result of one step of the reporter. */
export enum Progress {
  /** Everything that has ended is reported. */
  Idle = "idle",
  /** A call failed, or records are missing. */
  Waiting = "waiting",
  /** A window was reported, and there may be another one. */
  Reported = "reported",
}

/** Dependencies of {@link UsageReporter}. */
export interface ReporterParts {
  readonly store: ports.DurableStore;
  readonly keys: ports.UsageKeys;
  readonly calls: ports.DutyCalls;
  readonly lease: dutyLeases.DutyLease;
  readonly vm: string;
  readonly log: decisionLogs.DecisionLog;
  readonly settings: ports.UsageSettings;
  /** @returns VMs of live daemons that count requests */
  readonly counting: () => readonly string[];
  /** @returns current true time, in Unix milliseconds */
  readonly unixMs: () => number;
}

interface StoredUsage {
  /** The report that was fixed last. */
  readonly report: serving.UsageReport | undefined;
  readonly reportRevision: number;
  readonly records: readonly { readonly key: string; readonly record: serving.UsageRecord }[];
}

/**
 * Reports the usage of each window to the platform, while this daemon holds the duty lease.
 *
 * A report is fixed in the key-value service before it is sent, under the condition that the previous report is still
 * the last one. Whoever holds the lease sends the fixed report and nothing else, so two reports of one window never
 * differ, also if a holder dies after a call that is carried out late.
 */
export class UsageReporter {
  readonly #parts: ReporterParts;
  #acknowledgedWindow = -1;
  #timer: NodeJS.Timeout | undefined;
  #stopped = true;

  /** @param parts - dependencies */
  constructor(parts: ReporterParts) {
    this.#parts = parts;
  }

  /** Starts reporting while the lease is held. */
  start(): void {
    this.#stopped = false;
    this.#schedule(RETRY_INTERVAL_MS);
  }

  /** Stops reporting after the current call. */
  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
  }

  #schedule(pauseMs: number): void {
    if (this.#stopped) return;
    this.#timer = setTimeout(() => {
      void this.step().then((progress) => this.#schedule(this.#pauseAfter(progress)));
    }, pauseMs);
  }

  #pauseAfter(progress: Progress): number {
    if (progress === Progress.Reported) return 0;
    return progress === Progress.Idle ? this.#untilNextRead() : RETRY_INTERVAL_MS;
  }

  #untilNextRead(): number {
    const { windowMs } = this.#parts.settings;
    const intoWindowMs = this.#parts.unixMs() % windowMs;
    const waitMs = FIRST_READ_DELAY_MS - intoWindowMs;
    return waitMs > 0 ? waitMs : waitMs + windowMs;
  }

  /**
   * Sends the fixed report if it is not acknowledged, then fixes and sends the next one if there is one.
   *
   * @returns what was achieved
   */
  async step(): Promise<Progress> {
    if (this.#parts.lease.token() === undefined) return Progress.Waiting;
    const stored = await this.#read();
    if (stored === undefined) return Progress.Waiting;
    const { report } = stored;
    const isUnacknowledged = report !== undefined && report.window > this.#acknowledgedWindow;
    if (isUnacknowledged && !(await this.#send(report))) return Progress.Waiting;
    const next = this.#next(stored);
    if (next === undefined) return this.#isWaiting(stored) ? Progress.Waiting : Progress.Idle;
    if (!(await this.#fix(next, stored))) return Progress.Waiting;
    return (await this.#send(next)) ? Progress.Reported : Progress.Waiting;
  }

  #next(stored: StoredUsage): serving.UsageReport | undefined {
    const { settings, counting, unixMs } = this.#parts;
    return serving.nextReport({
      records: stored.records.map(({ record }) => record),
      lastWindow: stored.report?.window,
      counting: counting(),
      unixMs: unixMs(),
      windowMs: settings.windowMs,
      patienceMs: settings.dueMs * PATIENCE_SHARE,
    });
  }

  /** @returns whether a window that has ended is not reported yet, as records are missing */
  #isWaiting({ report, records }: StoredUsage): boolean {
    const last = Math.floor(this.#parts.unixMs() / this.#parts.settings.windowMs) - 1;
    return records.some(({ record }) =>
      [...record.windows.keys()].some((window) => window > (report?.window ?? -1) && window <= last),
    );
  }

  async #read(): Promise<StoredUsage | undefined> {
    const { store, keys, log } = this.#parts;
    const listed = await store.list(keys.prefix);
    if (listed.isErr()) {
      log.warn("usage-not-read", { failure: listed.error.failure, detail: listed.error.detail });
      return undefined;
    }
    const { items } = listed.value;
    const reportItem = items.find((item) => item.key === keys.report);
    const report = reportItem === undefined ? neverthrow.ok(undefined) : usageCodecs.decodeReport(reportItem.value);
    if (report.isErr()) {
      log.warn("usage-report-unreadable", { revision: reportItem?.revision, detail: report.error });
      return undefined;
    }
    const records = items
      .filter((item) => item.key.startsWith(keys.recordPrefix))
      .flatMap(({ key, value }) => {
        const record = usageCodecs.decodeRecord(value);
        if (record.isErr()) log.warn("usage-record-unreadable", { key, detail: record.error });
        return record.isOk() ? [{ key, record: record.value }] : [];
      });
    return { report: report.value, reportRevision: reportItem?.revision ?? 0, records };
  }

  /** @returns whether the report is stored as the last one */
  async #fix(report: serving.UsageReport, stored: StoredUsage): Promise<boolean> {
    const { store, keys, log } = this.#parts;
    const written = await store.write({
      conditions: [{ key: keys.report, revision: stored.reportRevision }],
      puts: [{ key: keys.report, value: usageCodecs.encodeReport(report), lease: 0 }],
      removals: obsoleteKeys(stored.records, report.window),
    });
    const { window } = report;
    const requests = [...report.counts.values()].reduce((sum, each) => sum + each, 0);
    if (written.isOk()) log.info("usage-fixed", { window, organisations: report.counts.size, requests });
    else log.warn("usage-not-fixed", { window, failure: written.error.failure, detail: written.error.detail });
    return written.isOk();
  }

  /** @returns whether the platform has acknowledged the report */
  async #send(report: serving.UsageReport): Promise<boolean> {
    const { calls, lease, vm, log, unixMs, settings } = this.#parts;
    const token = lease.token();
    if (token === undefined) return false;
    const sent = await calls.reportUsage(report, { holder: vm, token });
    const lateMs = Math.round(unixMs() - (report.window + 1) * settings.windowMs);
    if (sent.isOk()) {
      this.#acknowledgedWindow = report.window;
      log.info("usage-reported", { window: report.window, token, lateMs });
      return true;
    }
    const { failure, detail } = sent.error;
    log.warn("usage-not-reported", { window: report.window, token, lateMs, failure, detail });
    if (failure === ports.DutyFailure.Conflict) lease.onTokenRefused();
    return false;
  }
}

/** Records whose windows are all reported and long over: their daemons have stopped, or would have written since. */
function obsoleteKeys(records: StoredUsage["records"], reportedWindow: number): string[] {
  return records
    .filter(({ record }) => record.closedThrough + KEPT_WINDOWS < reportedWindow)
    .slice(0, MAX_REMOVALS)
    .map(({ key }) => key);
}
