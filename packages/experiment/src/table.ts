import type * as descriptions from "./description.js";
import * as experiments from "./experiment.js";
import type * as outcomes from "./outcome.js";

/** Daemons that decide together. */
export interface Deciders {
  readonly daemons: number;
  /** Age of what they know of each other's work, in milliseconds. */
  readonly viewAgeMs: number;
}

/** What one number of deciders made of one load. */
export interface TableRow {
  readonly deciders: Deciders;
  /** Factor on the described load. */
  readonly times: number;
  readonly figures: readonly outcomes.Figures[];
}

/**
 * @param description - what to play
 * @param times - factor on its load
 * @returns the same with more or less load
 */
export function withLoad(description: descriptions.Description, times: number): descriptions.Description {
  const requests = description.requests.map((kind) => ({ ...kind, perSecond: kind.perSecond * times }));
  return { ...description, requests };
}

/**
 * @param description - what to play
 * @param deciders - the daemons that play it
 * @param times - factor on the load
 * @param seeds - one play each
 * @returns the figures of each play
 */
export function playRow(
  description: descriptions.Description,
  deciders: Deciders,
  times: number,
  seeds: readonly number[],
): TableRow {
  const loaded = { ...withLoad(description, times), ...deciders };
  const figures = seeds.map((seed) => new experiments.Experiment(loaded, seed).run().outcome.all());
  return { deciders, times, figures };
}

/**
 * @param row - a row
 * @returns mean of its plays' goodput
 */
export function meanGoodput({ figures }: TableRow): number {
  return figures.reduce((sum, { goodput }) => sum + goodput, 0) / figures.length;
}

/**
 * @param row - a row
 * @returns it as a row of a Markdown table
 */
export function toMarkdown(row: TableRow): string {
  const { deciders, times, figures } = row;
  const range = (of: (figures: outcomes.Figures) => number, digits: number): string =>
    `${Math.min(...figures.map(of)).toFixed(digits)} to ${Math.max(...figures.map(of)).toFixed(digits)}`;
  const goodput = range((each) => each.goodput, 3);
  const failed = range((each) => each.failed, 0);
  const refused = range((each) => each.refused, 0);
  return `| ${deciders.daemons} | ${deciders.viewAgeMs} ms | ${times} | ${goodput} | ${refused} | ${failed} |`;
}

/** Head of the table that {@link toMarkdown} gives rows of. */
export const TABLE_HEAD = [
  "| daemons | age of what is known of others | load | goodput | refused | failed |",
  "| --- | --- | --- | --- | --- | --- |",
].join("\n");
