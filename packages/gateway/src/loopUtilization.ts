/** Weight of the last turn of the loop in what counts as busy: half a second of load shows. */
const LAST_TURN_WEIGHT = 0.4;

/** Part of the VM's capacity that the event loop keeps busy, smoothed. */
export class BusyShare {
  #use = performance.eventLoopUtilization();
  #share = 0;

  /** @returns the part, from 0 to 1 */
  get share(): number {
    return this.#share;
  }

  /** @returns the part of the time since the last turn that was noted, from 0 to 1 */
  noteTurn(): number {
    const before = this.#use;
    this.#use = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(this.#use, before);
    this.#share += LAST_TURN_WEIGHT * (utilization - this.#share);
    return utilization;
  }
}
