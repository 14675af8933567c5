import type * as keyValue from "./keyValueTypes.js";

const MAX_TOMBSTONES = 1000;

/**
 * This daemon's copy of the control records. A record replaces the known one
 * of its key only if its revision is higher, whether it came from a snapshot,
 * a watch or a peer's push. Late and repeated records have no effect.
 */
export class ControlStore {
  readonly #records = new Map<string, keyValue.KeyRecord>();
  readonly #tombstones = new Map<string, number>();
  #appliedRevision = 0;

  /** @returns the revision up to which every change has been applied */
  get appliedRevision(): number {
    return this.#appliedRevision;
  }

  /**
   * @param record - a record that was read or pushed
   * @returns whether it was newer than the known one
   */
  apply(record: keyValue.KeyRecord): boolean {
    const known = this.#records.get(record.key)?.modRevision ?? this.#tombstones.get(record.key) ?? 0;
    if (record.modRevision <= known) return false;
    if (!record.deleted) {
      this.#records.set(record.key, record);
      this.#tombstones.delete(record.key);
      return true;
    }
    this.#records.delete(record.key);
    this.#tombstones.set(record.key, record.modRevision);
    this.#trimTombstones();
    return true;
  }

  /**
   * Computes the changes that lead to a snapshot.
   *
   * @param records - all control records at that revision
   * @param revision - the snapshot's revision
   * @returns the snapshot's records, preceded by deletions of known keys that it doesn't contain
   */
  changesFromSnapshot(records: readonly keyValue.KeyRecord[], revision: number): keyValue.KeyRecord[] {
    const present = new Set(records.map((record) => record.key));
    const missing = [...this.#records.values()]
      .filter((record) => !present.has(record.key) && record.modRevision <= revision)
      .map((record) => ({ ...record, modRevision: revision, deleted: true }));
    return [...missing, ...records];
  }

  /** @param revision - revision up to which every change has been applied */
  markAppliedUpTo(revision: number): void {
    this.#appliedRevision = Math.max(this.#appliedRevision, revision);
  }

  /**
   * @param key - the key
   * @returns its record
   */
  get(key: string): keyValue.KeyRecord | undefined {
    return this.#records.get(key);
  }

  /**
   * @param revision - the revision that the peer has applied
   * @returns the records changed since then, including deletions
   */
  changesSince(revision: number): keyValue.KeyRecord[] {
    const records = [...this.#records.values()].filter((record) => record.modRevision > revision);
    const deleted = [...this.#tombstones]
      .filter(([, at]) => at > revision)
      .map(([key, at]) => ({ key, value: "", createRevision: 0, modRevision: at, deleted: true }));
    return [...records, ...deleted];
  }

  #trimTombstones(): void {
    if (this.#tombstones.size <= MAX_TOMBSTONES) return;
    const oldest = this.#tombstones.keys().next().value;
    if (oldest !== undefined) this.#tombstones.delete(oldest);
  }
}
