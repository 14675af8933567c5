/** Clocks. The core never reads a clock itself: its caller passes the current time in. */

/** The clocks that a process reads. */
export interface Clock {
  /** @returns milliseconds of a monotonic clock; only differences between readings are meaningful */
  now(): number;
  /** @returns Unix time in milliseconds by the VM's system clock, which may jump */
  systemTime(): number;
}

/** The clocks of the operating system. */
export class SystemClock implements Clock {
  /** {@inheritDoc Clock.now} */
  now(): number {
    return performance.now();
  }

  /** {@inheritDoc Clock.systemTime} */
  systemTime(): number {
    return Date.now();
  }
}

/** A clock that moves only by calls of {@link ManualClock.advance}. */
export class ManualClock implements Clock {
  #now = 0;
  readonly #systemTimeStart: number;

  /** @param systemTimeStart - Unix time in milliseconds when the monotonic clock is 0 */
  constructor(systemTimeStart = 1_700_000_000_000) {
    this.#systemTimeStart = systemTimeStart;
  }

  /** {@inheritDoc Clock.now} */
  now(): number {
    return this.#now;
  }

  /** {@inheritDoc Clock.systemTime} */
  systemTime(): number {
    return this.#systemTimeStart + this.#now;
  }

  /** @param milliseconds - how far to move both clocks forward */
  advance(milliseconds: number): void {
    this.#now += milliseconds;
  }
}
