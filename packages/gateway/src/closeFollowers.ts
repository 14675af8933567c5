import * as serving from "@camphorcourse/serving";

/** Daemons that follow the key-value service closely for all others; two of them may be lost or cut off. */
const CLOSE_FOLLOWERS = 3;

/** Daemons from which sharing pays; fewer read for themselves. */
const SHARED_FROM = 6;

/** A daemon that could follow closely. */
export interface Follower {
  readonly vm: string;
  readonly dataCentre: string;
  /** Processor capacity of its VM, in cores. */
  readonly capacity: number;
  /** Whether it lives, serves and is answered by the key-value service, as far as is known here. */
  readonly able: boolean;
  /** Whether it takes callers. */
  readonly active: boolean;
}

/**
 * Decides who follows the key-value service closely; the others are told by
 * these. The load it answers: each call to the service costs, and endpoints'
 * heartbeats end every watch at once, so that calls grow with the number of
 * daemons though all read the same. A few daemons read for the fleet, in
 * different data centres if they can: those that take callers hear each other,
 * and tell those that stand by.
 *
 * Each daemon decides by itself, from what it hears. Where views differ for a
 * moment, more than enough follow closely.
 *
 * @param own - this daemon's VM
 * @param followers - all daemons that are known, this one included
 * @returns whether this daemon follows closely
 */
export function followsClosely(own: string, followers: readonly Follower[]): boolean {
  const able = followers.filter((follower) => follower.able);
  if (able.length < SHARED_FROM) return true;
  // Those that stand by are heard by few, and are the first to be short of processor time.
  const active = able.filter((follower) => follower.active);
  const ranked = serving.rankByCapacity(active.length > 0 ? active : able);
  return spreadOut(ranked)
    .slice(0, CLOSE_FOLLOWERS)
    .some(({ vm }) => vm === own);
}

/** The first of each data centre first, then the others. */
function spreadOut(ranked: readonly Follower[]): Follower[] {
  const seen = new Set<string>();
  const isFirst = ranked.map(({ dataCentre }) => !seen.has(dataCentre) && seen.add(dataCentre).size > 0);
  return [...ranked.filter((_, index) => isFirst[index]), ...ranked.filter((_, index) => !isFirst[index])];
}

/** A peer that may tell what it reads. */
export interface Reader {
  readonly dataCentre: string;
  readonly active: boolean;
  readonly followsClosely: boolean;
  /** Milliseconds for which the key-value service has not answered it. */
  readonly storeSilentMs: number;
}

/** Silence of the key-value service from which what a daemon tells may be old, in milliseconds: a watch and its pause. */
const READER_SILENT_MS = 1_000;

/**
 * @param own - a daemon
 * @param active - whether it takes callers
 * @param live - the daemons that it hears
 * @returns whether some of these tell it what is in the key-value service: those that read it closely, and to one that
 *   stands by those of its data centre that take callers
 */
export function isTold(own: { readonly dataCentre: string }, active: boolean, live: readonly Reader[]): boolean {
  return live
    .filter((peer) => peer.storeSilentMs <= READER_SILENT_MS)
    .some((peer) => (active ? peer.followsClosely : peer.active && peer.dataCentre === own.dataCentre));
}
