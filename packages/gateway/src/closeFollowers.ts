import * as serving from "@camphorcourse/serving";

/** Daemons that follow the key-value service closely for all others; two of them may be lost or cut off. */
const CLOSE_FOLLOWERS = 3;

/** Number of daemons from which reading for others pays off; in a smaller fleet each daemon reads for itself. */
const MIN_DAEMONS_TO_SHARE = 6;

/** A daemon that could follow closely. */
export interface Follower {
  readonly vm: string;
  readonly dataCentre: string;
  /** Processor capacity of its VM, in cores. */
  readonly capacity: number;
  /** Whether it is alive, serving and answered by the key-value service, as far as is known here. */
  readonly eligible: boolean;
  /** Whether it takes callers. */
  readonly active: boolean;
}

/**
 * Decides which daemons follow the key-value service closely and update the others. Each call to the service has a
 * cost, and endpoints' heartbeats end every watch at once, so the number of calls would grow with the number of daemons
 * although all read the same. Instead a few daemons read for the fleet, in different data centres if possible: active
 * daemons receive each other's heartbeats, and update the standby daemons.
 *
 * Each daemon decides for itself from the heartbeats it receives. While their views differ, more daemons than necessary
 * follow closely.
 *
 * @param own - VM of this daemon
 * @param followers - all known daemons, this one included
 * @returns whether this daemon follows closely
 */
export function followsClosely(own: string, followers: readonly Follower[]): boolean {
  const eligible = followers.filter((follower) => follower.eligible);
  if (eligible.length < MIN_DAEMONS_TO_SHARE) return true;
  // Few other daemons receive heartbeats from standby daemons, which run short of processor time first.
  const active = eligible.filter((follower) => follower.active);
  const ranked = serving.rankByCapacity(active.length > 0 ? active : eligible);
  return spreadOverDataCentres(ranked)
    .slice(0, CLOSE_FOLLOWERS)
    .some(({ vm }) => vm === own);
}

/** The first daemon of each data centre, then the others. */
function spreadOverDataCentres(ranked: readonly Follower[]): Follower[] {
  const seen = new Set<string>();
  const isFirst = ranked.map(({ dataCentre }) => !seen.has(dataCentre) && seen.add(dataCentre).size > 0);
  return [...ranked.filter((_, index) => isFirst[index]), ...ranked.filter((_, index) => !isFirst[index])];
}

/** A peer that may send updates that it reads. */
export interface Reader {
  readonly dataCentre: string;
  readonly active: boolean;
  readonly followsClosely: boolean;
  /** Milliseconds for which the key-value service has not answered it. */
  readonly storeSilentMs: number;
}

/**
 * Time without an answer from the key-value service after which a peer's updates may be outdated, in milliseconds: a
 * watch and the delay after it.
 */
const MAX_READER_SILENT_MS = 1_000;

/**
 * Decides whether peers update a daemon from the key-value service. An active daemon is updated by close followers, a
 * standby daemon by the active daemons of its data centre.
 *
 * @param own - a daemon
 * @param active - whether it is active
 * @param live - the live peers it knows
 * @returns whether at least one of these peers updates it
 */
export function isUpdatedByPeers(
  own: { readonly dataCentre: string },
  active: boolean,
  live: readonly Reader[],
): boolean {
  return live
    .filter((peer) => peer.storeSilentMs <= MAX_READER_SILENT_MS)
    .some((peer) => (active ? peer.followsClosely : peer.active && peer.dataCentre === own.dataCentre));
}
