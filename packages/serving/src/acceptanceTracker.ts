/** How often prompts of each size are accepted, compared with all prompts of their kind. */

/** Half-life of the counts, in milliseconds: a shortage lasts for some seconds. */
const HALF_LIFE_MS = 8_000;

/**
 * Minimum acceptance rate of each size, as a part of the whole kind's rate. Users ask for half of it for the largest
 * tenth. It rises with the shortage, as the prompts within one size differ more from each other when fewer are accepted.
 */
const MIN_PART = { usual: 0.65, severe: 0.77 };

/** Acceptance rates of the whole kind between which that part rises. */
const SHORTAGE = { begins: 0.8, severe: 0.6 };

/** Weight of the whole kind's rate in that of a size, in requests: the rate of a few requests is mostly chance. */
const PRIOR_REQUESTS = 3;

/** Size classes from one length to twice that length: within a class the smaller prompts are accepted more often. */
const CLASSES_PER_DOUBLING = 1;

/** Number of counts from which expired ones are deleted. */
const MIN_COUNTS_TO_PRUNE = 1_000;

/** Time after which a count without additions is negligible, in milliseconds: a thousandth of it is left. */
const EXPIRY_MS = 10 * HALF_LIFE_MS;

/** Shares of the offered prompts that were accepted. */
export interface AcceptanceRates {
  readonly ofAll: number;
  /** Rate of one size; with few prompts it is drawn towards the rate of all. */
  readonly ofSize: number;
}

/** What is known of a prompt's kind and size when its admission is decided, for the log. */
export interface AcceptanceCounts {
  /** Size class by which the prompt is counted. */
  readonly sizeClass: number;
  readonly offeredOfSize: number;
  readonly takenOfSize: number;
  readonly offeredOfKind: number;
  readonly takenOfKind: number;
}

/** Decaying counts of one size, or of a whole kind. */
interface Count {
  offered: number;
  taken: number;
  countedAt: number;
}

/** Decisions on prompts of one size, as daemons report them to each other. */
export interface SizeCount {
  /** Name of the kind of request. */
  readonly kind: string;
  /** Size class of the prompts, see {@link sizeClassOf}. */
  readonly sizeClass: number;
  /** Prompts whose admission was decided; one that its caller sends again counts again. */
  readonly offered: number;
  /** Those of them that were accepted, never more. */
  readonly taken: number;
}

/**
 * Detects prompt sizes that are accepted much less often than the whole kind. In a
 * shortage, each prompt is checked against the work ahead of it, and smaller
 * prompts go ahead, so that only the largest are rejected, however many smaller
 * ones cause the shortage with them. Daemons share their counts: each of them sees
 * too few of the largest prompts to notice alone.
 *
 * A prompt is counted once, when its admission is decided, with the outcome. So no more can be accepted than offered,
 * whatever callers and delays do.
 */
export class AcceptanceTracker {
  readonly #counts = new Map<string, Count>();
  /** Number of counts at which expired ones are deleted. */
  #pruneAt = MIN_COUNTS_TO_PRUNE;
  #unsent = new Map<string, SizeCount>();
  #refusedCounts = 0;

  /**
   * @param kind - name of the kind of request
   * @param promptTokens - length of a prompt
   * @param isAccepted - whether it was accepted
   * @param now - current instant in milliseconds
   */
  noteDecision(kind: string, promptTokens: number, isAccepted: boolean, now: number): void {
    const count = { kind, sizeClass: sizeClassOf(promptTokens), offered: 1, taken: isAccepted ? 1 : 0 };
    this.#add(count, now);
    const key = keyOf(kind, count.sizeClass);
    const { offered, taken } = this.#unsent.get(key) ?? { offered: 0, taken: 0 };
    this.#unsent.set(key, { ...count, offered: offered + count.offered, taken: taken + count.taken });
  }

  /** @returns number of peers' counts that were left out, as they can't be */
  get refusedCounts(): number {
    return this.#refusedCounts;
  }

  /** @returns the number of counts in memory */
  get countsKept(): number {
    return this.#counts.size;
  }

  /** @returns counts that were not yet sent to the peers; they are removed here */
  takeUnsentCounts(): SizeCount[] {
    const unsent = [...this.#unsent.values()];
    this.#unsent = new Map();
    return unsent;
  }

  /**
   * @param count - decisions of a peer
   * @param now - current instant in milliseconds
   * @returns whether it counts; more accepted than offered prompts can't be, and would hide a shortage
   */
  addPeerCount(count: SizeCount, now: number): boolean {
    if (count.taken > count.offered) {
      this.#refusedCounts++;
      return false;
    }
    this.#add(count, now);
    return true;
  }

  /**
   * @param kind - name of the kind of request
   * @param promptTokens - length of a prompt
   * @param now - current instant in milliseconds
   * @returns whether prompts of that size are accepted much less often than all of the kind
   */
  isUnderserved(kind: string, promptTokens: number, now: number): boolean {
    const { ofSize, ofAll } = this.acceptanceRates(kind, promptTokens, now);
    return ofSize < minPart(ofAll) * ofAll;
  }

  /**
   * @param kind - name of the kind of request
   * @param promptTokens - length of a prompt
   * @param now - current instant in milliseconds
   * @returns recent acceptance rates of the kind and of that size
   */
  acceptanceRates(kind: string, promptTokens: number, now: number): AcceptanceRates {
    const [whole, size] = this.#countsOf(kind, sizeClassOf(promptTokens), now);
    const ofAll = whole.offered === 0 ? 1 : whole.taken / whole.offered;
    return { ofAll, ofSize: (size.taken + PRIOR_REQUESTS * ofAll) / (size.offered + PRIOR_REQUESTS) };
  }

  /**
   * @param kind - name of the kind of request
   * @param promptTokens - length of a prompt
   * @param now - current instant in milliseconds
   * @returns the decayed counts behind the acceptance rates
   */
  countsOf(kind: string, promptTokens: number, now: number): AcceptanceCounts {
    const sizeClass = sizeClassOf(promptTokens);
    const [ofKind, ofSize] = this.#countsOf(kind, sizeClass, now);
    return {
      sizeClass,
      offeredOfSize: ofSize.offered,
      takenOfSize: ofSize.taken,
      offeredOfKind: ofKind.offered,
      takenOfKind: ofKind.taken,
    };
  }

  #add({ kind, sizeClass, offered, taken }: SizeCount, now: number): void {
    for (const each of this.#countsOf(kind, sizeClass, now)) {
      each.offered += offered;
      each.taken += taken;
    }
  }

  #countsOf(kind: string, sizeClass: number, now: number): [whole: Count, size: Count] {
    return [this.#decayedCount(kind, now), this.#decayedCount(keyOf(kind, sizeClass), now)];
  }

  #decayedCount(key: string, now: number): Count {
    let count = this.#counts.get(key);
    if (count === undefined) {
      if (this.#counts.size >= this.#pruneAt) this.#prune(now);
      count = { offered: 0, taken: 0, countedAt: now };
      this.#counts.set(key, count);
    }
    const kept = 0.5 ** ((now - count.countedAt) / HALF_LIFE_MS);
    count.offered *= kept;
    count.taken *= kept;
    count.countedAt = now;
    return count;
  }

  /** Deletes expired counts: kinds come and go with each configuration, and would accumulate in memory otherwise. */
  #prune(now: number): void {
    for (const [key, { countedAt }] of this.#counts) if (now - countedAt > EXPIRY_MS) this.#counts.delete(key);
    this.#pruneAt = Math.max(MIN_COUNTS_TO_PRUNE, 2 * this.#counts.size);
  }
}

function minPart(ofAll: number): number {
  const severity = (SHORTAGE.begins - ofAll) / (SHORTAGE.begins - SHORTAGE.severe);
  return MIN_PART.usual + (MIN_PART.severe - MIN_PART.usual) * Math.max(0, Math.min(1, severity));
}

/**
 * @param promptTokens - length of a prompt
 * @returns its size class; classes grow exponentially
 */
export function sizeClassOf(promptTokens: number): number {
  return Math.round(CLASSES_PER_DOUBLING * Math.log2(Math.max(1, promptTokens)));
}

function keyOf(kind: string, sizeClass: number): string {
  return `${kind} ${sizeClass}`;
}
