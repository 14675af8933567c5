import * as tableModule from "cli-table3";
import type * as adminClient from "./adminClient.js";

/** Rows of a table: names and values. */
export type Row = Readonly<Record<string, unknown>>;

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
 * @param rows - all with the same names
 * @returns a table for people
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
  for (const row of rows) table.push(head.map((name) => textOf(row[name])));
  const lines = table.toString().split("\n");
  return `${lines.map((line) => line.trimEnd()).join("\n")}\n`;
}

/**
 * @param problem - what went wrong
 * @returns lines for people
 */
export function formatProblem(problem: adminClient.ToolProblem): string {
  const outcome = problem.outcome === undefined ? "" : `outcome: ${problem.outcome}\n`;
  return `${problem.title}: ${problem.detail}\n${outcome}remedy: ${problem.remedy}\n`;
}

function textOf(value: unknown): string {
  if (value === null || value === undefined) return "";
  return typeof value === "object" ? JSON.stringify(value) : String(value as string | number | boolean);
}
