import type * as serving from "@camphorcourse/serving";
import type * as decisionLogs from "../decisionLog.js";
import * as ports from "../ports.js";
import * as usageCodecs from "./usageCodec.js";

/** Maximum random delay after the end of a window, in milliseconds; spreads the writes of all daemons. */
const MAX_SPREAD_MS = 500;

/** Silence of the key-value service from which nothing is stored until it answers again, in milliseconds. */
const STORE_SILENT_MS = 2_000;

/** Delay after a failed write, in milliseconds. */
const RETRY_PAUSE_MS = 700;

/** Dependencies of {@link UsageRecorder}. */
export interface RecorderParts {
  readonly store: ports.DurableStore;
  /** Key of this incarnation's record. */
  readonly key: string;
  readonly vm: string;
  readonly counter: serving.UsageCounter;
  readonly windowMs: number;
  readonly log: decisionLogs.DecisionLog;
  /** @returns milliseconds for which the key-value service has not answered this daemon */
  readonly storeSilentMs: () => number;
  /** @returns current true time, in Unix milliseconds */
  readonly unixMs: () => number;
  /** @returns a uniform random number in [0, 1) */
  readonly draw: () => number;
}

/**
 * Stores what this daemon has counted once per window. The record holds the totals of all windows that have not been
 * reported, so a lost write is made up for by the next one, and no request is counted twice.
 */
export class UsageRecorder {
  readonly #parts: RecorderParts;
  /** Revision of the record; undefined if it is not known, as a write got no answer. */
  #revision: number | undefined = 0;
  #storedThrough = -1;
  #timer: NodeJS.Timeout | undefined;

  /** @param parts - dependencies */
  constructor(parts: RecorderParts) {
    this.#parts = parts;
  }

  /** Starts storing the counts after the end of each window. */
  start(): void {
    this.#schedule(this.#untilNextWindow());
  }

  /** Stores the counts a last time, including those of the current window. */
  async end(): Promise<void> {
    clearTimeout(this.#timer);
    if (this.#parts.counter.hasCounts) await this.#store();
  }

  #schedule(pauseMs: number): void {
    this.#timer = setTimeout(() => void this.#step(), pauseMs);
  }

  #untilNextWindow(): number {
    const { windowMs, unixMs, draw } = this.#parts;
    return windowMs - (unixMs() % windowMs) + draw() * MAX_SPREAD_MS;
  }

  async #step(): Promise<void> {
    const { counter, unixMs } = this.#parts;
    const isDue = counter.hasCounts && counter.windowAt(unixMs()) - 1 > this.#storedThrough;
    const isReachable = this.#parts.storeSilentMs() < STORE_SILENT_MS;
    const isStored = !isDue || (isReachable && (await this.#store()));
    this.#schedule(isStored ? this.#untilNextWindow() : RETRY_PAUSE_MS);
  }

  /** @returns whether the counts were stored */
  async #store(): Promise<boolean> {
    const { store, key, vm, counter, log, unixMs } = this.#parts;
    // Without a condition, a write that is carried out late could replace a newer record.
    this.#revision ??= await this.#readRevision();
    if (this.#revision === undefined) return false;
    const record = counter.record(vm, unixMs());
    const value = usageCodecs.encodeRecord(record);
    const written = await store.write({
      conditions: [{ key, revision: this.#revision }],
      puts: [{ key, value, lease: 0 }],
      removals: [],
    });
    if (written.isErr()) {
      const { failure, detail } = written.error;
      if (failure !== ports.StoreFailure.Refused) this.#revision = undefined;
      log.warn("usage-not-recorded", { failure, detail, closedThrough: record.closedThrough });
      return false;
    }
    this.#revision = written.value;
    this.#storedThrough = record.closedThrough;
    log.info("usage-recorded", { closedThrough: record.closedThrough, windows: record.windows.size });
    return true;
  }

  async #readRevision(): Promise<number | undefined> {
    const listed = await this.#parts.store.list(this.#parts.key);
    if (listed.isErr()) return undefined;
    return listed.value.items.find((item) => item.key === this.#parts.key)?.revision ?? 0;
  }
}
