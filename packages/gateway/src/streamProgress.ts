/** How far a stream has come, for its log line and for what follows when it breaks. */
export class StreamProgress {
  #firstEventAt: number | undefined;
  #lastEventAt = 0;
  #lastEventId: string | undefined;
  #events = 0;
  #longestGapMs = 0;

  /** @returns whether anything was passed on to the caller */
  get begun(): boolean {
    return this.#firstEventAt !== undefined;
  }

  /** @returns instant of the last event in milliseconds, 0 before the first */
  get lastEventAt(): number {
    return this.#lastEventAt;
  }

  /** @returns id of the last event that has one; a resumed stream goes on after it */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** @returns events so far */
  get events(): number {
    return this.#events;
  }

  /** @returns mean pause between two events in milliseconds, once there were two */
  get meanPauseMs(): number | undefined {
    if (this.#firstEventAt === undefined || this.#events < 2) return undefined;
    return (this.#lastEventAt - this.#firstEventAt) / (this.#events - 1);
  }

  /**
   * @param id - the event's id, if it has one
   * @param now - current instant in milliseconds
   */
  note(id: string | undefined, now: number): void {
    if (this.#firstEventAt === undefined) this.#firstEventAt = now;
    else this.#longestGapMs = Math.max(this.#longestGapMs, now - this.#lastEventAt);
    this.#events++;
    this.#lastEventAt = now;
    if (id !== undefined) this.#lastEventId = id;
  }

  /**
   * @param arrivedAt - when the request came, in milliseconds
   * @param now - current instant in milliseconds
   * @returns what the request's last log line tells of the stream
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
