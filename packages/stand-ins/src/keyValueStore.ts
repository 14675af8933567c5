/** The part of the etcd v3 data model that the product uses, kept in memory. */

/** A key with its value and revisions. */
export interface StoredValue {
  readonly key: string;
  readonly value: string;
  readonly createRevision: number;
  readonly modRevision: number;
  readonly lease: string;
}

/** A change that watches are told of. */
export interface StoreEvent {
  readonly revision: number;
  readonly key: string;
  /** Missing when the key was deleted. */
  readonly stored?: StoredValue;
}

/** A condition of a transaction. */
export interface StoreCompare {
  readonly key: string;
  readonly target: "CREATE" | "MOD";
  readonly revision: number;
}

/** A write of a transaction. */
export type StoreWrite =
  | { readonly kind: "put"; readonly key: string; readonly value: string; readonly lease: string }
  | { readonly kind: "delete"; readonly key: string; readonly rangeEnd?: string };

interface Lease {
  readonly ttlMs: number;
  expiresAt: number;
}

const EVENT_HISTORY = 10_000;

/** Keys, leases and the history of changes. */
export class KeyValueStore {
  readonly #values = new Map<string, StoredValue>();
  readonly #leases = new Map<string, Lease>();
  readonly #listeners = new Set<(events: StoreEvent[]) => void>();
  #history: StoreEvent[] = [];
  #revision = 1;
  #nextLease = 1000;

  /** @returns the revision of the latest change */
  get revision(): number {
    return this.#revision;
  }

  /**
   * @param key - first key
   * @param rangeEnd - end of the range, not included; missing for one key
   * @returns the values in order of their keys
   */
  range(key: string, rangeEnd?: string): StoredValue[] {
    if (rangeEnd === undefined) {
      const stored = this.#values.get(key);
      return stored ? [stored] : [];
    }
    const found = [...this.#values.values()].filter((stored) => stored.key >= key && stored.key < rangeEnd);
    return found.sort((left, right) => (left.key < right.key ? -1 : 1));
  }

  /**
   * @param compares - all must hold
   * @param writes - done together when they do
   * @returns whether the conditions held
   */
  transact(compares: readonly StoreCompare[], writes: readonly StoreWrite[]): boolean {
    if (!compares.every((compare) => this.#holds(compare))) return false;
    if (writes.length === 0) return true;
    this.#revision++;
    const events = writes.flatMap((write) => this.#write(write));
    this.#publish(events);
    return true;
  }

  /**
   * @param ttlMs - time to live
   * @param now - current time
   * @returns the id of a new lease
   */
  grantLease(ttlMs: number, now: number): string {
    const id = String(this.#nextLease++);
    this.#leases.set(id, { ttlMs, expiresAt: now + ttlMs });
    return id;
  }

  /**
   * @param id - the lease
   * @param now - current time
   * @returns its time to live in milliseconds, 0 if it is gone
   */
  keepAlive(id: string, now: number): number {
    const lease = this.#leases.get(id);
    if (!lease) return 0;
    lease.expiresAt = now + lease.ttlMs;
    return lease.ttlMs;
  }

  /** @param id - the lease to end, with its keys */
  revokeLease(id: string): void {
    if (!this.#leases.delete(id)) return;
    const keys = [...this.#values.values()].filter((stored) => stored.lease === id);
    if (keys.length === 0) return;
    this.transact(
      [],
      keys.map((stored) => ({ kind: "delete", key: stored.key })),
    );
  }

  /** @param now - current time; leases that have run out end */
  expireLeases(now: number): void {
    for (const [id, lease] of this.#leases) {
      if (lease.expiresAt <= now) this.revokeLease(id);
    }
  }

  /**
   * @param revision - the first revision wanted
   * @returns the events since then, or undefined if they were compacted
   */
  eventsSince(revision: number): StoreEvent[] | undefined {
    const oldest = this.#history[0]?.revision ?? this.#revision + 1;
    if (this.#history.length === EVENT_HISTORY && revision < oldest) return undefined;
    return this.#history.filter((event) => event.revision >= revision);
  }

  /**
   * @param listener - told of each change
   * @returns a function that ends it
   */
  subscribe(listener: (events: StoreEvent[]) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #holds(compare: StoreCompare): boolean {
    const stored = this.#values.get(compare.key);
    const actual = compare.target === "CREATE" ? stored?.createRevision : stored?.modRevision;
    return (actual ?? 0) === compare.revision;
  }

  #write(write: StoreWrite): StoreEvent[] {
    if (write.kind === "delete") {
      const gone = this.range(write.key, write.rangeEnd);
      for (const stored of gone) this.#values.delete(stored.key);
      return gone.map((stored) => ({ revision: this.#revision, key: stored.key }));
    }
    const stored: StoredValue = {
      key: write.key,
      value: write.value,
      createRevision: this.#values.get(write.key)?.createRevision ?? this.#revision,
      modRevision: this.#revision,
      lease: write.lease,
    };
    this.#values.set(write.key, stored);
    return [{ revision: this.#revision, key: write.key, stored }];
  }

  #publish(events: StoreEvent[]): void {
    this.#history = [...this.#history, ...events].slice(-EVENT_HISTORY);
    for (const listener of this.#listeners) listener(events);
  }
}
