/** A complete answer, kept so that duplicates of the request get the same one. */
export interface KeptAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}

/** State of the only attempt of an idempotency key. */
export enum AttemptState {
  /** Waiting for the claim or for a previous claimant's answer. */
  Pending = "seeking",
  Running = "running",
  Answered = "answered",
  /** Abandoned before anything was dispatched; may be run under the same claim. */
  NotRun = "not-run",
  /** It may have run, but there is no answer. */
  Unknown = "unknown",
  /** It ran; the answer was too large to keep. */
  NotKept = "not-kept",
  /** Handed over to another daemon, which may run it instead. */
  Ceded = "ceded",
}

/** The daemon and attempt that hold an idempotency key. */
export interface AttemptOwner {
  readonly vm: string;
  readonly incarnation: string;
  readonly attempt: string;
}

/** The attempt of one idempotency key at this daemon. */
export interface AttemptRecord {
  readonly key: string;
  readonly digest: string;
  /** The attempt's id in the claim. */
  readonly attempt: string;
  state: AttemptState;
  /** Whether the claim is known to be stored in the key-value service. */
  claimed: boolean;
  answer?: KeptAnswer;
  cededTo?: AttemptOwner;
  settledAt?: number;
}

/** Limits on stored answers and attempts. */
export interface AttemptLimits {
  /** Maximum bytes of stored answers; the oldest are dropped first. */
  readonly answerBytes: number;
  /** Milliseconds for which a settled attempt is kept. */
  readonly windowMs: number;
}

/**
 * The attempts claimed by this daemon. The claim names this daemon, so every
 * other daemon that gets a duplicate of the key asks this one, and a single
 * thread decides. An attempt is started at most once, unless it ended without
 * having been dispatched.
 */
export class AttemptTable {
  readonly #limits: AttemptLimits;
  readonly #records = new Map<string, AttemptRecord>();
  #keptBytes = 0;

  /** @param limits - limits on stored answers and attempts */
  constructor(limits: AttemptLimits) {
    this.#limits = limits;
  }

  /** @returns number of keys in the table */
  get size(): number {
    return this.#records.size;
  }

  /**
   * @param key - the idempotency key
   * @returns its attempt at this daemon
   */
  get(key: string): AttemptRecord | undefined {
    return this.#records.get(key);
  }

  /**
   * Adds a record for a new attempt.
   *
   * @param key - the idempotency key
   * @param digest - digest of the request
   * @param attempt - the attempt's id
   * @returns the new record, pending its claim
   */
  begin(key: string, digest: string, attempt: string): AttemptRecord {
    const record: AttemptRecord = { key, digest, attempt, state: AttemptState.Pending, claimed: false };
    this.#records.set(key, record);
    return record;
  }

  /**
   * Records how an attempt ended and stores its answer.
   *
   * @param record - the attempt that ended
   * @param state - how it ended
   * @param now - current time
   * @param answer - the complete answer, if there is one
   */
  settle(record: AttemptRecord, state: AttemptState, now: number, answer?: KeptAnswer): void {
    record.state = state;
    record.settledAt = now;
    if (!answer || record.answer) return;
    record.answer = answer;
    this.#keptBytes += answer.body.length;
    this.#dropOldAnswers();
  }

  /**
   * Marks an attempt as running and clears how it ended before.
   *
   * @param record - the attempt
   */
  markRunning(record: AttemptRecord): void {
    record.state = AttemptState.Running;
    delete record.settledAt;
    delete record.cededTo;
  }

  /**
   * Removes the record of a key, for example because another daemon owns the attempt.
   *
   * @param key - the idempotency key
   */
  remove(key: string): void {
    const record = this.#records.get(key);
    if (record?.answer) this.#keptBytes -= record.answer.body.length;
    this.#records.delete(key);
  }

  /**
   * Removes settled attempts older than the window.
   *
   * @param now - current time
   */
  expire(now: number): void {
    for (const [key, record] of this.#records) {
      if (record.settledAt !== undefined && now - record.settledAt > this.#limits.windowMs) this.remove(key);
    }
  }

  /** Drops the oldest answers over the limit but keeps their records: without its record, a duplicate would run again. */
  #dropOldAnswers(): void {
    for (const record of this.#records.values()) {
      if (this.#keptBytes <= this.#limits.answerBytes) return;
      if (!record.answer) continue;
      this.#keptBytes -= record.answer.body.length;
      delete record.answer;
      record.state = AttemptState.NotKept;
    }
  }
}
