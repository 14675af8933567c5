/** What a send asks of its endpoint. */
export enum SendKind {
  /** To prefill the prompt, so that another engine can decode. */
  Prefill = "prefill",
  /** To run the request. */
  Run = "run",
}

/** What has become of a send, as far as its own endpoint's answer to it says. */
export enum SendFate {
  /** It is under way. */
  Open = "open",
  /** Nothing of it was sent, and nothing will be. */
  Unsent = "unsent",
  /** The endpoint's answer says that it did not run the request, and won't. */
  Declined = "declined",
  /** The endpoint's answer names the handle of the prefilled prompt. */
  Prefilled = "prefilled",
  /** The endpoint has answered with something else. */
  Answered = "answered",
  /** It is over, and no answer says what the endpoint has done. */
  Unanswered = "unanswered",
}

/** Fates that prove that a send has not run the request, and won't. */
const PROVEN_NOT_RUN: ReadonlySet<SendFate> = new Set([SendFate.Unsent, SendFate.Declined, SendFate.Prefilled]);

/** One send in the ledger of its request. */
export class LedgerEntry {
  readonly endpointId: string;
  readonly kind: SendKind;
  #fate = SendFate.Open;

  /**
   * @param endpointId - where the request is sent
   * @param kind - what the send asks for
   */
  constructor(endpointId: string, kind: SendKind) {
    this.endpointId = endpointId;
    this.kind = kind;
  }

  /** @returns what has become of the send */
  get fate(): SendFate {
    return this.#fate;
  }

  /** @returns whether the endpoint is proven not to have run the request, and not to run it later */
  get isProvenNotRun(): boolean {
    return PROVEN_NOT_RUN.has(this.#fate);
  }

  /**
   * @returns whether the endpoint may have run the request, so that it must not be sent to run again unless it may be repeated. A
   *   prefill doesn't run it, but an endpoint that answers a prefill with neither a handle nor a rejection has done something else
   */
  get mayHaveRun(): boolean {
    return this.kind === SendKind.Run ? !this.isProvenNotRun : this.#fate === SendFate.Answered;
  }

  /**
   * Records what has become of the send. Only the first fate counts: what comes after it isn't the answer to the send.
   *
   * @param fate - what has become of it
   */
  settle(fate: SendFate): void {
    if (this.#fate === SendFate.Open) this.#fate = fate;
  }
}

/** Proof that a request has not run and never will, without which no answer may promise that. */
export class NotRunProof {
  // A private field makes the type nominal: nothing else is assignable to it.
  readonly #sends: number;

  private constructor(sends: number) {
    this.#sends = sends;
  }

  /** @returns number of sends that the proof covers */
  get sends(): number {
    return this.#sends;
  }

  /** @returns the proof for a request that was not accepted, so that nothing was sent for it */
  static ofUnaccepted(): NotRunProof {
    return new NotRunProof(0);
  }

  /**
   * @param entries - all sends of a request
   * @returns the proof, if each of them is proven not to have run the request
   */
  static of(entries: readonly LedgerEntry[]): NotRunProof | undefined {
    return entries.every((entry) => entry.isProvenNotRun) ? new NotRunProof(entries.length) : undefined;
  }
}

/**
 * All sends of one request and what has become of each, written before their first byte leaves. Whether the request may have run
 * is concluded from here only, whatever is in flight at that moment.
 *
 * Answers the load pattern in which many sends end otherwise than by their own answer: they are replaced, moved, resumed from a
 * copy or cancelled, their connections break, or answers to other requests come on them.
 */
export class SendLedger {
  readonly #entries: LedgerEntry[] = [];

  /** @returns the sends, in the order in which they were decided on */
  get entries(): readonly LedgerEntry[] {
    return this.#entries;
  }

  /** @returns whether any send may have run the request */
  get mayHaveRun(): boolean {
    return this.#entries.some((entry) => entry.mayHaveRun);
  }

  /**
   * Records a send before anything of it is sent.
   *
   * @param endpointId - where the request is sent
   * @param kind - what the send asks for
   * @returns the entry of the send
   */
  open(endpointId: string, kind: SendKind): LedgerEntry {
    const entry = new LedgerEntry(endpointId, kind);
    this.#entries.push(entry);
    return entry;
  }

  /** @returns the proof that the request has not run, if there is one; a send that is under way proves nothing */
  proveNotRun(): NotRunProof | undefined {
    return NotRunProof.of(this.#entries);
  }

  /** @returns the sends for the log, each as endpoint, kind and fate */
  toString(): string {
    return this.#entries.map(({ endpointId, fate, kind }) => `${endpointId}:${kind}:${fate}`).join(" ");
  }
}
