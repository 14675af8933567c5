import type * as streamOrigins from "./streamOrigin.js";

/** Largest number of streams that are kept; the oldest is dropped first. */
const MAX_STREAMS = 20_000;

/** What began a stream, as one daemon tells others. */
export interface StreamRecord {
  /** Hash of the id of the request that brought the stream's first event. */
  readonly attempt: string;
  readonly origin: streamOrigins.StreamOrigin;
  /** When its first event came, in milliseconds. */
  readonly begunAt: number;
}

interface KeptRecord extends StreamRecord {
  /** Whether another record of the same stream names another origin, so that neither can be trusted. */
  readonly isDisputed: boolean;
}

/** Records of what began streams, for as long as callers may take the streams up. */
export class StreamTable {
  readonly #records = new Map<string, KeptRecord>();

  /** @returns number of records, expired ones included */
  get size(): number {
    return this.#records.size;
  }

  /**
   * @param record - what began a stream
   * @returns whether it contradicts what is known of that stream
   */
  put(record: StreamRecord): boolean {
    const known = this.#records.get(record.attempt);
    const isDisputed = known !== undefined && (known.isDisputed || !isSame(known.origin, record.origin));
    // The order of the records is that in which they expire.
    if (known !== undefined && !isDisputed) return false;
    this.#records.delete(record.attempt);
    this.#records.set(record.attempt, { ...record, isDisputed });
    const [oldest] = this.#records.keys();
    if (oldest !== undefined && this.#records.size > MAX_STREAMS) this.#records.delete(oldest);
    return isDisputed;
  }

  /**
   * @param attempt - hash of the id of a request
   * @param since - instant before which records have expired, in milliseconds
   * @returns what began its stream, if that is known for sure
   */
  find(attempt: string, since: number): streamOrigins.StreamOrigin | undefined {
    const record = this.#records.get(attempt);
    return record === undefined || record.isDisputed || record.begunAt < since ? undefined : record.origin;
  }

  /** @param attempt - hash of the id of a request whose stream nobody can take up any more */
  remove(attempt: string): void {
    this.#records.delete(attempt);
  }

  /**
   * Drops what has expired.
   *
   * @param since - instant before which records have expired, in milliseconds
   * @returns all other records that are certain, the oldest first
   */
  current(since: number): StreamRecord[] {
    for (const [attempt, { begunAt }] of this.#records) if (begunAt < since) this.#records.delete(attempt);
    return [...this.#records.values()].filter(({ isDisputed }) => !isDisputed);
  }
}

function isSame(left: streamOrigins.StreamOrigin, right: streamOrigins.StreamOrigin): boolean {
  return left.service === right.service && left.softwareVersion === right.softwareVersion;
}
