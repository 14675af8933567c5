// Fails if a name of the users' platform stands outside the adapter: such names are decoded once, in platform/.
import * as childProcess from "node:child_process";

const NAMES = [
  "x-(request-id|deadline-ms|token-counts|prompt-prefix|response-seal|kv-|serving-stage|pin-ms|expect-)",
  "x-(instance-id|not-executed|weight-versions|length-hint)",
  "kv-(key|range|watch|txn|lease|keep|handle|move|events|list|pin|fetch|used|total)",
  "op/config",
  "/camphorcourse/(ready|resolve|report|order|hold)",
  "(path-prefix|target-latency-ms|traffic-split|gap-target-ms|node-name|machine-class|internal-ports)",
].join("|");
const FOLDERS = ["packages/serving", "packages/gateway"];

const found = childProcess.spawnSync("git", ["grep", "-nIiE", NAMES, "--", ...FOLDERS], { encoding: "utf8" });
if (found.stdout !== "") {
  console.error(`names of the platform outside platform/; decode them there:\n${found.stdout}`);
  process.exitCode = 1;
}
