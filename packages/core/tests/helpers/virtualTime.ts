interface Pending {
  readonly at: number;
  readonly sequence: number;
  readonly run: () => void;
}

/** Time that passes only while it is run; what falls on one instant happens in the order in which it was asked for. */
export class VirtualTime {
  #now = 0;
  #pending: Pending[] = [];
  #sequence = 0;

  /** @returns the current instant in milliseconds */
  get now(): number {
    return this.#now;
  }

  /** @param milliseconds - how far to run */
  run(milliseconds: number): void {
    const end = this.#now + milliseconds;
    for (;;) {
      const next = this.#pending[0];
      if (!next || next.at > end) break;
      this.#pending.shift();
      this.#now = Math.max(this.#now, next.at);
      next.run();
    }
    this.#now = end;
  }

  /**
   * @param delayMs - from now
   * @param run - what happens then
   */
  after(delayMs: number, run: () => void): void {
    const entry = { at: this.#now + delayMs, sequence: this.#sequence++, run };
    let index = this.#pending.length;
    while (index > 0 && isLater(this.#pending[index - 1], entry)) index--;
    this.#pending.splice(index, 0, entry);
  }

  /**
   * @param milliseconds - from one run to the next
   * @param run - what happens each time
   */
  every(milliseconds: number, run: () => void): void {
    this.after(milliseconds, () => {
      run();
      this.every(milliseconds, run);
    });
  }
}

function isLater(left: Pending | undefined, right: Pending): boolean {
  return left !== undefined && (left.at > right.at || (left.at === right.at && left.sequence > right.sequence));
}
