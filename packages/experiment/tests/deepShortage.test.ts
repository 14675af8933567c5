import * as fs from "node:fs";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as experiment from "../src/index.js";

const SHEETS = new URL("../../sheets/", import.meta.url);
const SEEDS = [33, 34, 35, 36];

/** Fairness requirement: minimum answered share of the largest prompts, relative to the share of their whole kind. */
const MIN_RELATIVE_SHARE = 0.5;

interface AnsweredShares {
  readonly largest: number;
  readonly nextTwoDeciles: number;
  readonly overall: number;
}

function answeredSharesAt(
  sheet: string,
  kind: string,
  loadFactor: number,
  overrides: Partial<experiment.Description> = {},
): AnsweredShares {
  const parsed = experiment.parseDescription(fs.readFileSync(new URL(sheet, SHEETS), "utf8"));
  if (parsed.isErr()) throw new Error(parsed.error);
  const requests = parsed.value.requests.map((each) => ({ ...each, perSecond: each.perSecond * loadFactor }));
  const bySeed = SEEDS.map((seed) =>
    new experiment.Experiment({ ...parsed.value, requests, ...overrides }, seed)
      .run()
      .statistics.answeredBySizeDecile(kind),
  );
  const deciles = (bySeed[0] ?? []).map((_, decile) => meanOf(bySeed.map((shares) => shares[decile] ?? 0)));
  return { largest: deciles.at(-1) ?? 0, nextTwoDeciles: meanOf(deciles.slice(-3, -1)), overall: meanOf(deciles) };
}

function meanOf(shares: readonly number[]): number {
  return shares.reduce((sum, share) => sum + share, 0) / shares.length;
}

const suite = uvu.suite("answered share by prompt size in a deep shortage");

// Guards against the largest prompts being answered less than half as often as their kind when half of its requests
// are rejected.
for (const [sheet, kind] of [
  ["long-shared-prompts.json", "audit"],
  ["long-answers.json", "dossier"],
] as const) {
  for (const loadFactor of [2.2, 3]) {
    suite(`${kind} at ${loadFactor} times the load: the largest are answered at least half as often as all`, () => {
      const { largest, nextTwoDeciles, overall } = answeredSharesAt(sheet, kind, loadFactor);
      const details = `largest decile ${largest.toFixed(2)}, next two deciles ${nextTwoDeciles.toFixed(2)}, all ${overall.toFixed(2)}`;
      assert.ok(largest >= MIN_RELATIVE_SHARE * overall, details);
      assert.ok(nextTwoDeciles >= MIN_RELATIVE_SHARE * overall, details);
    });
  }
}

// Guards against a floor that holds only where requests are decided on in the instant in which they are sent.
suite("audits at 2.2 times the load that are read late: the largest are answered at least half as often as all", () => {
  const readDelayMs = { mean: 300, spread: 1, most: 3_000 };
  const { largest, overall } = answeredSharesAt("long-shared-prompts.json", "audit", 2.2, { readDelayMs });
  assert.ok(largest >= MIN_RELATIVE_SHARE * overall, `largest decile ${largest.toFixed(2)}, all ${overall.toFixed(2)}`);
});

suite.run();
