/** In-memory implementation of the subset of the etcd v3 data model that the daemons use. */

/** A key with its value, revisions and lease. */
export interface StoredValue {
  readonly key: string;
  readonly value: string;
  readonly createRevision: number;
  readonly modRevision: number;
  /** Id of the lease that the key is attached to; "0" if there is none. */
  readonly lease: string;
}

/** A change that is reported to watches. */
export interface StoreEvent {
  readonly revision: number;
  readonly key: string;
  /** Missing when the key was deleted. */
  readonly stored?: StoredValue;
}

/** A condition of a transaction: the key's creation or modification revision must equal `revision`. */
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

/** Number of events kept for watches that start at an earlier revision. */
const MAX_HISTORY_EVENTS = 10_000;

/** Stores keys, leases and the most recent changes. */
export class KeyValueStore {
  readonly #values = new Map<string, StoredValue>();
  readonly #leases = new Map<string, Lease>();
  readonly #listeners = new Set<(events: StoreEvent[]) => void>();
  #history: StoreEvent[] = [];
  #revision = 1;
  #nextLeaseId = 1000;

  /** @returns the revision of the latest change */
  get revision(): number {
    return this.#revision;
  }

  /**
   * @param key - first key of the range
   * @param rangeEnd - exclusive end of the range; undefined to read a single key
   * @returns the stored values, sorted by key
   */
  range(key: string, rangeEnd?: string): StoredValue[] {
    if (rangeEnd === undefined) {
      const stored = this.#values.get(key);
      return stored ? [stored] : [];
    }
    const inRange = [...this.#values.values()].filter((stored) => stored.key >= key && stored.key < rangeEnd);
    return inRange.sort((left, right) => (left.key < right.key ? -1 : 1));
  }

  /**
   * Applies writes atomically if all conditions hold.
   *
   * @param compares - the conditions
   * @param writes - the writes
   * @returns whether the conditions held
   */
  transact(compares: readonly StoreCompare[], writes: readonly StoreWrite[]): boolean {
    if (!compares.every((compare) => this.#holds(compare))) return false;
    if (writes.length === 0) return true;
    this.#revision++;
    const events = writes.flatMap((write) => this.#applyWrite(write));
    this.#publish(events);
    return true;
  }

  /**
   * @param ttlMs - time to live in milliseconds
   * @param now - current time in milliseconds
   * @returns the id of a new lease
   */
  grantLease(ttlMs: number, now: number): string {
    const id = String(this.#nextLeaseId++);
    this.#leases.set(id, { ttlMs, expiresAt: now + ttlMs });
    return id;
  }

  /**
   * Renews a lease.
   *
   * @param id - id of the lease
   * @param now - current time in milliseconds
   * @returns its time to live in milliseconds, or 0 if the lease doesn't exist
   */
  keepAlive(id: string, now: number): number {
    const lease = this.#leases.get(id);
    if (!lease) return 0;
    lease.expiresAt = now + lease.ttlMs;
    return lease.ttlMs;
  }

  /**
   * Deletes a lease and the keys attached to it.
   *
   * @param id - id of the lease
   */
  revokeLease(id: string): void {
    if (!this.#leases.delete(id)) return;
    const keys = [...this.#values.values()].filter((stored) => stored.lease === id);
    if (keys.length === 0) return;
    this.transact(
      [],
      keys.map((stored) => ({ kind: "delete", key: stored.key })),
    );
  }

  /**
   * Revokes all expired leases.
   *
   * @param now - current time in milliseconds
   */
  expireLeases(now: number): void {
    for (const [id, lease] of this.#leases) {
      if (lease.expiresAt <= now) this.revokeLease(id);
    }
  }

  /**
   * @param revision - first revision to return
   * @returns the events from that revision on, or undefined if some of them were compacted
   */
  eventsSince(revision: number): StoreEvent[] | undefined {
    const oldest = this.#history[0]?.revision ?? this.#revision + 1;
    if (this.#history.length === MAX_HISTORY_EVENTS && revision < oldest) return undefined;
    return this.#history.filter((event) => event.revision >= revision);
  }

  /**
   * @param listener - called with the events of each change
   * @returns a function that ends the subscription
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

  #applyWrite(write: StoreWrite): StoreEvent[] {
    if (write.kind === "delete") {
      const deleted = this.range(write.key, write.rangeEnd);
      for (const stored of deleted) this.#values.delete(stored.key);
      return deleted.map((stored) => ({ revision: this.#revision, key: stored.key }));
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
    this.#history = [...this.#history, ...events].slice(-MAX_HISTORY_EVENTS);
    for (const listener of this.#listeners) listener(events);
  }
}
