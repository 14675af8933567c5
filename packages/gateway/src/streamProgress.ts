/** Progress of a stream: logged at the end of its request, and used to resume the stream when a send breaks. */
export class StreamProgress {
  #firstEventAt: number | undefined;
  #lastEventAt = 0;
  #lastEventId: string | undefined;
  #events = 0;
  #longestGapMs = 0;
  #isLastNamed = false;

  /** @returns whether any event was forwarded to the caller */
  get hasBegun(): boolean {
    return this.#firstEventAt !== undefined;
  }

  /** @returns instant of the last event in milliseconds, 0 before the first */
  get lastEventAt(): number {
    return this.#lastEventAt;
  }

  /** @returns id of the last event that has one; a resumed stream continues after it */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** @returns whether the last event has an id, so that the stream can go on right after it */
  get isLastEventNamed(): boolean {
    return this.#isLastNamed;
  }

  /** @returns number of events so far */
  get events(): number {
    return this.#events;
  }

  /** @returns mean time between two events in milliseconds, once there were two */
  get meanPauseMs(): number | undefined {
    if (this.#firstEventAt === undefined || this.#events < 2) return undefined;
    return (this.#lastEventAt - this.#firstEventAt) / (this.#events - 1);
  }

  /**
   * Records that an event was forwarded.
   *
   * @param id - the event's id, if it has one
   * @param now - current instant in milliseconds
   */
  recordEvent(id: string | undefined, now: number): void {
    if (this.#firstEventAt === undefined) this.#firstEventAt = now;
    else this.#longestGapMs = Math.max(this.#longestGapMs, now - this.#lastEventAt);
    this.#events++;
    this.#lastEventAt = now;
    this.#isLastNamed = id !== undefined && id !== "";
    if (id !== undefined) this.#lastEventId = id;
  }

  /**
   * @param arrivedAt - arrival of the request, in milliseconds
   * @param now - current instant in milliseconds
   * @returns the fields of the request-end log line that describe the stream
   */
  logFields(arrivedAt: number, now: number): Record<string, number | undefined> {
    return {
      firstEventMs: this.#firstEventAt === undefined ? undefined : Math.round(this.#firstEventAt - arrivedAt),
      events: this.#events,
      longestGapMs: Math.round(this.#longestGapMs),
      sinceEventMs: this.#events === 0 ? undefined : Math.round(now - this.#lastEventAt),
    };
  }
}
