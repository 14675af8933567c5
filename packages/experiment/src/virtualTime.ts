import * as tinyqueue from "tinyqueue";

interface Timed {
  readonly at: number;
  readonly sequence: number;
  readonly run: () => void;
}

/** Time that passes only from one event to the next. */
export class VirtualTime {
  readonly #queue = new tinyqueue.default<Timed>(
    [],
    (left, right) => left.at - right.at || left.sequence - right.sequence,
  );
  #sequence = 0;
  #now = 0;

  /** @returns the current instant in milliseconds */
  get now(): number {
    return this.#now;
  }

  /**
   * @param delayMs - from now, in milliseconds
   * @param run - what happens then
   */
  after(delayMs: number, run: () => void): void {
    this.#queue.push({ at: this.#now + Math.max(0, delayMs), sequence: this.#sequence++, run });
  }

  /** @param untilMs - runs everything up to this instant */
  run(untilMs: number): void {
    for (let next = this.#queue.peek(); next !== undefined && next.at <= untilMs; next = this.#queue.peek()) {
      this.#queue.pop();
      this.#now = next.at;
      next.run();
    }
    this.#now = untilMs;
  }
}
