/**
 * Bounds of the interval between two heartbeats, and the time by which each
 * frequent recipient lengthens it, in milliseconds. Above the number of
 * recipients given as superlinearFrom the interval grows faster than that number,
 * so that the datagrams of a large fleet cost each daemon less.
 */
const HEARTBEAT_INTERVAL = { min: 40, max: 1_000, perRecipient: 6, superlinearFrom: 30 };

/**
 * @param recipients - number of other daemons that receive each heartbeat
 * @returns time between two heartbeats, in milliseconds
 */
export function heartbeatIntervalMs(recipients: number): number {
  const factor = Math.max(1, recipients / HEARTBEAT_INTERVAL.superlinearFrom);
  return Math.min(
    HEARTBEAT_INTERVAL.max,
    Math.max(HEARTBEAT_INTERVAL.min, HEARTBEAT_INTERVAL.perRecipient * recipients * factor),
  );
}
