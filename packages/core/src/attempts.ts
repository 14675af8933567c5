/** A whole answer that was kept, so that duplicates of the request get the same one. */
export interface KeptAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}

/** Where the one attempt of an idempotency key stands. */
export enum AttemptState {
  /** The claim or a former claimant's answer is awaited. */
  Pending = "seeking",
  Running = "running",
  Answered = "answered",
  /** Given up before anything was dispatched; may be run under the same claim. */
  NotRun = "not-run",
  /** It may have run and there is no answer. */
  Unknown = "unknown",
  /** It ran; the answer was too large to keep. */
  NotKept = "not-kept",
  /** Another daemon was allowed to run it in place of this one. */
  Ceded = "ceded",
}

/** Which daemon and attempt has a key. */
export interface AttemptOwner {
  readonly vm: string;
  readonly incarnation: string;
  readonly attempt: string;
}

/** One key's attempt at this daemon. */
export interface AttemptRecord {
  readonly key: string;
  readonly digest: string;
  /** The attempt's id in the claim. */
  readonly attempt: string;
  state: AttemptState;
  /** Whether the claim is known to stand in the key-value service. */
  claimed: boolean;
  answer?: KeptAnswer;
  cededTo?: AttemptOwner;
  settledAt?: number;
}

/** Limits of what is kept. */
export interface AttemptLimits {
  /** Bytes of answers kept; the oldest go first. */
  readonly answerBytes: number;
  /** Milliseconds that a settled attempt is remembered. */
  readonly windowMs: number;
}

/**
 * The attempts that this daemon has claimed. It is where all duplicates of a
 * key meet: the claim names this daemon, so every other daemon asks here, and
 * one loop on one thread decides. An attempt is set running at most once
 * unless it ended without having been dispatched.
 */
export class AttemptTable {
  readonly #limits: AttemptLimits;
  readonly #records = new Map<string, AttemptRecord>();
  #keptBytes = 0;

  /** @param limits - bytes and time */
  constructor(limits: AttemptLimits) {
    this.#limits = limits;
  }

  /** @returns how many keys are remembered */
  get size(): number {
    return this.#records.size;
  }

  /**
   * @param key - the key
   * @returns its attempt at this daemon
   */
  get(key: string): AttemptRecord | undefined {
    return this.#records.get(key);
  }

  /**
   * @param key - the key
   * @param digest - digest of the request
   * @param attempt - the attempt's id
   * @returns the new record, seeking its claim
   */
  begin(key: string, digest: string, attempt: string): AttemptRecord {
    const record: AttemptRecord = { key, digest, attempt, state: AttemptState.Pending, claimed: false };
    this.#records.set(key, record);
    return record;
  }

  /**
   * @param record - the attempt that ended
   * @param state - how
   * @param now - current time
   * @param answer - the whole answer, if there is one
   */
  settle(record: AttemptRecord, state: AttemptState, now: number, answer?: KeptAnswer): void {
    record.state = state;
    record.settledAt = now;
    if (!answer || record.answer) return;
    record.answer = answer;
    this.#keptBytes += answer.body.length;
    this.#dropOldAnswers();
  }

  /** @param record - an attempt that may run now; its former end no longer counts */
  run(record: AttemptRecord): void {
    record.state = AttemptState.Running;
    delete record.settledAt;
    delete record.cededTo;
  }

  /** @param key - a key whose attempt was another daemon's after all */
  forget(key: string): void {
    const record = this.#records.get(key);
    if (record?.answer) this.#keptBytes -= record.answer.body.length;
    this.#records.delete(key);
  }

  /** @param now - current time; settled attempts older than the window are dropped */
  expire(now: number): void {
    for (const [key, record] of this.#records) {
      if (record.settledAt !== undefined && now - record.settledAt > this.#limits.windowMs) this.forget(key);
    }
  }

  /** A record stays when its answer goes: without it a duplicate would be run again. */
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
