/** A stamp of a hybrid logical clock; ordered by wall time, then counter. */
export interface HybridTimestamp {
  readonly wallMs: number;
  readonly counter: number;
}

/**
 * A hybrid logical clock: stamps follow the calendar clock and never contradict
 * the order in which messages passed between processes.
 *
 * Source: Kulkarni et al., "Logical Physical Clocks", 2014.
 */
export class HybridClock {
  readonly #wall: () => number;
  #last: HybridTimestamp = { wallMs: 0, counter: 0 };

  /** @param wall - reads the calendar clock, in milliseconds */
  constructor(wall: () => number) {
    this.#wall = wall;
  }

  /** @returns a stamp for a local event or an outgoing message */
  tick(): HybridTimestamp {
    const wallMs = Math.floor(this.#wall());
    this.#last =
      wallMs > this.#last.wallMs
        ? { wallMs, counter: 0 }
        : { wallMs: this.#last.wallMs, counter: this.#last.counter + 1 };
    return this.#last;
  }

  /** @param remote - the stamp of a message that has come in */
  observe(remote: HybridTimestamp): void {
    if (compareTimestamps(remote, this.#last) > 0) this.#last = remote;
  }
}

/**
 * @param left - one stamp
 * @param right - another
 * @returns negative, zero or positive as left is before, equal to or after right
 */
export function compareTimestamps(left: HybridTimestamp, right: HybridTimestamp): number {
  return left.wallMs - right.wallMs || left.counter - right.counter;
}
