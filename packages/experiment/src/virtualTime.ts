import * as tinyqueue from "tinyqueue";

interface ScheduledEvent {
  readonly at: number;
  readonly sequence: number;
  readonly run: () => void;
}

/** Clock and event queue of a discrete-event simulation. */
export class VirtualTime {
  readonly #queue = new tinyqueue.default<ScheduledEvent>(
    [],
    (left, right) => left.at - right.at || left.sequence - right.sequence,
  );
  #sequence = 0;
  #now = 0;

  /** @returns the current virtual time in milliseconds */
  get now(): number {
    return this.#now;
  }

  /**
   * Schedules an event; events at the same time run in the order in which they were scheduled.
   *
   * @param delayMs - delay from now in milliseconds; a negative one counts as 0
   * @param run - what to run then
   */
  after(delayMs: number, run: () => void): void {
    this.#queue.push({ at: this.#now + Math.max(0, delayMs), sequence: this.#sequence++, run });
  }

  /** @param untilMs - virtual time in milliseconds up to which all events are run, inclusive */
  run(untilMs: number): void {
    for (let next = this.#queue.peek(); next !== undefined && next.at <= untilMs; next = this.#queue.peek()) {
      this.#queue.pop();
      this.#now = next.at;
      next.run();
    }
    this.#now = untilMs;
  }
}
