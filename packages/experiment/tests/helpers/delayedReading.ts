import * as fs from "node:fs";
import * as serving from "@camphorcourse/serving";
import * as assert from "uvu/assert";
import * as experiment from "../../src/index.js";

const SHEETS = new URL("../../../sheets/", import.meta.url);
const SEEDS = [51, 52, 53, 54];

/** Fairness requirement: minimum answered share of the largest prompts, relative to the share of their whole kind. */
const MIN_RELATIVE_SHARE = 0.5;

/** Time until VMs with a fraction of a core have read a request, in milliseconds. */
const READ_DELAY_MS = { mean: 300, spread: 1, most: 3_000 };

const LARGE_CORES = 1.35;
const SMALL_CORES = 0.324;

/**
 * @param dataCentres - number of data centres of a fleet
 * @param vmsEach - number of VMs in each of them
 * @returns the daemons that serve, and the age of what they know of each other
 */
export function daemonSetupOf(dataCentres: number, vmsEach: number): experiment.DaemonSetup {
  const active = Array.from({ length: dataCentres }, (_, dataCentre) => {
    const candidates = Array.from({ length: vmsEach }, (__, index) => ({
      vm: `vm-${dataCentre}-${index}`,
      capacity: index < vmsEach / 13 ? LARGE_CORES : SMALL_CORES,
      busyCores: 0,
      active: false,
      activeVms: [],
    }));
    return new serving.ActiveSet().decide(candidates[0], candidates.slice(1), 0)?.active ?? [];
  });
  const daemons = active.flat().length;
  return { daemons, viewAgeMs: serving.heartbeatIntervalMs(daemons - 1) };
}

/**
 * @param name - sheet of the load
 * @param loadFactor - multiple of its load
 * @param setup - the daemons that serve it
 * @returns an experiment for each seed, in which daemons read requests late
 */
export function experiments(name: string, loadFactor: number, setup: experiment.DaemonSetup): experiment.Experiment[] {
  const parsed = experiment.parseDescription(fs.readFileSync(new URL(name, SHEETS), "utf8"));
  if (parsed.isErr()) throw new Error(parsed.error);
  const description = { ...experiment.scaleLoad(parsed.value, loadFactor), ...setup, readDelayMs: READ_DELAY_MS };
  return SEEDS.map((seed) => new experiment.Experiment(description, seed));
}

/** Statistics of overloaded fleets by set-up: fleets of which equally many daemons serve are one experiment. */
const overloaded = new Map<string, readonly experiment.OutcomeStatistics[]>();

function overload(setup: experiment.DaemonSetup): readonly experiment.OutcomeStatistics[] {
  const key = JSON.stringify(setup);
  const known = overloaded.get(key);
  if (known !== undefined) return known;
  const runs = experiments("long-shared-prompts.json", 2.2, setup);
  const statistics = runs.map((run) => run.run().statistics);
  overloaded.set(key, statistics);
  return statistics;
}

function meanOf(shares: readonly number[]): number {
  return shares.reduce((sum, share) => sum + share, 0) / shares.length;
}

/**
 * Checks that the largest prompts of a kind are answered at least half as often as all of it, at 2.2 times the load.
 *
 * @param setup - the daemons that serve
 */
export function checkLargestAudits(setup: experiment.DaemonSetup): void {
  const bySeed = overload(setup).map((each) => each.answeredBySizeDecile("audit"));
  const shares = (bySeed[0] ?? []).map((_, decile) => meanOf(bySeed.map((each) => each[decile] ?? 0)));
  const overall = meanOf(shares);
  const details = `by decile ${shares.map((share) => share.toFixed(2)).join(" ")}, all ${overall.toFixed(2)}`;
  assert.ok((shares.at(-1) ?? 0) >= MIN_RELATIVE_SHARE * overall, details);
  assert.ok(meanOf(shares.slice(-3, -1)) >= MIN_RELATIVE_SHARE * overall, details);
}
