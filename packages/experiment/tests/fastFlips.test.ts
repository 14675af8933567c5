import * as fs from "node:fs";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as experiment from "../src/index.js";

const suite = uvu.suite("a mix that flips faster than an engine changes its role");

const SHEETS = new URL("../../sheets/", import.meta.url);
const SEEDS = [31, 32, 33];
const WINDOW_MS = 2_000;

interface Result {
  readonly goodput: number;
  readonly worstWindow: number;
}

function simulate(sheet: string, shortestFirstEvent: boolean): Result {
  const parsed = experiment.parseDescription(fs.readFileSync(new URL(sheet, SHEETS), "utf8"));
  if (parsed.isErr()) throw new Error(parsed.error);
  const runs = SEEDS.map(
    (seed) => new experiment.Experiment({ ...parsed.value, shortestFirstEvent }, seed).run().statistics,
  );
  const mean = (valueOf: (run: experiment.OutcomeStatistics) => number): number =>
    runs.reduce((sum, run) => sum + valueOf(run), 0) / runs.length;
  return { goodput: mean((run) => run.overall().goodput), worstWindow: mean((run) => run.worstWindow(WINDOW_MS)) };
}

// The roles follow such a mix too late. Prompts that decode engines read themselves don't depend on the roles.
for (const sheet of ["fast-flips.json", "long-answers.json"]) {
  suite(`${sheet}: prefill on decode engines within the objective answers more in time`, () => {
    const kept = simulate(sheet, false);
    const other = simulate(sheet, true);
    const details = JSON.stringify({ kept, other });
    assert.ok(kept.goodput > other.goodput, details);
    assert.ok(kept.worstWindow > other.worstWindow, details);
  });
}

suite.run();
