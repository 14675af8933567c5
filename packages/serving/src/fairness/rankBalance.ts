import type * as acceptanceTrackers from "../acceptanceTracker.js";

/**
 * Lead that the acceptance rate of a rank has to have over those of less urgent ranks. Longer prompts are late more often
 * after they were accepted, which the counts don't show: in a replay with ranks one level apart, a first rank of prompts
 * three times as long was served less often by 0.04 and 0.07 with equal rates, with this lead by 0.02. Users accept 0.05.
 */
const NEEDED_LEAD = 0.03;

/** Part of all accepted requests that the lowest rank gets, if it asks for that many. */
const LOWEST_RANK_FLOOR = 0.1;

/** How the requests of a rank are served, compared with the other ranks of the service. */
export enum RankBalance {
  /** As its order says. */
  Even = "even",
  /** Less often than a less urgent rank, or, for the lowest rank, below its floor. */
  Behind = "behind",
  /** More often than a more urgent rank. */
  Ahead = "ahead",
}

/**
 * @param service - name of a service
 * @param rank - a rank of its requests
 * @returns name under which its requests are counted beside those of the routes; no route can have it
 */
export function rankKind(service: string, rank: number): string {
  return `${service}\u001f${rank}`;
}

/** Length under which all requests of a rank are counted: there is no need to tell their sizes apart. */
export const RANK_TOKENS = 1;

/**
 * Compares how often the ranks of a service are accepted. Order alone doesn't ensure that a more urgent rank is served at
 * least as often: its prompts may be much longer than those of the flood that causes the shortage.
 *
 * @param service - name of the service
 * @param ranks - its ranks, the first first
 * @param rank - the rank of a request
 * @param acceptance - counts of the ranks, of all daemons
 * @param now - current instant in milliseconds
 * @returns how that rank is served
 */
export function rankBalance(
  service: string,
  ranks: readonly number[],
  rank: number,
  acceptance: acceptanceTrackers.AcceptanceTracker,
  now: number,
): RankBalance {
  if (ranks.length < 2) return RankBalance.Even;
  const counts = ranks.map((each) => ({
    rank: each,
    ...acceptance.countsOf(rankKind(service, each), RANK_TOKENS, now),
  }));
  const own = counts.find((each) => each.rank === rank);
  if (own === undefined || own.offeredOfKind === 0) return RankBalance.Even;
  const taken = counts.reduce((sum, each) => sum + each.takenOfKind, 0);
  const ownRate = own.takenOfKind / own.offeredOfKind;
  const isLowest = rank === ranks.at(-1);
  if (isLowest && own.takenOfKind < taken * LOWEST_RANK_FLOOR)
    return ownRate < 1 ? RankBalance.Behind : RankBalance.Even;
  const rateOf = (each: acceptanceTrackers.AcceptanceCounts): number =>
    // A few requests say little of a rank, which is therefore drawn towards the rate that it is compared with.
    (each.takenOfKind + PRIOR_REQUESTS * ownRate) / (each.offeredOfKind + PRIOR_REQUESTS);
  const isRejected = (each: acceptanceTrackers.AcceptanceCounts): boolean => each.takenOfKind < each.offeredOfKind;
  const lacksLead = counts.some((each) => each.rank > rank && rateOf(each) > ownRate - NEEDED_LEAD);
  if (lacksLead && isRejected(own)) return RankBalance.Behind;
  const isAhead = counts.some((each) => each.rank < rank && isRejected(each) && rateOf(each) < ownRate + NEEDED_LEAD);
  if (isAhead) return RankBalance.Ahead;
  return RankBalance.Even;
}

/** Weight of the compared rate, in requests. */
const PRIOR_REQUESTS = 5;
