/** Weight of the last sample in the moving average: the average shows half a second of load. */
const LAST_SAMPLE_WEIGHT = 0.4;

/** Utilization of the event loop, as an exponential moving average. */
export class LoopUtilization {
  #use = performance.eventLoopUtilization();
  #share = 0;

  /** @returns the average utilization, from 0 to 1 */
  get share(): number {
    return this.#share;
  }

  /** @returns the utilization since the previous sample, from 0 to 1 */
  sample(): number {
    const before = this.#use;
    this.#use = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(this.#use, before);
    this.#share += LAST_SAMPLE_WEIGHT * (utilization - this.#share);
    return utilization;
  }
}
