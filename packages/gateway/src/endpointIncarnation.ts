/** Which life of an endpoint a peer speaks of. */
import type * as fleetViews from "./fleetView.js";

/**
 * Messages have no missing number: 0 stands for a start that isn't known.
 *
 * @param bornAt - start of an endpoint in Unix milliseconds, if it is known
 * @returns what messages say of it
 */
export function toMessage(bornAt: number | undefined): bigint {
  return BigInt(bornAt ?? 0);
}

/**
 * @param startedAtMs - start of an endpoint as a message says it
 * @returns the start in Unix milliseconds, if it is known
 */
export function fromMessage(startedAtMs: bigint): number | undefined {
  return startedAtMs === 0n ? undefined : Number(startedAtMs);
}

/**
 * A peer that hasn't heard of a start yet goes on speaking of the life before. An
 * engine that has just come would get no work for an order that it knows nothing
 * of, and prompts for parts that it doesn't have. Peers of an older form tell no
 * life, and are believed as before.
 *
 * @param view - what is believed here
 * @param id - the endpoint
 * @param toldBornAt - start of the life that a peer speaks of, if it says it
 * @returns whether that is another life than the one believed in
 */
export function isOfAnotherLife(view: fleetViews.FleetView, id: string, toldBornAt: number | undefined): boolean {
  const bornAt = view.directory.bornAtOf(id);
  return toldBornAt !== undefined && bornAt !== undefined && toldBornAt !== bornAt;
}
