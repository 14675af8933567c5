import * as fs from "node:fs";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as experiment from "../src/index.js";

const SHEETS = new URL("../../sheets/", import.meta.url);
const SEEDS = [33, 34, 35, 36];

/** Part of the whole kind's share that the largest prompts get at least, as the users' rule on sizes has it. */
const LEAST_PART = 0.5;

interface Shares {
  readonly largest: number;
  readonly fifthBelow: number;
  readonly whole: number;
}

function sharesAt(sheet: string, kind: string, times: number): Shares {
  const read = experiment.readDescription(fs.readFileSync(new URL(sheet, SHEETS), "utf8"));
  if (read.isErr()) throw new Error(read.error);
  const requests = read.value.requests.map((each) => ({ ...each, perSecond: each.perSecond * times }));
  const bySeed = SEEDS.map((seed) =>
    new experiment.Experiment({ ...read.value, requests }, seed).run().outcome.answeredByTenth(kind),
  );
  const tenths = (bySeed[0] ?? []).map((_, tenth) => meanOf(bySeed.map((shares) => shares[tenth] ?? 0)));
  return { largest: tenths.at(-1) ?? 0, fifthBelow: meanOf(tenths.slice(-3, -1)), whole: meanOf(tenths) };
}

function meanOf(shares: readonly number[]): number {
  return shares.reduce((sum, share) => sum + share, 0) / shares.length;
}

const suite = uvu.suite("who pays for a deep shortage");

// Guards against the largest prompts being answered less than half as often as their kind when half of it is rejected.
for (const [sheet, kind] of [
  ["long-shared-prompts.json", "audit"],
  ["long-answers.json", "dossier"],
] as const) {
  for (const times of [2.2, 3]) {
    suite(`${kind} at ${times} times the load: the largest are answered half as often as all, or more`, () => {
      const { largest, fifthBelow, whole } = sharesAt(sheet, kind, times);
      const told = `largest tenth ${largest.toFixed(2)}, fifth below ${fifthBelow.toFixed(2)}, all ${whole.toFixed(2)}`;
      assert.ok(largest >= LEAST_PART * whole, told);
      assert.ok(fifthBelow >= LEAST_PART * whole, told);
    });
  }
}

suite.run();
