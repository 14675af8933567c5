import * as policyMeasure from "./policyMeasure.js";
import * as replay from "./replay.js";

const SEEDS = [11, 12, 13];

const [what = "policy", ...names] = process.argv.slice(2);
if (what === "policy") {
  const all = Object.values(replay.Policy);
  const policies = all.filter((policy) => names.includes(policy));
  const traces = names.filter((name) => !all.some((policy) => policy.valueOf() === name));
  const figures = await policyMeasure.measurePolicies(SEEDS, policies.length > 0 ? policies : all, traces);
  console.table(policyMeasure.summarize(figures));
}
