// Fails if packages/serving or packages/gateway contain a name of the users' platform: only the adapter in platform/
// decodes such names.
import * as childProcess from "node:child_process";

const NAME_PATTERN = [
  "x-(request-id|deadline-ms|token-counts|prompt-prefix|response-seal|kv-|serving-stage|pin-ms|expect-)",
  "x-(instance-id|not-executed|weight-versions|length-hint)",
  "kv-(key|range|watch|txn|lease|keep|handle|move|events|list|pin|fetch|used|total)",
  "op/config",
  "/camphorcourse/(ready|resolve|report|order|hold)",
  "(path-prefix|target-latency-ms|traffic-split|gap-target-ms|node-name|machine-class|internal-ports)",
].join("|");
const FOLDERS = ["packages/serving", "packages/gateway"];

const matches = childProcess.spawnSync("git", ["grep", "-nIiE", NAME_PATTERN, "--", ...FOLDERS], { encoding: "utf8" });
if (matches.stdout !== "") {
  console.error(`found names of the platform outside platform/; decode them there:\n${matches.stdout}`);
  process.exitCode = 1;
}
