import * as configurationMeasure from "./configurationMeasure.js";
import * as gatewayMeasure from "./gatewayMeasure.js";
import * as outageMeasure from "./outageMeasure.js";
import * as policyMeasure from "./policyMeasure.js";
import * as replay from "./replay.js";
import * as slopesMeasure from "./slopesMeasure.js";

const SEEDS = [11, 12, 13];
const USAGE =
  "usage: npm run measure -- policy [TRACE or POLICY ...] | gateway | slopes | decisions | configuration | outage";

async function measurePolicy(names: readonly string[]): Promise<void> {
  const all = Object.values(replay.Policy);
  const policies = all.filter((policy) => names.includes(policy));
  const traces = names.filter((name) => !all.some((policy) => policy.valueOf() === name));
  const figures = await policyMeasure.measurePolicies(SEEDS, policies.length > 0 ? policies : all, traces);
  console.table(policyMeasure.summarize(figures));
}

const [what, ...names] = process.argv.slice(2);
if (what === "policy") await measurePolicy(names);
else if (what === "gateway") console.table(await gatewayMeasure.measureGateway());
else if (what === "slopes") console.table(await slopesMeasure.measureSlopes());
else if (what === "decisions") console.table(slopesMeasure.measureCore());
else if (what === "outage") console.table(await outageMeasure.measureOutage());
else if (what === "configuration") console.table(await configurationMeasure.measureConfiguration());
else console.log(USAGE);
