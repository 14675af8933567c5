/**
 * Estimates true time from the wall clocks of several VMs. A single clock may be off, or step by seconds while it is
 * corrected; the median is right as long as most clocks are.
 *
 * @param offsets - Unix time minus monotonic time of this daemon, by the clock of each VM, in milliseconds
 * @returns the median offset; undefined without any
 */
export function medianOffset(offsets: readonly number[]): number | undefined {
  const sorted = offsets.toSorted((first, second) => first - second);
  return sorted[Math.floor((sorted.length - 1) / 2)];
}
