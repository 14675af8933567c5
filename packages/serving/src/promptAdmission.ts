import * as neverthrow from "neverthrow";
import * as admissions from "./admission.js";
import * as placements from "./placement.js";
import type * as sizeShares from "./acceptanceTracker.js";

/** What is known of the request whose prompt is to be read. */
export interface PromptLimits extends Omit<admissions.AdmissionInputs, "predictedMs" | "unloadedMs"> {
  /** Name of its kind. */
  readonly kind: string;
}

/**
 * Decides on a prompt that has its place. One that would be turned away, of a size that is turned away much more often
 * than its kind, is moved up in its engine's queue as far as it takes to be read in time. Without that the largest
 * prompts alone pay for a shortage, and their callers see nothing but rejections.
 *
 * @param plan - where it is to be read
 * @param placement - what that rests on
 * @param limits - what is known of the request
 * @param shares - how often each size is taken; what becomes of this prompt is noted
 * @returns the plan, with its level, or the rejection
 */
export function admitPrompt(
  plan: placements.EnginePlan,
  placement: placements.PlacementInputs,
  limits: PromptLimits,
  shares: sizeShares.AcceptanceTracker,
): neverthrow.Result<placements.EnginePlan, admissions.Rejection> {
  const { kind } = limits;
  const { now, prompt } = placement;
  // A caller that comes back was counted when it came first.
  if (!admissions.hasComeBack(limits)) shares.noteOffered(kind, prompt.promptTokens, now);
  const admitted = judgeOrMoveUp(plan, placement, limits, shares);
  if (admitted.isOk()) shares.noteTaken(kind, prompt.promptTokens, now);
  return admitted;
}

function judgeOrMoveUp(
  plan: placements.EnginePlan,
  placement: placements.PlacementInputs,
  limits: PromptLimits,
  shares: sizeShares.AcceptanceTracker,
): neverthrow.Result<placements.EnginePlan, admissions.Rejection> {
  const rejection = judge(plan, limits);
  if (rejection === undefined) return neverthrow.ok(plan);
  if (!shares.isBehind(limits.kind, placement.prompt.promptTokens, placement.now)) return neverthrow.err(rejection);
  const moved = movedUp(plan, placement, limits);
  return moved === undefined ? neverthrow.err(rejection) : neverthrow.ok(moved);
}

/** As few levels as it takes: each one lets it pass prompts half as long. */
function movedUp(
  plan: placements.EnginePlan,
  placement: placements.PlacementInputs,
  limits: PromptLimits,
): placements.EnginePlan | undefined {
  for (let level = plan.urgency - 1; level >= 0; level--) {
    const moved = placements.withUrgency(plan, placement, level);
    if (judge(moved, limits) === undefined) return moved;
  }
  return undefined;
}

function judge(plan: placements.EnginePlan, limits: PromptLimits): admissions.Rejection | undefined {
  return admissions.judgeAdmission({ ...limits, predictedMs: plan.predictedMs, unloadedMs: plan.unloadedMs });
}
