/** Largest answer that is buffered as a whole, in bytes: an eighth of a daemon's memory of 64 MiB. */
export const MAX_ANSWER_BYTES = 8_388_608;

/** Largest event of a stream in bytes; an event holds a few tokens. */
export const MAX_EVENT_BYTES = 1_048_576;

/** Largest answer to a call of the gateway itself in bytes; an engine's state is a few kilobytes. */
export const MAX_CALL_ANSWER_BYTES = 1_048_576;

/**
 * Bytes that are buffered of all incomplete answers together: a quarter of a daemon's memory of 64 MiB, as buffers that grow take
 * up to twice as much.
 */
const MAX_TOTAL_BYTES = 16_777_216;

/** What one answer holds in memory. */
export interface AnswerHolding {
  bytes: number;
}

/**
 * Bounds what is buffered of incomplete answers. Beyond the bound of all together, those that hold more than an equal share of it
 * are refused more, so that answers without end make room for the others.
 *
 * Answers the load pattern in which endpoints send bytes without end to many requests at once.
 */
export class AnswerMemory {
  readonly #maxTotalBytes: number;
  readonly #holdings = new Set<AnswerHolding>();
  #total = 0;

  /** @param maxTotalBytes - bound of all answers together, in bytes */
  constructor(maxTotalBytes = MAX_TOTAL_BYTES) {
    this.#maxTotalBytes = maxTotalBytes;
  }

  /** @returns bytes that all incomplete answers hold */
  get total(): number {
    return this.#total;
  }

  /** @returns a holding for one answer, to be closed */
  open(): AnswerHolding {
    const holding = { bytes: 0 };
    this.#holdings.add(holding);
    return holding;
  }

  /**
   * @param holding - an open holding
   * @param bytes - bytes that it holds in all from now on
   * @param limit - the most that it may hold, in bytes
   * @returns whether it may; its answer is to be given up otherwise
   */
  hold(holding: AnswerHolding, bytes: number, limit: number): boolean {
    if (!this.#holdings.has(holding)) return false;
    const total = this.#total + bytes - holding.bytes;
    if (bytes > limit) return false;
    if (total > this.#maxTotalBytes && bytes > this.#maxTotalBytes / this.#holdings.size) return false;
    this.#total = total;
    holding.bytes = bytes;
    return true;
  }

  /** @param holding - the holding of an answer that is complete or given up */
  close(holding: AnswerHolding): void {
    if (this.#holdings.delete(holding)) this.#total -= holding.bytes;
  }
}
