/** How often prompts of each size are taken, beside all of their kind. */

/** Time in which what was seen counts half as much, in milliseconds: a shortage lasts for some seconds. */
const HALF_LIFE_MS = 8_000;

/**
 * Part of the whole kind's share that each size should be taken at least. Users ask for half of it for the largest tenth;
 * the fewer are taken, the more the prompts of one size differ among each other, so it rises with the shortage.
 */
const LEAST_PART = { usual: 0.65, deep: 0.77 };

/** Shares of the whole kind taken between which that part rises. */
const SHORTAGE = { begins: 0.8, deep: 0.6 };

/** Weight of the whole kind's share beside what was seen of a size, in requests: of a few, chance decides. */
const PRIOR_REQUESTS = 3;

/** Least number of counts from which those that have faded are dropped. */
const MANY_COUNTS = 1_000;

/** Time after which a count that nothing was added to says nothing, in milliseconds: a thousandth of it is left. */
const FADED_MS = 10 * HALF_LIFE_MS;

/** Shares of the prompts offered that were taken. */
export interface TakenShares {
  readonly ofAll: number;
  /** Of those of one size; of few prompts it is drawn to the share of all. */
  readonly ofSize: number;
}

/** Decaying counts of one size, or of a whole kind. */
interface Count {
  offered: number;
  taken: number;
  countedAt: number;
}

/** Prompts of one size, as daemons tell each other of them. */
export interface SizeCount {
  /** Name of the kind of request. */
  readonly kind: string;
  /** Binary logarithm of the prompts' length. */
  readonly size: number;
  /** Those that callers have brought; one that comes back after it was turned away counts once. */
  readonly offered: number;
  /** Those that were taken. */
  readonly taken: number;
}

/**
 * The load it answers: a shortage. Each prompt is judged by what goes before it, and smaller ones do, so all that is
 * turned away are the largest, however many smaller ones cause the shortage with them. This tells when a size is
 * taken much less often than the whole kind. Daemons tell each other what they count: each alone sees a handful of the
 * largest, and would not notice.
 */
export class AcceptanceTracker {
  readonly #counts = new Map<string, Count>();
  /** Counts from which those that have faded are dropped. */
  #dropFrom = MANY_COUNTS;
  #untold = new Map<string, SizeCount>();

  /**
   * @param kind - name of the kind of request
   * @param promptTokens - length of a prompt that a caller has brought
   * @param now - current instant in milliseconds
   */
  noteOffered(kind: string, promptTokens: number, now: number): void {
    this.#note({ kind, size: sizeOf(promptTokens), offered: 1, taken: 0 }, now);
  }

  /**
   * @param kind - name of the kind of request
   * @param promptTokens - length of a prompt that was taken
   * @param now - current instant in milliseconds
   */
  noteTaken(kind: string, promptTokens: number, now: number): void {
    this.#note({ kind, size: sizeOf(promptTokens), offered: 0, taken: 1 }, now);
  }

  /** @returns how many counts are kept */
  get countsKept(): number {
    return this.#counts.size;
  }

  /** @returns what the peers have not been told; it is then forgotten */
  takeUnsentCounts(): SizeCount[] {
    const untold = [...this.#untold.values()];
    this.#untold = new Map();
    return untold;
  }

  /**
   * @param count - prompts of a peer's callers
   * @param now - current instant in milliseconds
   */
  addPeerCount(count: SizeCount, now: number): void {
    for (const each of this.#countsOf(count.kind, count.size, now)) {
      each.offered += count.offered;
      each.taken += count.taken;
    }
  }

  /**
   * @param kind - name of the kind of request
   * @param promptTokens - length of a prompt
   * @param now - current instant in milliseconds
   * @returns whether prompts of that size are taken much less often than all of the kind
   */
  isBehind(kind: string, promptTokens: number, now: number): boolean {
    const { ofSize, ofAll } = this.acceptanceRates(kind, promptTokens, now);
    return ofSize < leastPart(ofAll) * ofAll;
  }

  /**
   * @param kind - name of the kind of request
   * @param promptTokens - length of a prompt
   * @param now - current instant in milliseconds
   * @returns shares of those offered that were taken lately
   */
  acceptanceRates(kind: string, promptTokens: number, now: number): TakenShares {
    const [whole, size] = this.#countsOf(kind, sizeOf(promptTokens), now);
    const ofAll = whole.offered === 0 ? 1 : Math.min(1, whole.taken / whole.offered);
    return { ofAll, ofSize: (size.taken + PRIOR_REQUESTS * ofAll) / (size.offered + PRIOR_REQUESTS) };
  }

  #note(count: SizeCount, now: number): void {
    this.addPeerCount(count, now);
    const key = keyOf(count.kind, count.size);
    const before = this.#untold.get(key);
    const offered = count.offered + (before?.offered ?? 0);
    this.#untold.set(key, { ...count, offered, taken: count.taken + (before?.taken ?? 0) });
  }

  #countsOf(kind: string, size: number, now: number): [whole: Count, size: Count] {
    return [this.#count(kind, now), this.#count(keyOf(kind, size), now)];
  }

  #count(key: string, now: number): Count {
    let count = this.#counts.get(key);
    if (count === undefined) {
      if (this.#counts.size >= this.#dropFrom) this.#dropFaded(now);
      count = { offered: 0, taken: 0, countedAt: now };
      this.#counts.set(key, count);
    }
    const kept = 0.5 ** ((now - count.countedAt) / HALF_LIFE_MS);
    count.offered *= kept;
    count.taken *= kept;
    count.countedAt = now;
    return count;
  }

  /** Kinds come and go with each configuration: kept for ever, those of all days would fill the memory. */
  #dropFaded(now: number): void {
    for (const [key, { countedAt }] of this.#counts) if (now - countedAt > FADED_MS) this.#counts.delete(key);
    this.#dropFrom = Math.max(MANY_COUNTS, 2 * this.#counts.size);
  }
}

function leastPart(ofAll: number): number {
  const depth = (SHORTAGE.begins - ofAll) / (SHORTAGE.begins - SHORTAGE.deep);
  return LEAST_PART.usual + (LEAST_PART.deep - LEAST_PART.usual) * Math.max(0, Math.min(1, depth));
}

/** Sizes double from one to the next. */
function sizeOf(promptTokens: number): number {
  return Math.round(Math.log2(Math.max(1, promptTokens)));
}

function keyOf(kind: string, size: number): string {
  return `${kind} ${size}`;
}
