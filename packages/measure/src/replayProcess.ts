import * as policyMeasure from "./policyMeasure.js";
import type * as replay from "./replay.js";
import * as trace from "./trace.js";

const [name = "", policy = "", seed = "1"] = process.argv.slice(2);
const found = trace.readTraces().find((candidate) => candidate.name === name);
if (!found) throw new Error(`no trace '${name}'`);
process.stdout.write(JSON.stringify(policyMeasure.measureReplay(found, policy as replay.Policy, Number(seed))));
