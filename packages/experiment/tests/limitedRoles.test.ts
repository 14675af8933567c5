import * as fs from "node:fs";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as experiment from "../src/index.js";

const suite = uvu.suite("two of three decode engines limit their requests for 16 s");

const SHEET = new URL("../../sheets/limited-engines.json", import.meta.url);
const SEEDS = [1, 2, 3, 4];
const WINDOW_MS = 2_000;

/** Load in multiples of the sheet's, which the engines without a limit carry by themselves. */
const SHORTAGE = 1.5;

function simulate(limitsIgnoredByRoles: boolean): { readonly goodput: number; readonly worstWindow: number } {
  const parsed = experiment.parseDescription(fs.readFileSync(SHEET, "utf8"));
  if (parsed.isErr()) throw new Error(parsed.error);
  const requests = parsed.value.requests.map((each) => ({ ...each, perSecond: each.perSecond * SHORTAGE }));
  const description = { ...parsed.value, requests, limitsIgnoredByRoles };
  const runs = SEEDS.map((seed) => new experiment.Experiment(description, seed).run().statistics);
  const mean = (valueOf: (run: experiment.OutcomeStatistics) => number): number =>
    runs.reduce((sum, run) => sum + valueOf(run), 0) / runs.length;
  return { goodput: mean((run) => run.overall().goodput), worstWindow: mean((run) => run.worstWindow(WINDOW_MS)) };
}

// Counted as whole engines, the limited ones look like spare capacity, and all streams run on the third.
suite("a balance of roles that counts them for what they take answers more in time", () => {
  const kept = simulate(false);
  const other = simulate(true);
  const details = JSON.stringify({ kept, other });
  assert.ok(kept.goodput > other.goodput, details);
  assert.ok(kept.worstWindow > other.worstWindow, details);
});

suite.run();
