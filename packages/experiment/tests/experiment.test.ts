import * as fs from "node:fs";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as experiment from "../src/index.js";

const suite = uvu.suite("replays of loads by the decisions that serve");

const SHEETS = new URL("../../sheets/", import.meta.url);

function sheet(name: string): experiment.Description {
  const read = experiment.readDescription(fs.readFileSync(new URL(name, SHEETS), "utf8"));
  if (read.isErr()) throw new Error(read.error);
  return read.value;
}

/** Engines that are so many times faster, with a load that presses them as hard. */
function scaled(description: experiment.Description, times: number): experiment.Description {
  const { engines, requests } = description;
  return {
    ...description,
    lastsMs: 20_000,
    engines: {
      ...engines,
      tokensPerMs: engines.tokensPerMs * times,
      pairsMsPerMillion: engines.pairsMsPerMillion / times,
      fixedMs: engines.fixedMs / times,
    },
    requests: requests.map((kind) => ({
      ...kind,
      perSecond: kind.perSecond * Math.min(1, times),
      objectiveMs: kind.objectiveMs / Math.min(1, times),
      deadlineMs: kind.deadlineMs / Math.min(1, times),
    })),
  };
}

function meanGoodput(description: experiment.Description, known: boolean): number {
  const seeds = [21, 22, 23];
  const goodputs = seeds.map((seed) => {
    const played = new experiment.Experiment(description, seed);
    if (known) played.learnFigures();
    return played.run().outcome.all().goodput;
  });
  return goodputs.reduce((sum, goodput) => sum + goodput, 0) / seeds.length;
}

// The load: engines that nobody here has seen. Placement and roles rest on figures learned from the first prompts; with
// constants of another fleet's engines, queues that look short are not, and a quarter of the answers come late.
for (const [name, times] of [
  ["long-shared-prompts.json", 1],
  ["long-shared-prompts.json", 4],
  ["long-shared-prompts.json", 0.25],
  ["long-answers.json", 1],
] as const) {
  suite(`${name}, engines ${times} times as fast: within 3 in 100 of what the true figures give`, () => {
    const description = scaled(sheet(name), times);
    const learned = meanGoodput(description, false);
    const known = meanGoodput(description, true);
    assert.ok(learned >= known - 0.03, `goodput ${learned.toFixed(3)}, with the true figures ${known.toFixed(3)}`);
  });
}

// The load: prompts of 17,000 tokens of which 13,300 are shared by several callers. Read wherever an engine is free, a
// quarter of all reading is of parts that some engine keeps (2.5 of 12.6 million tokens before parts had homes that are
// only left for a copy).
suite("shared parts are seldom read twice", () => {
  const { readTokens, readAgainTokens } = new experiment.Experiment(sheet("long-shared-prompts.json"), 11).run();
  assert.ok(readAgainTokens < 0.15 * readTokens, `${readAgainTokens} of ${readTokens}`);
});

suite("equal seeds give equal results", () => {
  const [left, right] = [1, 2].map(() => new experiment.Experiment(sheet("long-answers.json"), 5).run());
  assert.equal(left?.outcome.all(), right?.outcome.all());
});

suite("a file with a mistake is refused, with the place of the mistake", () => {
  const read = experiment.readDescription(JSON.stringify({ ...sheet("long-answers.json"), daemons: 0 }));
  assert.match(read._unsafeUnwrapErr(), "daemons");
  assert.match(experiment.readDescription("{")._unsafeUnwrapErr(), "JSON");
});

suite.run();
