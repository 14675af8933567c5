/**
 * Overflow of requests from one region to another.
 *
 * Load pattern: waves of demand out of phase between regions. While one region has more than its engines can do in time,
 * another has room; all daemons of the first see that at the same time, in views that are some hundred milliseconds old.
 */

/**
 * Share of a prompt's objective by which another region must be faster. A caller notices no gain that is small beside its
 * objective, and views of other regions are up to half a second old.
 */
export const OVERFLOW_MARGIN_SHARE = 0.25;

/**
 * Share of the service time by which another region must be faster for a plain call, which has no queue to predict its
 * time from.
 */
const CALL_MARGIN = 0.25;

/**
 * Share of the prompts of a region that go to another one. It grows with the gain, so that the daemons don't all switch
 * at once, and reaches all prompts where the region of the caller is later by a whole objective: those would miss it.
 *
 * @param ownMs - predicted time to the first event in the caller's region, in milliseconds
 * @param otherMs - the same in the other region, distance and transfer included
 * @param objectiveMs - latency objective of the first event, in milliseconds
 * @param fullShareGain - gain beyond the margin at which all prompts leave, in objectives
 * @returns the share, from 0 to 1
 */
export function promptOverflowShare(ownMs: number, otherMs: number, objectiveMs: number, fullShareGain = 1): number {
  const excessMs = ownMs - otherMs - OVERFLOW_MARGIN_SHARE * objectiveMs;
  return Math.min(1, Math.max(0, excessMs / (fullShareGain * objectiveMs)));
}

/**
 * @param ownOccupancy - requests at the best endpoint of the caller's region, the new one included, in multiples of its
 *   slots and weighted by its slowness
 * @param otherOccupancy - the same at the best endpoint of the other regions
 * @returns share of the plain calls that go to the other endpoint, from 0 to 1; none while the own one has a free slot
 */
export function callOverflowShare(ownOccupancy: number, otherOccupancy: number): number {
  return Math.min(1, Math.max(0, ownOccupancy - Math.max(1, otherOccupancy) - CALL_MARGIN));
}
