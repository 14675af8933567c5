/** Number of steps in which an estimate is halved in; the last one changes it by less than a thousandth. */
const STEPS = 24;

/** Largest estimate, in organisations. */
const MAX_TOTAL = 65_536;

/**
 * Estimates how many organisations send requests to a fleet from those that one daemon has seen: with few repeated ones
 * there are many more. It assumes that they send equally many.
 *
 * @param seen - different organisations among the requests of one daemon
 * @param requests - number of these requests
 * @returns the estimated number of all organisations, at least those seen
 */
export function estimateTotal(seen: number, requests: number): number {
  let [low, high] = [seen, MAX_TOTAL];
  for (let step = 0; step < STEPS; step++) {
    const middle = (low + high) / 2;
    // Expected number of different organisations among so many requests.
    if (middle * (1 - Math.exp(-requests / middle)) < seen) low = middle;
    else high = middle;
  }
  return low;
}
