/** A step that is deferred until pending socket reads have been handled. */
export class DeferredStep {
  #timer: NodeJS.Immediate | undefined;

  /**
   * Defers a step until everything that was pending in the sockets has been handled. A lagging event loop handles
   * events in the order in which they came, so a step that follows from an older event would run before a newer event
   * that forbids it is handled. Waits for two iterations of the event loop, as the last bytes of a connection and its
   * end are reported in separate iterations.
   *
   * @param step - called afterwards
   */
  constructor(step: () => void) {
    this.#timer = setImmediate(() => {
      this.#timer = setImmediate(() => {
        this.#timer = undefined;
        step();
      });
    });
  }

  /** @returns whether the step had not run yet; it never runs then */
  cancel(): boolean {
    if (this.#timer === undefined) return false;
    clearImmediate(this.#timer);
    this.#timer = undefined;
    return true;
  }
}

/** @returns a promise that resolves once everything that was pending in the sockets has been handled */
export function handled(): Promise<void> {
  return new Promise((resolve) => {
    new DeferredStep(resolve);
  });
}
