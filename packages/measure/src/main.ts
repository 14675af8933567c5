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
  const allPolicies = Object.values(replay.Policy);
  const policies = allPolicies.filter((policy) => names.includes(policy));
  const traces = names.filter((name) => !allPolicies.some((policy) => policy.valueOf() === name));
  const results = await policyMeasure.measurePolicies(SEEDS, policies.length > 0 ? policies : allPolicies, traces);
  console.table(policyMeasure.summarize(results));
}

const [measurement, ...names] = process.argv.slice(2);
if (measurement === "policy") await measurePolicy(names);
else if (measurement === "gateway") console.table(await gatewayMeasure.measureGateway());
else if (measurement === "slopes") console.table(await slopesMeasure.measureSlopes());
else if (measurement === "decisions") console.table(slopesMeasure.measureCore());
else if (measurement === "outage") console.table(await outageMeasure.measureOutage());
else if (measurement === "configuration") console.table(await configurationMeasure.measureConfiguration());
else console.log(USAGE);
