import type * as pacedPlacements from "../pacing/pacedPlacement.js";
import * as placements from "../placement.js";
import * as urgencies from "../urgency.js";
import * as overflows from "./overflow.js";

/**
 * Overflow of paced prompts from one region to another.
 *
 * Load pattern: waves of demand out of phase between regions, beside streams with tight pauses. Pacing moves the prefills
 * of the region in its wave to its few prefill engines. The prompts that wait there are overtaken by more urgent ones
 * that arrive later, so that the predicted time of a prompt, which covers those sent before it, says too little of the
 * region's load.
 */

/**
 * Weight of the time that an engine needs for more urgent prompts. A prompt waits for those that are there, and in that time
 * more of them arrive: where the excess left with a weight of 0, prompts of over 4,096 unread tokens waited for up to 2 s.
 */
const MORE_URGENT_WEIGHT = 8;

/**
 * Weight of the time by which the prompt's own prefill is longer in the other region, which doesn't cache its shared parts:
 * it takes that time from the prompts of that region.
 */
const LONGER_PREFILL_WEIGHT = 4;

/** Share of the objective below which the wait in the other region leaves room for prompts of this one. */
const ROOM_SHARE = 0.25;

/**
 * Gain beyond the margin, in objectives, at which all prompts leave for a region that has room. Views of it are up to half
 * a second old; where it has no room the excess moves on slowly, as it would come back.
 */
const FULL_SHARE_GAIN = 0.1;

/** Unread tokens of prompts that longer ones of up to twice that length don't have to let pass. */
const ARRIVAL_ORDER_TOKENS = 4_096;

/**
 * Makes a paced prompt of over 4,096 unread tokens more urgent by a level, so that those half as long don't overtake it, as
 * long as all prompts at the engine are in time in their order of arrival. Beside tight pauses the few prefill engines of a
 * region in its wave always have some prompts waiting; with the order by size alone, longer ones were overtaken for 1.5 s.
 * In a shortage the shorter ones go first, so that most are in time.
 *
 * @param inputs - what the plan was computed from
 * @param placed - the plan
 * @returns the plan with the urgency that it gets beside pacing
 */
export function withPacedUrgency(
  inputs: placements.PlacementInputs,
  placed: pacedPlacements.PacedPlan,
): pacedPlacements.PacedPlan {
  const { plan } = placed;
  const isLonger = plan.urgency > urgencies.urgencyOf(ARRIVAL_ORDER_TOKENS);
  if (inputs.pacing === undefined || !isLonger) return placed;
  if (plan.unloadedMs + waitingMs(inputs, plan) >= inputs.objectiveMs) return placed;
  return { ...placed, plan: placements.withUrgency(plan, inputs, plan.urgency - 1) };
}

/**
 * @param inputs - what the plan was computed from
 * @param placed - the plan for a region
 * @returns time by which regions are compared, in milliseconds: the predicted one, and for a paced prompt all of the work
 *   at the engine that prefills it
 */
export function comparedMs(inputs: placements.PlacementInputs, placed: pacedPlacements.PacedPlan): number {
  const { loads, now, pacing, slowness, speeds } = inputs;
  const { plan } = placed;
  if (pacing === undefined) return plan.predictedMs;
  const engine = plan.prefillEngine ?? plan.decodeEngine;
  const overtakenTokens = plan.tokensWaiting - plan.tokensAhead;
  const urgentTokens = loads.tokensAhead(engine.id, plan.urgency - 1, now);
  const tokens = overtakenTokens + MORE_URGENT_WEIGHT * urgentTokens;
  const workMs = plan.predictedMs + speeds.prefillMs(engine.role, tokens) * slowness(engine.id);
  return Math.max(placed.withinBudgetMs ?? 0, workMs);
}

/**
 * @param inputs - what the plans were computed from
 * @param own - the plan for the caller's region
 * @param other - the plan for another region
 * @returns time by which the other region is compared with the caller's, in milliseconds
 */
export function otherRegionMs(
  inputs: placements.PlacementInputs,
  own: pacedPlacements.PacedPlan | undefined,
  other: pacedPlacements.PacedPlan,
): number {
  const { pacing, speeds } = inputs;
  const otherMs = comparedMs(inputs, other);
  if (pacing === undefined || own === undefined) return otherMs;
  const engine = other.plan.prefillEngine ?? other.plan.decodeEngine;
  const longerTokens = Math.max(0, other.plan.workTokens - own.plan.workTokens);
  return otherMs + LONGER_PREFILL_WEIGHT * speeds.prefillMs(engine.role, longerTokens);
}

/**
 * @param inputs - what the plans were computed from
 * @param own - the plan for the caller's region
 * @param other - the plan for another region
 * @returns the share of the prompts that go to the other region, from 0 to 1
 */
export function overflowShare(
  inputs: placements.PlacementInputs,
  own: pacedPlacements.PacedPlan,
  other: pacedPlacements.PacedPlan,
): number {
  const { objectiveMs, pacing } = inputs;
  const ownMs = comparedMs(inputs, own);
  const otherMs = otherRegionMs(inputs, own, other);
  const fullShareGain = pacing !== undefined && hasRoom(inputs, other) ? FULL_SHARE_GAIN : 1;
  return overflows.promptOverflowShare(ownMs, otherMs, objectiveMs, fullShareGain);
}

function hasRoom(inputs: placements.PlacementInputs, { plan }: pacedPlacements.PacedPlan): boolean {
  return waitingMs(inputs, plan) < ROOM_SHARE * inputs.objectiveMs;
}

/** Time for all prompts at the engine that prefills, in milliseconds. */
function waitingMs({ slowness, speeds }: placements.PlacementInputs, plan: placements.EnginePlan): number {
  const engine = plan.prefillEngine ?? plan.decodeEngine;
  return speeds.prefillMs(engine.role, plan.tokensWaiting) * slowness(engine.id);
}
