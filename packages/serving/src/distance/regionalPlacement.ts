import type * as directories from "../endpointDirectory.js";
import * as pacedPlacements from "../pacing/pacedPlacement.js";
import type * as placements from "../placement.js";
import type * as distanceModels from "./distanceModel.js";
import * as overflows from "./overflow.js";
import * as pacedOverflows from "./pacedOverflow.js";

/**
 * Places a prompt on the engines of the caller's region, or on those of another region if that gains enough. Both engines
 * of a plan are in one region, as a transfer between regions takes ten times as long, and the preferred engine of shared
 * parts is chosen among the engines of the region, so that each region has its own.
 *
 * @param inputs - the prompt, the engines of all regions and what is known of them
 * @param draw - a uniform random number in [0, 1), which decides whether this prompt belongs to the share that overflows
 * @returns the best plan, or undefined if no engine can generate tokens
 */
export function placePacedByRegion(
  inputs: placements.PlacementInputs,
  draw: number,
): pacedPlacements.PacedPlan | undefined {
  const { distances } = inputs;
  if (distances === undefined) return pacedPlacements.placePaced(inputs);
  const placed = placeInRegion(inputs, distances, draw);
  return placed && pacedOverflows.withPacedUrgency(inputs, placed);
}

function placeInRegion(
  inputs: placements.PlacementInputs,
  distances: distanceModels.DistanceModel,
  draw: number,
): pacedPlacements.PacedPlan | undefined {
  const regions = enginesByRegion(distances, inputs.engines);
  const local = regions.get(distances.region);
  regions.delete(distances.region);
  const own = local === undefined ? undefined : pacedPlacements.placePaced({ ...inputs, engines: local });
  if (own !== undefined && !mayOverflow(inputs, own)) return own;
  // The engines of a silent region look idle, as its daemons don't report their work.
  const heard = [...regions].filter(([region]) => !distances.isSilent(region));
  const plans = (heard.length > 0 || own !== undefined ? heard : [...regions]).map(([, engines]) =>
    pacedPlacements.placePaced({ ...inputs, engines }),
  );
  // Another region is no better if it has no budget for the prompt either.
  const other = fastest(
    own === undefined ? plans : plans.filter((plan) => plan?.withinBudgetMs === undefined),
    (plan) => pacedOverflows.otherRegionMs(inputs, own, plan),
  );
  // A region with engines of one role only gets its decode engine from another one.
  if (own === undefined) return other ?? pacedPlacements.placePaced(inputs);
  if (other === undefined) return own;
  const share = pacedOverflows.overflowShare(inputs, own, other);
  return draw < share ? other : own;
}

/**
 * @param inputs - the prompt, the engines of all regions and what is known of them
 * @param draw - a uniform random number in [0, 1)
 * @returns the plan of {@link placePacedByRegion}
 */
export function placePromptByRegion(
  inputs: placements.PlacementInputs,
  draw: number,
): placements.EnginePlan | undefined {
  return placePacedByRegion(inputs, draw)?.plan;
}

/** Whether another region could be faster by more than the margin, so that it is worth computing. */
function mayOverflow(inputs: placements.PlacementInputs, own: pacedPlacements.PacedPlan): boolean {
  return pacedOverflows.comparedMs(inputs, own) > overflows.OVERFLOW_MARGIN_SHARE * inputs.objectiveMs;
}

function fastest(
  plans: readonly (pacedPlacements.PacedPlan | undefined)[],
  timeOf: (plan: pacedPlacements.PacedPlan) => number,
): pacedPlacements.PacedPlan | undefined {
  let chosen: pacedPlacements.PacedPlan | undefined;
  for (const plan of plans)
    if (plan !== undefined && (chosen === undefined || timeOf(plan) < timeOf(chosen))) chosen = plan;
  return chosen;
}

function enginesByRegion(
  distances: distanceModels.DistanceModel,
  engines: readonly directories.Endpoint[],
): Map<string, directories.Endpoint[]> {
  const regions = new Map<string, directories.Endpoint[]>();
  for (const engine of engines) {
    const region = distances.regionOf(engine.dataCentre);
    const inRegion = regions.get(region);
    if (inRegion === undefined) regions.set(region, [engine]);
    else inRegion.push(engine);
  }
  return regions;
}
