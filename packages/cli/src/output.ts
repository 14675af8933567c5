import * as tableModule from "cli-table3";
import type * as adminClient from "./adminClient.js";

/** A table row: values by column name. */
export type Row = Readonly<Record<string, unknown>>;

/** Draws no borders; columns are separated by two spaces. */
const PLAIN_BORDERS = {
  top: "",
  "top-mid": "",
  "top-left": "",
  "top-right": "",
  bottom: "",
  "bottom-mid": "",
  "bottom-left": "",
  "bottom-right": "",
  left: "",
  "left-mid": "",
  mid: "",
  "mid-mid": "",
  right: "",
  "right-mid": "",
  middle: "  ",
};

/**
 * Formats rows as a plain-text table.
 *
 * @param rows - rows that all have the same columns
 * @returns the table with a header line
 */
export function formatTable(rows: readonly Row[]): string {
  const [first] = rows;
  if (!first) return "nothing to show\n";
  const head = Object.keys(first);
  const table = new tableModule.default({
    head,
    chars: PLAIN_BORDERS,
    style: { head: [], "padding-left": 0, "padding-right": 0 },
  });
  for (const row of rows) table.push(head.map((name) => formatCell(row[name])));
  const lines = table.toString().split("\n");
  return `${lines.map((line) => line.trimEnd()).join("\n")}\n`;
}

/**
 * Formats a problem as plain-text lines.
 *
 * @param problem - the problem to print
 * @returns its title, detail, outcome if known, and remedy
 */
export function formatProblem(problem: adminClient.CliProblem): string {
  const outcome = problem.outcome === undefined ? "" : `outcome: ${problem.outcome}\n`;
  return `${problem.title}: ${problem.detail}\n${outcome}remedy: ${problem.remedy}\n`;
}

function formatCell(value: unknown): string {
  if (value === null || value === undefined) return "";
  return typeof value === "object" ? JSON.stringify(value) : String(value as string | number | boolean);
}
