/** Bytes that are buffered of all incomplete answers without a stated length: half of a daemon's memory of 64 MiB. */
const MAX_UNSTATED_TOTAL_BYTES = 33_554_432;

/** Bytes that are buffered of all incomplete answers: three quarters of a daemon's memory of 64 MiB. */
export const MAX_STATED_BYTES = 50_331_648;

/** How much of an answer is buffered. */
export interface BufferLimits {
  /** Bytes of this answer. */
  readonly maxBytes: number;
  /** Bytes of all incomplete answers together beyond which this one is held to an equal share. */
  readonly maxTotalBytes: number;
}

/** Limits of an answer without a stated length, which may never end: an eighth of a daemon's memory. */
export const UNSTATED_ANSWER: BufferLimits = { maxBytes: 8_388_608, maxTotalBytes: MAX_UNSTATED_TOTAL_BYTES };

/** Limits of one event of a stream, in a buffer that doubles; an event holds a few tokens. */
export const STREAM_EVENT: BufferLimits = { maxBytes: 2_097_152, maxTotalBytes: MAX_UNSTATED_TOTAL_BYTES };

/** Limits of an error, and of an answer to a call of the gateway itself: an engine's state is a few kilobytes. */
export const SHORT_ANSWER: BufferLimits = { maxBytes: 1_048_576, maxTotalBytes: MAX_UNSTATED_TOTAL_BYTES };

/**
 * @param bytes - length that an answer states
 * @returns its limits; an answer that is too long is given up at its first byte
 */
export function statedAnswer(bytes: number): BufferLimits {
  return { maxBytes: bytes > MAX_STATED_BYTES ? 0 : bytes, maxTotalBytes: MAX_STATED_BYTES };
}

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
  readonly #holdings = new Set<AnswerHolding>();
  #total = 0;

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
   * @param limits - how much it may hold
   * @returns whether it may; its answer is to be given up otherwise
   */
  hold(holding: AnswerHolding, bytes: number, { maxBytes, maxTotalBytes }: BufferLimits): boolean {
    if (!this.#holdings.has(holding) || bytes > maxBytes) return false;
    const total = this.#total + bytes - holding.bytes;
    if (total > maxTotalBytes && bytes > maxTotalBytes / this.#holdings.size) return false;
    this.#total = total;
    holding.bytes = bytes;
    return true;
  }

  /** @param holding - the holding of an answer that is complete or given up */
  close(holding: AnswerHolding): void {
    if (this.#holdings.delete(holding)) this.#total -= holding.bytes;
  }
}
