import * as neverthrow from "neverthrow";
import type * as acceptanceTrackers from "./acceptanceTracker.js";
import * as admissions from "./admission.js";
import * as placements from "./placement.js";

/** What the admission of a request depends on besides the placement of its prompt. */
export interface PromptLimits extends Omit<admissions.AdmissionInputs, "predictedMs" | "unloadedMs"> {
  /** Name of its kind. */
  readonly kind: string;
}

/**
 * Accepts or rejects a prompt that has been placed. A prompt that would be rejected, and whose size is accepted much
 * less often than its kind, gets just the urgency that it needs to start in time. Otherwise a shortage would hit the
 * largest prompts alone, and all of their callers would be rejected.
 *
 * @param plan - where it is to be prefilled
 * @param placement - what the plan was computed from
 * @param limits - what else the admission depends on
 * @param acceptance - acceptance rates of each size; the outcome for this prompt is recorded there
 * @returns the plan with its final urgency, or the rejection
 */
export function admitPrompt(
  plan: placements.EnginePlan,
  placement: placements.PlacementInputs,
  limits: PromptLimits,
  acceptance: acceptanceTrackers.AcceptanceTracker,
): neverthrow.Result<placements.EnginePlan, admissions.Rejection> {
  const { now, prompt } = placement;
  const admitted = checkOrPromote(plan, placement, limits, acceptance);
  acceptance.noteDecision(limits.kind, prompt.promptTokens, admitted.isOk(), now);
  return admitted;
}

function checkOrPromote(
  plan: placements.EnginePlan,
  placement: placements.PlacementInputs,
  limits: PromptLimits,
  acceptance: acceptanceTrackers.AcceptanceTracker,
): neverthrow.Result<placements.EnginePlan, admissions.Rejection> {
  const rejection = checkPlan(plan, limits);
  if (rejection === undefined) return neverthrow.ok(plan);
  if (!acceptance.isUnderserved(limits.kind, placement.prompt.promptTokens, placement.now))
    return neverthrow.err(rejection);
  const promoted = promote(plan, placement, limits);
  return promoted === undefined ? neverthrow.err(rejection) : neverthrow.ok(promoted);
}

/**
 * Raises the urgency by as few levels as needed: each further level lets it overtake prompts half as long.
 *
 * @param plan - a plan that would be rejected
 * @param placement - what it was computed from
 * @param limits - what else the admission depends on
 * @returns the plan that is accepted, or undefined if there is none
 */
export function promote(
  plan: placements.EnginePlan,
  placement: placements.PlacementInputs,
  limits: PromptLimits,
): placements.EnginePlan | undefined {
  for (let urgency = plan.urgency - 1; urgency >= 0; urgency--) {
    const promoted = placements.withUrgency(plan, placement, urgency);
    if (checkPlan(promoted, limits) === undefined) return promoted;
  }
  return undefined;
}

/**
 * @param plan - where a prompt is to be prefilled
 * @param limits - what else the admission depends on
 * @returns the rejection, or undefined if it is accepted as it is
 */
export function checkPlan(plan: placements.EnginePlan, limits: PromptLimits): admissions.Rejection | undefined {
  return admissions.checkAdmission({ ...limits, predictedMs: plan.predictedMs, unloadedMs: plan.unloadedMs });
}
