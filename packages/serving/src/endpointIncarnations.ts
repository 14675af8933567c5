/** Latest known incarnation of each endpoint, and which entries under its id no longer count. */

interface Leaving {
  readonly bornAt: number;
  readonly revision: number;
}

/**
 * Distinguishes entries of a previous incarnation from those of the present one.
 * An incarnation is one run of an endpoint under its id. An endpoint that
 * restarts writes a new entry, but a late write of its previous incarnation may
 * have an even higher revision. Going by revisions alone, callers would be sent
 * to an address where nothing runs, or a new endpoint would get no requests.
 * Incarnations are ordered by the start that the endpoint states; revisions
 * order the entries of one incarnation, and those of endpoints that state no start.
 */
export class EndpointIncarnations {
  readonly #newest = new Map<string, number>();
  /** Revisions up to which no entry of an id counts: it was removed, or overwritten by another writer. */
  readonly #voidUpTo = new Map<string, number>();
  readonly #leavings = new Map<string, Leaving>();

  /**
   * @param id - the endpoint
   * @returns start of its latest known incarnation, in Unix milliseconds, if it has stated one
   */
  bornAtOf(id: string): number | undefined {
    return this.#newest.get(id);
  }

  /**
   * @param id - the endpoint
   * @returns whether it was known as leaving, removed or overwritten before
   */
  hasDeparted(id: string): boolean {
    return this.#voidUpTo.has(id) || this.#leavings.has(id);
  }

  /**
   * @param id - the endpoint
   * @param bornAt - start that an entry states, if any
   * @returns whether the entry is of a later incarnation than all known ones
   */
  isNewer(id: string, bornAt: number | undefined): boolean {
    const newest = this.#newest.get(id);
    return bornAt !== undefined && newest !== undefined && bornAt > newest;
  }

  /**
   * @param id - the endpoint
   * @param bornAt - start that an entry states, if any
   * @param revision - revision of the entry
   * @returns whether what is known makes the entry obsolete
   */
  isOutdated(id: string, bornAt: number | undefined, revision: number): boolean {
    if (this.isVoid(id, revision)) return true;
    const newest = this.#newest.get(id);
    if (bornAt !== undefined && newest !== undefined && bornAt !== newest) return bornAt < newest;
    const leaving = this.#leavings.get(id);
    return leaving !== undefined && leaving.bornAt === bornAt && leaving.revision >= revision;
  }

  /**
   * @param id - the endpoint
   * @param revision - revision of an entry
   * @returns whether the entry has been removed or overwritten since, whichever incarnation wrote it
   */
  isVoid(id: string, revision: number): boolean {
    return revision <= (this.#voidUpTo.get(id) ?? 0);
  }

  /**
   * @param id - the endpoint
   * @param bornAt - start that it states, if any
   */
  noteIncarnation(id: string, bornAt: number | undefined): void {
    const newest = this.#newest.get(id);
    if (bornAt === undefined || (newest !== undefined && newest >= bornAt)) return;
    this.#newest.set(id, bornAt);
    this.#leavings.delete(id);
  }

  /**
   * @param id - the endpoint
   * @param revision - revision up to which none of its entries counts
   */
  noteVoid(id: string, revision: number): void {
    this.#voidUpTo.set(id, Math.max(revision, this.#voidUpTo.get(id) ?? 0));
  }

  /**
   * @param id - an endpoint that is leaving
   * @param bornAt - start of the incarnation that is leaving, if it is known
   * @param revision - revision that the leaving is based on
   */
  noteLeaving(id: string, bornAt: number | undefined, revision: number): void {
    if (bornAt === undefined) {
      this.noteVoid(id, revision);
      return;
    }
    this.noteIncarnation(id, bornAt);
    if (this.#newest.get(id) !== bornAt) return;
    this.#leavings.set(id, { bornAt, revision: Math.max(revision, this.#leavings.get(id)?.revision ?? 0) });
  }
}
