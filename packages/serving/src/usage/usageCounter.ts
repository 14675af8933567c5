/** Number of requests that began to run, by organisation. */
export type UsageCounts = ReadonlyMap<string, number>;

/** What one incarnation of a daemon has counted. */
export interface UsageRecord {
  readonly vm: string;
  /** All windows up to this one have ended, so their counts no longer change. */
  readonly closedThrough: number;
  /** Counts by window, without the windows that have been reported. */
  readonly windows: ReadonlyMap<number, UsageCounts>;
}

/** Windows that are kept while nobody reports them; older ones are dropped, to bound the memory of a daemon. */
const MAX_WINDOWS = 24;

/** Counts the requests that began to run, by window of true time and by organisation. */
export class UsageCounter {
  readonly #windows = new Map<number, Map<string, number>>();
  readonly #windowMs: number;
  #reportedThrough = -1;

  /** @param windowMs - length of a window, in milliseconds */
  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /**
   * @param unixMs - a point in time, in Unix milliseconds
   * @returns number of the window that it belongs to
   */
  windowAt(unixMs: number): number {
    return Math.floor(unixMs / this.#windowMs);
  }

  /**
   * @param organisation - whose request began to run
   * @param unixMs - when, in Unix milliseconds
   */
  count(organisation: string, unixMs: number): void {
    const window = this.windowAt(unixMs);
    let counts = this.#windows.get(window);
    if (counts === undefined) {
      counts = new Map();
      this.#windows.set(window, counts);
      this.#dropOldest();
    }
    counts.set(organisation, (counts.get(organisation) ?? 0) + 1);
  }

  /** @param window - this window and all before it have been reported */
  markReported(window: number): void {
    this.#reportedThrough = Math.max(this.#reportedThrough, window);
    for (const each of [...this.#windows.keys()]) if (each <= this.#reportedThrough) this.#windows.delete(each);
  }

  /**
   * @param vm - the VM of this daemon
   * @param unixMs - current time, in Unix milliseconds
   * @returns what has been counted and not reported
   */
  record(vm: string, unixMs: number): UsageRecord {
    return { vm, closedThrough: this.windowAt(unixMs) - 1, windows: this.#windows };
  }

  /** @returns whether anything has been counted that was not reported */
  get hasCounts(): boolean {
    return this.#windows.size > 0;
  }

  #dropOldest(): void {
    if (this.#windows.size <= MAX_WINDOWS) return;
    this.#windows.delete(Math.min(...this.#windows.keys()));
  }
}
