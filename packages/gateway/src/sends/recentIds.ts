import * as common from "@camphorcourse/common";

/** Number of the latest ids that are known. An endpoint's second answer comes within a few requests after its first one. */
const CAPACITY = 256;

/** Ids of the latest requests on one connection, kept as hashes in a fixed amount of memory. */
export class RecentIds {
  #hashes: Uint32Array | undefined;
  #count = 0;

  /** @param id - id of a request that the connection carries from now on */
  add(id: string): void {
    this.#hashes ??= new Uint32Array(CAPACITY);
    this.#hashes[this.#count % CAPACITY] = common.hash32(id);
    this.#count++;
  }

  /**
   * @param id - id of a request
   * @returns whether the connection may have carried it: another id may have the same hash
   */
  mayHave(id: string): boolean {
    const known = this.#hashes?.subarray(0, Math.min(this.#count, CAPACITY));
    return known?.includes(common.hash32(id)) === true;
  }
}
