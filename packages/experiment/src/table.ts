import type * as descriptions from "./description.js";
import * as experiments from "./experiment.js";
import type * as outcomes from "./outcome.js";

/** The daemons of a simulation. */
export interface DaemonSetup {
  readonly daemons: number;
  /** Interval at which they learn of each other's work, in milliseconds. */
  readonly viewAgeMs: number;
}

/** Results of one daemon setup at one load. */
export interface TableRow {
  readonly daemonSetup: DaemonSetup;
  /** Factor on the load of the description. */
  readonly loadFactor: number;
  /** Metrics of each seed. */
  readonly metrics: readonly outcomes.OutcomeMetrics[];
}

/**
 * @param description - an experiment
 * @param loadFactor - factor on its load
 * @returns the experiment with the load scaled
 */
export function scaleLoad(description: descriptions.Description, loadFactor: number): descriptions.Description {
  const requests = description.requests.map((kind) => ({ ...kind, perSecond: kind.perSecond * loadFactor }));
  return { ...description, requests };
}

/**
 * Runs one simulation per seed.
 *
 * @param description - what to simulate
 * @param daemonSetup - number of daemons and interval of their updates, which replace the description's
 * @param loadFactor - factor on the load
 * @param seeds - seeds of the simulations
 * @returns the metrics of each simulation
 */
export function simulateRow(
  description: descriptions.Description,
  daemonSetup: DaemonSetup,
  loadFactor: number,
  seeds: readonly number[],
): TableRow {
  const loaded = { ...scaleLoad(description, loadFactor), ...daemonSetup };
  const metrics = seeds.map((seed) => new experiments.Experiment(loaded, seed).run().statistics.overall());
  return { daemonSetup, loadFactor, metrics };
}

/**
 * @param row - a row
 * @returns mean goodput of its simulations
 */
export function meanGoodput({ metrics }: TableRow): number {
  return metrics.reduce((sum, { goodput }) => sum + goodput, 0) / metrics.length;
}

/**
 * @param row - a row
 * @returns the row in Markdown
 */
export function toMarkdown(row: TableRow): string {
  const { daemonSetup, loadFactor, metrics } = row;
  const range = (of: (metrics: outcomes.OutcomeMetrics) => number, digits: number): string =>
    `${Math.min(...metrics.map(of)).toFixed(digits)} to ${Math.max(...metrics.map(of)).toFixed(digits)}`;
  const goodput = range((each) => each.goodput, 3);
  const failed = range((each) => each.failed, 0);
  const refused = range((each) => each.refused, 0);
  return `| ${daemonSetup.daemons} | ${daemonSetup.viewAgeMs} ms | ${loadFactor} | ${goodput} | ${refused} | ${failed} |`;
}

/** Header of the Markdown table whose rows {@link toMarkdown} formats. */
export const TABLE_HEADER = [
  "| daemons | age of what is known of others | load | goodput | refused | failed |",
  "| --- | --- | --- | --- | --- | --- |",
].join("\n");
