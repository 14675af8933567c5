import type * as keyValue from "./keyValueTypes.js";

const TOMBSTONES_KEPT = 1000;

/**
 * The control records as this daemon last saw them. Each key only moves
 * forward by its revision, whichever way a record came: snapshot, watch or a
 * peer's push. A record that comes late or twice changes nothing.
 */
export class ControlStore {
  readonly #records = new Map<string, keyValue.KeyRecord>();
  readonly #tombstones = new Map<string, number>();
  #appliedRevision = 0;

  /** @returns the revision up to which every change is known */
  get appliedRevision(): number {
    return this.#appliedRevision;
  }

  /**
   * @param record - a record that was read or pushed
   * @returns whether it was news
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
   * Compares with a snapshot.
   *
   * @param records - all control records at that revision
   * @param revision - the snapshot's revision
   * @returns records that are news, with the keys that are gone marked deleted
   */
  changesFromSnapshot(records: readonly keyValue.KeyRecord[], revision: number): keyValue.KeyRecord[] {
    const present = new Set(records.map((record) => record.key));
    const gone = [...this.#records.values()]
      .filter((record) => !present.has(record.key) && record.modRevision <= revision)
      .map((record) => ({ ...record, modRevision: revision, deleted: true }));
    return [...gone, ...records];
  }

  /** @param revision - every change up to this one has been applied */
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
   * @param revision - what the other side has
   * @returns what changed since, deletions included
   */
  changesSince(revision: number): keyValue.KeyRecord[] {
    const records = [...this.#records.values()].filter((record) => record.modRevision > revision);
    const deleted = [...this.#tombstones]
      .filter(([, at]) => at > revision)
      .map(([key, at]) => ({ key, value: "", createRevision: 0, modRevision: at, deleted: true }));
    return [...records, ...deleted];
  }

  #trimTombstones(): void {
    if (this.#tombstones.size <= TOMBSTONES_KEPT) return;
    const oldest = this.#tombstones.keys().next().value;
    if (oldest !== undefined) this.#tombstones.delete(oldest);
  }
}
