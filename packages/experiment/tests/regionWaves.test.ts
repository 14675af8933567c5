import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as waves from "./waves.js";

const suite = uvu.suite("waves of demand out of phase between regions");

// The preferred engine of shared parts was chosen among all engines, and two thirds of the prompts went to another region.
// Pacing moved the prefills of the region in its wave to its few prefill engines, where prompts waited for up to 2 s while
// engines of other regions idled.
suite("waves: most prompts stay in their region, the excess goes where there is room, and no more are late", () => {
  const figures = waves.simulate(waves.describe(3));
  const before = waves.simulate(waves.describe(3, waves.WITHOUT));
  const text = `${waves.textOf(figures)}; without distances ${waves.textOf(before)}`;
  assert.ok(figures.ownRegionShare >= 0.75 && figures.ownRegionShare < 0.97, text);
  assert.ok(before.ownRegionShare < 0.45, text);
  assert.ok(figures.goodput >= before.goodput, text);
  // Each prompt that leaves for a region that doesn't cache its shared parts has them prefilled there: 1.72 million tokens
  // where that didn't count.
  assert.ok(figures.readAgainTokens < 1_600_000, text);
});

// Regions that have room must not exchange prompts: links between them are narrow.
suite("without a shortage all prompts stay in their region", () => {
  const figures = waves.simulate(waves.describe(1));
  assert.ok(figures.ownRegionShare >= 0.99 && figures.goodput >= 0.99, waves.textOf(figures));
});

suite.run();
