import * as neverthrow from "neverthrow";
import type * as acceptanceTrackers from "../acceptanceTracker.js";
import * as admissions from "../admission.js";
import * as placements from "../placement.js";
import * as promptAdmissions from "../promptAdmission.js";
import * as urgencies from "../urgency.js";
import * as engineTimeShares from "./engineTimeShares.js";
import * as rankBalances from "./rankBalance.js";
import * as rankOrders from "./rankOrder.js";
import * as sessionMemories from "./sessionMemory.js";

/**
 * Maximum predicted time in a shortage, as a part of the caller's timeout. An organisation below its share gets room up
 * to where its answer would come late, one far above its share leaves room for the others.
 */
const PARTS = { below: 0.75, above: 0.35, wholeTimeout: 1 };

/** How a request stands among the others. */
export interface Standing {
  readonly rank: number;
  /** Levels of urgency by which its rank sets it back. */
  readonly rankShift: number;
  readonly balance: rankBalances.RankBalance;
  /** Share of its organisation; a request without one counts as exactly at the fair share. */
  readonly share: engineTimeShares.OrganisationShare;
  /** Rejections of its session that are remembered. */
  readonly rejections: number;
  /** Whether sessions may be accepted first. */
  readonly mayBePromoted: boolean;
}

/** Outcome of an admission by share. */
export interface FairDecision {
  readonly admitted: neverthrow.Result<placements.EnginePlan, admissions.Rejection>;
  /** Whether the engines have no room for the prompt by the usual rule. */
  readonly isShort: boolean;
  /** Whether it was accepted first, as its session was rejected before. */
  readonly isPromoted: boolean;
}

/**
 * Accepts or rejects a prompt by rank, share and size. Without a shortage everything is accepted that is by size alone:
 * rank and share then only decide the order.
 *
 * @param plan - where it is to be prefilled, with the urgency by its size
 * @param placement - what the plan was computed from
 * @param limits - what else the admission depends on
 * @param standing - how the request stands among the others
 * @param acceptance - acceptance rates of each size; the caller records the outcome
 * @returns the plan with its final urgency or the rejection, and why
 */
export function admitByShare(
  plan: placements.EnginePlan,
  placement: placements.PlacementInputs,
  limits: promptAdmissions.PromptLimits,
  standing: Standing,
  acceptance: acceptanceTrackers.AcceptanceTracker,
): FairDecision {
  const { share, balance, rejections } = standing;
  const isShort = promptAdmissions.checkPlan(plan, limits) !== undefined;
  const { isShortage, ofFairShare } = share;
  const isFarOverShare = isShortage && ofFairShare > engineTimeShares.OVER_SHARE;
  const isHeldBack = isFarOverShare || (isShortage && balance === rankBalances.RankBalance.Ahead);
  const isOverShare = isShortage && ofFairShare > 1;
  const order = { rankShift: standing.rankShift, isOverShare, rejections };
  const ordered = placements.withUrgency(plan, placement, rankOrders.orderedUrgency(plan.urgency, order));
  // An organisation far above its share would undo the shares with the retries of its rejected requests.
  if (rejections >= sessionMemories.MAX_REJECTIONS && standing.mayBePromoted && !isFarOverShare) {
    const first = placements.withUrgency(plan, placement, urgencies.MOST_URGENT);
    const rejection = promptAdmissions.checkPlan(first, { ...limits, usualPart: PARTS.wholeTimeout });
    if (rejection === undefined) return { admitted: neverthrow.ok(first), isShort, isPromoted: true };
  }
  const usualPart = isHeldBack ? PARTS.above : isBelow(standing) ? PARTS.below : undefined;
  const parts = { ...limits, ...(usualPart === undefined ? {} : { usualPart }) };
  const rejection = promptAdmissions.checkPlan(ordered, parts);
  const accept = (accepted: placements.EnginePlan): FairDecision => ({
    admitted: neverthrow.ok(accepted),
    isShort,
    isPromoted: false,
  });
  if (rejection === undefined) return accept(ordered);
  if (!isShortage && !isShort) return accept(plan);
  const isOwed = balance === rankBalances.RankBalance.Behind;
  const { kind } = limits;
  if (!isHeldBack && (isOwed || acceptance.isUnderserved(kind, placement.prompt.promptTokens, placement.now))) {
    const promoted = promptAdmissions.promote(ordered, placement, parts);
    if (promoted !== undefined) return accept(promoted);
  }
  return { admitted: neverthrow.err(rejection), isShort, isPromoted: false };
}

function isBelow({ balance, share }: Standing): boolean {
  if (!share.isShortage) return false;
  // Without an organisation far above its share, most would be below, and all of their answers would be later.
  return balance === rankBalances.RankBalance.Behind || (share.isUneven && share.ofFairShare < 1);
}
