import type * as configurations from "../configuration.js";

/** The engines of a service in one data centre. */
export interface DataCentreEngines {
  readonly dataCentre: string;
  /** Engines that serve now, of each kind. */
  readonly onDemand: number;
  readonly reclaimable: number;
  /** Whether the platform has more reclaimable engines there, as far as known. */
  readonly hasReclaimable: boolean;
}

/** Wanted number of engines of each kind in one data centre. */
export interface PlannedEngines {
  readonly dataCentre: string;
  readonly onDemand: number;
  readonly reclaimable: number;
}

/** What the plan is made from. */
export interface PlanInputs {
  readonly limits: configurations.ScalingLimits;
  readonly dataCentres: readonly DataCentreEngines[];
  /** Number of engines that must remain after the loss of all reclaimable engines of any one data centre. */
  readonly needed: number;
}

/** Share of the planned reclaimable engines below which those of a data centre count as lost. */
const LOST_SHARE = 0.5;

/**
 * Plans the number of engines of each kind in each data centre. This answers a fleet that costs by the second, in which
 * the cheap engines of a data centre may be reclaimed all at once: as many cheap engines are used as the loss of a
 * whole data centre's allows, and on-demand ones make up for what is missing, now and not in the plan: they stay until
 * the reclaimable ones serve.
 *
 * @param inputs - what is known
 * @returns the wanted numbers
 */
export function planEngines(inputs: PlanInputs): PlannedEngines[] {
  const reclaimable = plannedReclaimable(inputs);
  const serving = inputs.dataCentres.map((each, index) => Math.min(each.reclaimable, reclaimable[index] ?? 0));
  // The loss of one data centre is planned for, not that of a second one before the first has its engines back.
  const isOneLost = inputs.dataCentres.some(
    ({ hasReclaimable }, index) => !hasReclaimable || (serving[index] ?? 0) < LOST_SHARE * (reclaimable[index] ?? 0),
  );
  const safelyReclaimable = sum(serving) - (isOneLost ? 0 : Math.max(0, ...serving));
  const onDemand = distribute(Math.max(0, inputs.needed - safelyReclaimable), inputs, reclaimable);
  return inputs.dataCentres.map(({ dataCentre }, index) => ({
    dataCentre,
    onDemand: onDemand[index] ?? 0,
    reclaimable: reclaimable[index] ?? 0,
  }));
}

/** The cheapest number of reclaimable engines in each data centre, if on-demand ones make up for the rest. */
function plannedReclaimable({ limits, dataCentres, needed }: PlanInputs): number[] {
  const { reclaimablePrice, max } = limits;
  const others = dataCentres.length - 1;
  if (reclaimablePrice === undefined || others < 1) return dataCentres.map(() => 0);
  const price = meanPrice(limits, dataCentres);
  let best = { each: 0, cost: needed * price };
  for (let each = 1; each <= Math.min(max, Math.ceil(needed / others)); each++) {
    const onDemand = Math.max(0, needed - each * others);
    const cost = (onDemand + each * dataCentres.length * reclaimablePrice) * price;
    if (cost < best.cost) best = { each, cost };
  }
  return dataCentres.map(({ reclaimable, hasReclaimable }) =>
    hasReclaimable ? best.each : Math.min(best.each, reclaimable),
  );
}

function meanPrice({ prices }: configurations.ScalingLimits, dataCentres: readonly DataCentreEngines[]): number {
  return sum(dataCentres.map(({ dataCentre }) => prices.get(dataCentre) ?? 1)) / dataCentres.length;
}

/** Spreads on-demand engines evenly within the limits; of equally loaded data centres the cheapest comes first. */
function distribute(count: number, { limits, dataCentres }: PlanInputs, reclaimable: readonly number[]): number[] {
  const planned = dataCentres.map((_, index) => Math.max(0, limits.min - (reclaimable[index] ?? 0)));
  const price = (index: number): number => limits.prices.get(dataCentres[index]?.dataCentre ?? "") ?? 1;
  while (sum(planned) < count) {
    const open = [...planned.keys()].filter((index) => (planned[index] ?? 0) + (reclaimable[index] ?? 0) < limits.max);
    open.sort((first, second) => (planned[first] ?? 0) - (planned[second] ?? 0) || price(first) - price(second));
    const [chosen] = open;
    if (chosen === undefined) break;
    planned[chosen] = (planned[chosen] ?? 0) + 1;
  }
  return planned;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
