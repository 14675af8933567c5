import * as directories from "../endpointDirectory.js";
import * as placements from "../placement.js";

/** A plan, and whether pacing has changed it. */
export interface PacedPlan {
  readonly plan: placements.EnginePlan;
  /** The decode engine that would have prefilled the prompt but has no budget for it, if there is one. */
  readonly pacedFrom: directories.Endpoint | undefined;
  /**
   * Set if the decode engine prefills the prompt although its budget doesn't cover that: predicted time of the best plan
   * within the budgets, which misses the objective, in milliseconds; the objective if there is no such plan.
   */
  readonly withinBudgetMs?: number;
}

/** The decode engine chosen for a prompt that another engine has prefilled. */
export interface PacedDecodeEngine {
  readonly engine: directories.Endpoint;
  /** The engine that would have been chosen but is slow or has used up its budget, if there is one. */
  readonly pacedFrom: directories.Endpoint | undefined;
}

/**
 * Places a prompt whose prefill must not make the streams at its decode engine pause for too long: on a decode engine
 * only if the engine's budget covers the prefill, otherwise on a prefill engine or a decode engine whose budget does.
 * Where neither brings its first event within its objective, it is placed by predicted time alone: it would be late for
 * certain, and the streams beside it might not be.
 *
 * @param inputs - the prompt, the engines and what is known of them; without pacing, only predicted times decide
 * @returns the best plan, or undefined if no engine can generate tokens
 */
export function placePaced(inputs: placements.PlacementInputs): PacedPlan | undefined {
  const { pacing } = inputs;
  const plan = placements.placePrompt(inputs);
  if (plan === undefined) return undefined;
  if (pacing === undefined || plan.prefillEngine !== undefined || pacing.covers(plan.decodeEngine, plan.workTokens))
    return { plan, pacedFrom: undefined };
  const paced = placements.placePrompt(inputs, (engine, workTokens) => pacing.covers(engine, workTokens));
  const withinBudgetMs = paced?.predictedMs ?? inputs.objectiveMs;
  if (paced === undefined || withinBudgetMs > inputs.objectiveMs) return { plan, pacedFrom: undefined, withinBudgetMs };
  return { plan: paced, pacedFrom: plan.decodeEngine };
}

/**
 * Chooses the decode engine of a prompt that another engine has prefilled, among those with a free slot that aren't slow
 * and have a budget, or just aren't slow, if there are any.
 *
 * @param inputs - the prompt, the engines and what is known of them; without pacing, all engines are candidates
 * @param prefillEngine - the engine that has prefilled the prompt, if it is known
 * @returns the engine, or undefined if none can generate tokens
 */
export function choosePacedDecodeEngine(
  inputs: placements.PlacementInputs,
  prefillEngine: directories.Endpoint | undefined,
): PacedDecodeEngine | undefined {
  const { pacing, loads, now } = inputs;
  const usual = placements.chooseDecodeEngine(inputs, prefillEngine);
  if (usual === undefined) return undefined;
  if (pacing === undefined || pacing.hasBudget(usual)) return { engine: usual, pacedFrom: undefined };
  // A stream that waits for a slot would pause for longer than one at a slow engine.
  const free = inputs.engines.filter(
    ({ id, role, slots }) => role !== directories.EngineRole.Prefill && loads.runningRequests(id, now) < slots,
  );
  const unspent = free.filter((engine) => pacing.hasBudget(engine));
  const engines = unspent.length > 0 ? unspent : free.filter((engine) => !pacing.isSlow(engine));
  const engine = placements.chooseDecodeEngine({ ...inputs, engines }, prefillEngine);
  if (engine?.id === usual.id) return { engine: usual, pacedFrom: undefined };
  return engine === undefined ? { engine: usual, pacedFrom: undefined } : { engine, pacedFrom: usual };
}
