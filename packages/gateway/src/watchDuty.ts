import * as common from "@camphorcourse/common";

/** Daemons of each data centre that follow the key-value service closely; a second one covers the loss of the first. */
const CLOSE_FOLLOWERS = 2;

/** Able daemons of a data centre from which sharing pays; with fewer, each reads for itself. */
const SHARED_FROM = 6;

/** A daemon that could follow closely. */
export interface Follower {
  readonly vm: string;
  readonly dataCentre: string;
  /** Whether it lives, serves and is answered by the key-value service, as far as is known here. */
  readonly able: boolean;
}

/**
 * Decides who follows the key-value service closely; the others read it seldom
 * and are told by these. The load it answers: each call to the service costs,
 * and endpoints' heartbeats end every watch at once, so that calls grow with the
 * number of daemons though all read the same.
 *
 * Each daemon decides by itself, from what it hears. Where views differ for a
 * moment, more than enough follow closely, or the reading that all do now and
 * then fills the gap.
 *
 * @param own - this daemon's VM
 * @param followers - all daemons that are known, this one included
 * @returns whether this daemon follows closely
 */
export function followsClosely(own: string, followers: readonly Follower[]): boolean {
  const self = followers.find((follower) => follower.vm === own);
  if (self === undefined) return true;
  const near = followers.filter((follower) => follower.dataCentre === self.dataCentre && follower.able);
  const order = common.rendezvousOrder(
    `follow-${self.dataCentre}`,
    near.map((follower) => follower.vm),
  );
  if (order.length < SHARED_FROM) return true;
  return order.slice(0, CLOSE_FOLLOWERS).includes(own);
}
