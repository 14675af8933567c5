import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as waves from "./waves.js";

const suite = uvu.suite("waves of demand that are more than the engines can do");

// In a shortage, prompts that no region could prefill within its budgets made streams pause for too long in all regions.
suite("waves beyond what the engines can do: more is in time than without distances", () => {
  const figures = waves.simulate(waves.describe(4));
  const before = waves.simulate(waves.describe(4, waves.WITHOUT));
  const text = `${waves.textOf(figures)}; without distances ${waves.textOf(before)}`;
  assert.ok(figures.goodput > before.goodput + 0.01, text);
});

suite.run();
