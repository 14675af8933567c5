import type * as neverthrow from "neverthrow";
import * as serving from "@camphorcourse/serving";
import type * as contexts from "../context.js";
import type * as decisionLogs from "../decisionLog.js";
import type * as servedRequests from "../servedRequest.js";

/** A decided admission, and what it was based on besides size and predicted time. */
export interface DecidedAdmission {
  readonly admitted: neverthrow.Result<serving.EnginePlan, serving.Rejection>;
  readonly fields: decisionLogs.LogFields;
}

/**
 * @param served - a call of a plain service
 * @param standing - how it stands among the others; undefined where neither ranks nor shares decide
 * @returns what its order is based on, for the log
 */
export function callFields(
  served: servedRequests.ServedRequest,
  standing: serving.Standing | undefined,
): decisionLogs.LogFields {
  if (standing === undefined) return {};
  return {
    organisation: served.access.organisation?.name,
    rank: standing.rank,
    share: standing.share.ofFairShare.toFixed(2),
    isShortage: standing.share.isShortage,
    balance: standing.balance,
  };
}

/**
 * Accepts or rejects a placed prompt: by rank, share and size where the configuration's organisations call for it,
 * otherwise by size alone. The outcome is counted.
 *
 * @param context - dependencies shared by all requests
 * @param served - the request
 * @param plan - where it is to be prefilled
 * @param placement - what the plan was computed from
 * @param limits - what else the admission depends on
 * @returns the decision
 */
export function decideAdmission(
  context: contexts.ServingContext,
  served: servedRequests.ServedRequest,
  plan: serving.EnginePlan,
  placement: serving.PlacementInputs,
  limits: serving.PromptLimits,
): DecidedAdmission {
  const { acceptance, fairness } = context;
  const { now, prompt } = placement;
  const standing = fairness.standingOf(served, now);
  if (standing === undefined) {
    const admitted = serving.admitPrompt(plan, placement, limits, acceptance);
    const isAccepted = admitted.isOk();
    fairness.noteDecision(served, plan, { isAccepted, isShort: !isAccepted, isPromoted: false }, now);
    return { admitted, fields: {} };
  }
  const { admitted, isShort, isPromoted } = serving.admitByShare(plan, placement, limits, standing, acceptance);
  const isAccepted = admitted.isOk();
  acceptance.noteDecision(limits.kind, prompt.promptTokens, isAccepted, now);
  fairness.noteDecision(served, plan, { isAccepted, isShort, isPromoted }, now);
  const fields = {
    organisation: served.access.organisation?.name,
    rank: standing.rank,
    share: standing.share.ofFairShare.toFixed(2),
    isShortage: standing.share.isShortage,
    balance: standing.balance,
    rejections: standing.rejections,
    isPromoted,
  };
  return { admitted, fields };
}
