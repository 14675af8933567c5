const NONE: readonly never[] = [];

/**
 * The sends of one request that are in flight. There is one at a time, unless an endpoint falls silent: its send stays while
 * another endpoint is tried, and whichever brings something first goes on alone.
 *
 * Answers the load pattern in which engines, a link or a whole VM stand still for a second or two and then go on.
 */
export class SendRace<Send> {
  /** In the order in which they began. */
  #sends: Send[] = [];

  /** @returns the send that began last, if any is in flight */
  get latest(): Send | undefined {
    return this.#sends.at(-1);
  }

  /** @returns the sends in flight, in the order in which they began */
  get sends(): readonly Send[] {
    return this.#sends;
  }

  /** @param send - a send that begins; those in flight stay */
  begin(send: Send): void {
    this.#sends.push(send);
  }

  /**
   * @param send - a send that is over
   * @returns whether it was in flight
   */
  end(send: Send): boolean {
    const index = this.#sends.indexOf(send);
    if (index < 0) return false;
    this.#sends.splice(index, 1);
    return true;
  }

  /**
   * @param send - a send in flight that has brought a part of the answer, so that it goes on alone
   * @returns the other sends, which are to be cancelled; none if the send isn't in flight
   */
  settle(send: Send): readonly Send[] {
    // Asked at each event of a stream, of which nearly all have one send.
    if (this.#sends.length === 1 || !this.#sends.includes(send)) return NONE;
    const others = this.#sends.filter((each) => each !== send);
    this.#sends = [send];
    return others;
  }

  /** @returns the sends that were in flight; none is any more */
  clear(): readonly Send[] {
    const sends = this.#sends;
    this.#sends = [];
    return sends;
  }
}
