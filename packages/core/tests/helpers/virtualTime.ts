interface ScheduledCall {
  readonly at: number;
  readonly sequence: number;
  readonly run: () => void;
}

/** Virtual clock that advances only in `run`; callbacks due at the same instant run in the order in which they were scheduled. */
export class VirtualTime {
  #now = 0;
  #scheduled: ScheduledCall[] = [];
  #sequence = 0;

  /** @returns the current instant in milliseconds */
  get now(): number {
    return this.#now;
  }

  /**
   * Advances the clock and runs the callbacks that fall due.
   *
   * @param milliseconds - time to advance
   */
  run(milliseconds: number): void {
    const end = this.#now + milliseconds;
    for (;;) {
      const next = this.#scheduled[0];
      if (!next || next.at > end) break;
      this.#scheduled.shift();
      this.#now = Math.max(this.#now, next.at);
      next.run();
    }
    this.#now = end;
  }

  /**
   * Schedules a callback.
   *
   * @param delayMs - delay from now
   * @param run - the callback
   */
  after(delayMs: number, run: () => void): void {
    const entry = { at: this.#now + delayMs, sequence: this.#sequence++, run };
    let index = this.#scheduled.length;
    while (index > 0 && isLater(this.#scheduled[index - 1], entry)) index--;
    this.#scheduled.splice(index, 0, entry);
  }

  /**
   * Schedules a callback repeatedly.
   *
   * @param milliseconds - interval between two runs
   * @param run - the callback
   */
  every(milliseconds: number, run: () => void): void {
    this.after(milliseconds, () => {
      run();
      this.every(milliseconds, run);
    });
  }
}

function isLater(left: ScheduledCall | undefined, right: ScheduledCall): boolean {
  return left !== undefined && (left.at > right.at || (left.at === right.at && left.sequence > right.sequence));
}
