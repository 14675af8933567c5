/** Maximum number of names that are remembered; later ones are not reported. */
const MAX_NAMES = 32;

/** Reports each name once, and not too many: they come from outside. */
export class FirstSightings {
  readonly #names = new Set<string>();

  /**
   * @param name - a name
   * @returns whether it is to be reported
   */
  isFirst(name: string): boolean {
    if (this.#names.has(name) || this.#names.size >= MAX_NAMES) return false;
    this.#names.add(name);
    return true;
  }
}
