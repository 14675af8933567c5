/** A timestamp of a hybrid logical clock; ordered by system time, then counter. */
export interface HybridTimestamp {
  readonly wallMs: number;
  readonly counter: number;
}

/**
 * A hybrid logical clock: timestamps follow the system clock and are consistent
 * with the order of messages between processes.
 *
 * Source: Kulkarni et al., "Logical Physical Clocks", 2014.
 */
export class HybridClock {
  readonly #systemTime: () => number;
  #last: HybridTimestamp = { wallMs: 0, counter: 0 };

  /** @param systemTime - reads the system clock, as Unix time in milliseconds */
  constructor(systemTime: () => number) {
    this.#systemTime = systemTime;
  }

  /** @returns the timestamp of a local event or an outgoing message */
  tick(): HybridTimestamp {
    const wallMs = Math.floor(this.#systemTime());
    this.#last =
      wallMs > this.#last.wallMs
        ? { wallMs, counter: 0 }
        : { wallMs: this.#last.wallMs, counter: this.#last.counter + 1 };
    return this.#last;
  }

  /** @param remote - the timestamp of a received message */
  observe(remote: HybridTimestamp): void {
    if (compareTimestamps(remote, this.#last) > 0) this.#last = remote;
  }
}

/**
 * @param left - first timestamp
 * @param right - second timestamp
 * @returns negative if left is before right, 0 if they are equal, positive if left is after right
 */
export function compareTimestamps(left: HybridTimestamp, right: HybridTimestamp): number {
  return left.wallMs - right.wallMs || left.counter - right.counter;
}
