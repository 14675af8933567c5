/** Sources of time. The core never reads a clock itself: it is handed instants. */

/** Where a process gets its time from. */
export interface Clock {
  /** @returns milliseconds of a clock that never goes back and counts only differences */
  now(): number;
  /** @returns milliseconds since 1970 by the VM's calendar clock, which may jump */
  systemTime(): number;
}

/** The clocks of the operating system. */
export class SystemClock implements Clock {
  /** {@inheritDoc Clock.now} */
  now(): number {
    return performance.now();
  }

  /** {@inheritDoc Clock.wall} */
  systemTime(): number {
    return Date.now();
  }
}

/** A clock that moves only when it is told to. */
export class ManualClock implements Clock {
  #now = 0;
  readonly #wallStart: number;

  /** @param wallStart - calendar time, in milliseconds, at instant 0 */
  constructor(wallStart = 1_700_000_000_000) {
    this.#wallStart = wallStart;
  }

  /** {@inheritDoc Clock.now} */
  now(): number {
    return this.#now;
  }

  /** {@inheritDoc Clock.wall} */
  systemTime(): number {
    return this.#wallStart + this.#now;
  }

  /** @param milliseconds - how far to move on */
  advance(milliseconds: number): void {
    this.#now += milliseconds;
  }
}
