import * as serving from "@camphorcourse/serving";

/** Daemons of a group that follow the key-value service closely; a second one covers the loss of the first. */
const CLOSE_FOLLOWERS = 2;

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
 * daemons though all read the same. Two daemons of a data centre read for it;
 * data centres of a few daemons read together, as all of them speak with each other.
 *
 * Each daemon decides by itself, from what it hears. Where views differ for a
 * moment, more than enough follow closely.
 *
 * @param own - this daemon's VM
 * @param followers - all daemons that are known, this one included
 * @returns whether this daemon follows closely
 */
export function followsClosely(own: string, followers: readonly Follower[]): boolean {
  const self = followers.find((follower) => follower.vm === own);
  if (self === undefined) return true;
  const able = followers.filter((follower) => follower.able);
  const isLarge = (dataCentre: string): boolean =>
    able.filter((follower) => follower.dataCentre === dataCentre).length >= SHARED_FROM;
  const group = isLarge(self.dataCentre)
    ? able.filter((follower) => follower.dataCentre === self.dataCentre)
    : able.filter((follower) => !isLarge(follower.dataCentre));
  if (group.length < SHARED_FROM) return true;
  // Those that stand by are heard by few, and are the first to be short of processor time.
  const active = group.filter((follower) => follower.active);
  const ranked = serving.rankByCapacity(active.length > 0 ? active : group);
  return ranked.slice(0, CLOSE_FOLLOWERS).some((follower) => follower.vm === own);
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
 * @returns whether some of these read the key-value service for it; one that stands by counts on its data centre alone
 */
export function isTold(own: { readonly dataCentre: string }, active: boolean, live: readonly Reader[]): boolean {
  return live
    .filter((peer) => peer.followsClosely && peer.storeSilentMs <= READER_SILENT_MS)
    .some((peer) => active || (peer.active && peer.dataCentre === own.dataCentre));
}
