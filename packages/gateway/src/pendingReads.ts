/** A step that waits for the sockets' turn. */
export class DeferredStep {
  #timer: NodeJS.Immediate | undefined;

  /**
   * Puts a step off until all that lay in the sockets has been heard. A late event loop hears things in the order in
   * which they came, so a step that follows from an older one is taken before the newer one that forbids it is heard.
   * Two turns, as a connection's last bytes and its end are heard in two.
   *
   * @param step - called then
   */
  constructor(step: () => void) {
    this.#timer = setImmediate(() => {
      this.#timer = setImmediate(() => {
        this.#timer = undefined;
        step();
      });
    });
  }

  /** @returns whether the step had not been taken; it never will be then */
  cancel(): boolean {
    if (this.#timer === undefined) return false;
    clearImmediate(this.#timer);
    this.#timer = undefined;
    return true;
  }
}

/** @returns settles once all that lay in the sockets has been heard */
export function handled(): Promise<void> {
  return new Promise((resolve) => {
    new DeferredStep(resolve);
  });
}
