import * as experiment from "../src/index.js";

const SEED = 71;

const DATA_CENTRES = { a1: "a", a2: "a", b1: "b", b2: "b", c1: "c", c2: "c" };
const REGIONS = ["a", "b", "c"];

/** Duration of one wave of a region; the three follow each other, in milliseconds. */
export const WAVE_MS = 4_000;

/** Demand of a region in its wave, in multiples of that outside of it. */
export const WAVE_FACTOR = 3;

const ENGINES: experiment.EngineParameters = {
  count: 30,
  prefill: 9,
  slots: 16,
  memoryTokens: 500_000,
  fixedMs: 9,
  tokensPerMs: 157,
  pairsMsPerMillion: 0.1,
  decodeReadingMultiple: 2,
  pauseMs: 47,
  pausePerStreamMs: 0.8,
  copyMsPerThousand: 2,
  changeMs: 3_000,
};

const LENGTH = { mean: 12, spread: 0.6, most: 40 };

function kindsOf(loadFactor: number): experiment.RequestKind[] {
  return Object.keys(DATA_CENTRES).flatMap((dataCentre) => [
    {
      name: `classify-${dataCentre}`,
      dataCentre,
      perSecond: 28 * loadFactor,
      shared: [{ tokens: { mean: 2_500, spread: 0.4, most: 6_000 }, kinds: 40, skew: 0.3 }],
      ownTokens: { mean: 900, spread: 0.8, most: 8_000 },
      events: { mean: 3, spread: 0.5, most: 8 },
      objectiveMs: 400,
      pauseMs: 150,
      deadlineMs: 3_000,
      priority: 0,
      worth: 2,
      worthLate: 0.5,
      returns: 1,
    },
    {
      name: `draft-${dataCentre}`,
      dataCentre,
      perSecond: 10 * loadFactor,
      shared: [{ tokens: { mean: 1_500, spread: 0.4, most: 4_000 }, kinds: 20, skew: 0.3 }],
      ownTokens: { mean: 1_500, spread: 0.8, most: 12_000 },
      events: LENGTH,
      objectiveMs: 600,
      pauseMs: 150,
      deadlineMs: 6_000,
      priority: 1,
      worth: 3,
      worthLate: 1,
      returns: 1,
    },
  ]);
}

export function regionOf(dataCentre: string): string {
  return dataCentre.slice(0, 1);
}

/** Each region has its wave after the one before. */
function wavesOf(kinds: readonly experiment.RequestKind[]): experiment.Description["swings"] {
  return kinds.map(({ name, dataCentre = "" }) => {
    const fromMs = REGIONS.indexOf(regionOf(dataCentre)) * WAVE_MS;
    return { request: name, fromMs, untilMs: fromMs + WAVE_MS, times: WAVE_FACTOR };
  });
}

export function describe(
  loadFactor: number,
  regions: Partial<experiment.RegionsDescription> = {},
): experiment.Description {
  const kinds = kindsOf(loadFactor);
  return {
    lastsMs: REGIONS.length * WAVE_MS,
    daemons: 12,
    viewAgeMs: 70,
    rolesFixed: true,
    engines: ENGINES,
    requests: kinds,
    swings: wavesOf(kinds),
    regions: {
      dataCentres: DATA_CENTRES,
      oneWayMs: { dataCentre: 0.2, region: 0.9, remote: 12 },
      distancesUsed: true,
      distantViewAgeMs: 350,
      ...regions,
    },
  };
}

/** The same deployment as it was served before: one kind of heartbeat, and one distance for all other data centres. */
export const WITHOUT = { distancesUsed: false, distantViewAgeMs: 70 };

export interface Figures {
  readonly goodput: number;
  readonly ownRegionShare: number;
  /** Tokens of shared parts that were prefilled again. */
  readonly readAgainTokens: number;
}

export function simulate(description: experiment.Description): Figures {
  const simulation = new experiment.Experiment(description, SEED);
  simulation.learnEngineParameters();
  const { ownRegionShare, readAgainTokens, statistics } = simulation.run();
  return { goodput: statistics.overall().goodput, ownRegionShare, readAgainTokens };
}

export function textOf(figures: Figures): string {
  return `goodput ${figures.goodput.toFixed(3)}, in the region ${figures.ownRegionShare.toFixed(3)}, prefilled again ${figures.readAgainTokens}`;
}
