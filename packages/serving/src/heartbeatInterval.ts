/**
 * Shortest and longest interval between two pulses, in milliseconds, and the time
 * by which each daemon that hears them often lengthens it. From so many daemons on
 * it grows faster than their number, so that the datagrams of a large fleet cost
 * each daemon less.
 */
const PULSE_MS = { shortest: 40, longest: 1_000, perDaemon: 6, steeperFrom: 30 };

/**
 * @param peers - the other daemons
 * @returns time between two pulses, in milliseconds
 */
export function heartbeatIntervalMs(peers: number): number {
  const steeper = Math.max(1, peers / PULSE_MS.steeperFrom);
  return Math.min(PULSE_MS.longest, Math.max(PULSE_MS.shortest, PULSE_MS.perDaemon * peers * steeper));
}
