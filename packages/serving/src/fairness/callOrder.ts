import * as engineTimeShares from "./engineTimeShares.js";
import type * as fairAdmissions from "./fairAdmission.js";
import * as rankBalances from "./rankBalance.js";
import * as rankOrders from "./rankOrder.js";

/** Part of a standing that the order of a call depends on. */
export type CallStanding = Pick<fairAdmissions.Standing, "rankShift" | "balance" | "share">;

/** Place of a call by rank and share. */
export interface CallOrder {
  /** Levels by which it goes behind other calls; 0 goes first. */
  readonly level: number;
  /** Whether it leaves slots free for calls that go before it, of which other daemons may have some. */
  readonly isSetBack: boolean;
}

/** Order of calls where neither ranks nor shares decide. */
export const UNRANKED: CallOrder = { level: 0, isSetBack: false };

/**
 * Orders the calls of plain services by rank and share, in the terms of {@link rankOrders.RankOrder}: the lowest rank is set
 * back by two levels, an organisation above its fair share by one. A rank that is accepted less often than a less urgent
 * one, or the lowest rank below its floor, goes first; one that is accepted more often than a more urgent one goes further
 * back. Size doesn't count, as the work of a call isn't known before.
 *
 * Load pattern: a flood of calls of the lowest rank, one organisation at many times its share.
 *
 * @param standing - how the call stands among the others; undefined where neither ranks nor shares decide
 * @returns its place
 */
export function callOrder(standing: CallStanding | undefined): CallOrder {
  if (standing === undefined || standing.balance === rankBalances.RankBalance.Behind) return UNRANKED;
  const { balance, rankShift, share } = standing;
  const isOverShare = share.isShortage && share.ofFairShare > 1;
  const ordered = rankOrders.orderedUrgency(0, { rankShift, isOverShare, rejections: 0 });
  const isAhead = share.isShortage && balance === rankBalances.RankBalance.Ahead;
  const level = ordered + (isAhead ? 1 : 0);
  const isFarOverShare = share.isShortage && share.ofFairShare > engineTimeShares.OVER_SHARE;
  return { level, isSetBack: isAhead || isFarOverShare || (share.isShortage && rankShift > 0) };
}
