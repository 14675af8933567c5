/** Incarnations of endpoints in messages between daemons. An incarnation is identified by its start time. */
import type * as fleetViews from "./fleetView.js";

/**
 * Converts a start time for a message. Messages have no missing number, so 0 means unknown.
 *
 * @param bornAt - start of an endpoint in Unix milliseconds, if known
 * @returns the value for the message
 */
export function toMessage(bornAt: number | undefined): bigint {
  return BigInt(bornAt ?? 0);
}

/**
 * @param startedAtMs - start of an endpoint as in a message
 * @returns the start in Unix milliseconds, if known
 */
export function fromMessage(startedAtMs: bigint): number | undefined {
  return startedAtMs === 0n ? undefined : Number(startedAtMs);
}

/**
 * Tells whether a peer reports on another incarnation of an endpoint than the one known here. A peer that doesn't know
 * of a restart yet continues to report on the previous incarnation. If it were accepted, an engine that has just
 * restarted would get no work because of an order it never received, and prompts for cached parts it doesn't have.
 * Older peers send no start time; their reports are accepted.
 *
 * @param view - the view of the fleet
 * @param id - the endpoint
 * @param peerBornAt - start of the incarnation that the peer reports on, if it is given
 * @returns whether the two start times are known and differ
 */
export function isOtherIncarnation(view: fleetViews.FleetView, id: string, peerBornAt: number | undefined): boolean {
  const bornAt = view.directory.bornAtOf(id);
  return peerBornAt !== undefined && bornAt !== undefined && peerBornAt !== bornAt;
}
