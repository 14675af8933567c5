import type * as directories from "../endpointDirectory.js";
import * as pacedPlacements from "../pacing/pacedPlacement.js";
import type * as placements from "../placement.js";
import type * as distanceModels from "./distanceModel.js";
import * as overflows from "./overflow.js";

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
  const regions = enginesByRegion(distances, inputs.engines);
  const local = regions.get(distances.region);
  regions.delete(distances.region);
  const own = local === undefined ? undefined : pacedPlacements.placePaced({ ...inputs, engines: local });
  if (own !== undefined && !mayOverflow(own.plan, inputs.objectiveMs)) return own;
  // The engines of a silent region look idle, as its daemons don't report their work.
  const heard = [...regions].filter(([region]) => !distances.isSilent(region));
  const plans = (heard.length > 0 || own !== undefined ? heard : [...regions]).map(([, engines]) =>
    pacedPlacements.placePaced({ ...inputs, engines }),
  );
  const other = fastest(plans);
  // A region with engines of one role only gets its decode engine from another one.
  if (own === undefined) return other ?? pacedPlacements.placePaced(inputs);
  if (other === undefined) return own;
  const share = overflows.promptOverflowShare(own.plan.predictedMs, other.plan.predictedMs, inputs.objectiveMs);
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
function mayOverflow(own: placements.EnginePlan, objectiveMs: number): boolean {
  return own.predictedMs > overflows.OVERFLOW_MARGIN_SHARE * objectiveMs;
}

function fastest(plans: readonly (pacedPlacements.PacedPlan | undefined)[]): pacedPlacements.PacedPlan | undefined {
  let chosen: pacedPlacements.PacedPlan | undefined;
  for (const plan of plans) {
    const chosenMs = chosen?.plan.predictedMs ?? Number.POSITIVE_INFINITY;
    if (plan !== undefined && plan.plan.predictedMs < chosenMs) chosen = plan;
  }
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
