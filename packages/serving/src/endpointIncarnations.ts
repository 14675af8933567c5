/** The life of an endpoint that its own word names last, and what no longer counts of what is said under its id. */

interface Leaving {
  readonly bornAt: number;
  readonly revision: number;
}

/**
 * Tells words of a former life from those of the present one. An endpoint that
 * starts again under its id writes a new entry, but a late write of its former
 * life has a higher revision still. By revisions alone callers would be sent to
 * where nobody is, or kept from an endpoint that has just come. The start that
 * the endpoint says of itself orders its lives; revisions order the words of one
 * life, and those of endpoints that say nothing of their start.
 */
export class EndpointIncarnations {
  readonly #newest = new Map<string, number>();
  /** Revisions up to which no entry of an id counts: it was removed, or another writer wrote over it. */
  readonly #voidUpTo = new Map<string, number>();
  readonly #leavings = new Map<string, Leaving>();

  /**
   * @param id - the endpoint
   * @returns the latest start that is known of it, in Unix milliseconds, if it has said one
   */
  bornAtOf(id: string): number | undefined {
    return this.#newest.get(id);
  }

  /**
   * @param id - the endpoint
   * @returns whether anything was said against it before
   */
  hasDeparted(id: string): boolean {
    return this.#voidUpTo.has(id) || this.#leavings.has(id);
  }

  /**
   * @param id - the endpoint
   * @param bornAt - start that an entry says, if it does
   * @returns whether the entry is of a later life than all that were known
   */
  isNewLife(id: string, bornAt: number | undefined): boolean {
    const newest = this.#newest.get(id);
    return bornAt !== undefined && newest !== undefined && bornAt > newest;
  }

  /**
   * @param id - the endpoint
   * @param bornAt - start that an entry says, if it does
   * @param revision - revision of the entry
   * @returns whether what is known since makes the entry void
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
   * @returns whether the entry was removed or written over since, whichever life wrote it
   */
  isVoid(id: string, revision: number): boolean {
    return revision <= (this.#voidUpTo.get(id) ?? 0);
  }

  /**
   * @param id - the endpoint
   * @param bornAt - start that it says, if it does
   */
  noteLife(id: string, bornAt: number | undefined): void {
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
   * @param bornAt - start of the life that is leaving, if it is known
   * @param revision - revision that said so
   */
  noteLeaving(id: string, bornAt: number | undefined, revision: number): void {
    if (bornAt === undefined) {
      this.noteVoid(id, revision);
      return;
    }
    this.noteLife(id, bornAt);
    if (this.#newest.get(id) !== bornAt) return;
    this.#leavings.set(id, { bornAt, revision: Math.max(revision, this.#leavings.get(id)?.revision ?? 0) });
  }
}
