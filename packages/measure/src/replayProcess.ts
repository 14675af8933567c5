import * as policyMeasure from "./policyMeasure.js";
import type * as replay from "./replay.js";
import * as trace from "./trace.js";

// Child process of a policy measurement: replays one trace and prints the results as JSON.
const [name = "", policy = "", seed = "1"] = process.argv.slice(2);
const found = trace.readTraces().find((candidate) => candidate.name === name);
if (!found) throw new Error(`there is no trace named '${name}'`);
process.stdout.write(JSON.stringify(policyMeasure.measureReplay(found, policy as replay.Policy, Number(seed))));
