// Plays the days in platform/days on the given sites and prints a line for each:
//   node scripts/playDays.mjs BENCH SITE...
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as path from "node:path";

const FOLDER = "platform/days";
const [bench, ...sites] = process.argv.slice(2);
if (bench === undefined || sites.length === 0) {
  console.error("usage: node scripts/playDays.mjs BENCH SITE...; give the program and at least one site file");
  process.exit(2);
}
let failed = 0;
for (const site of sites) {
  for (const file of fs.readdirSync(FOLDER).sort()) {
    const day = path.join(FOLDER, file);
    const run = childProcess.spawnSync(bench, ["run", site, day, "--why", `own day ${file}`], { encoding: "utf8" });
    const lines = run.stdout.split("\n");
    const result = lines.findIndex((line) => line.startsWith("day ")) + 1;
    console.log(`${path.basename(site, ".toml").padEnd(24)} ${lines[result] ?? run.stdout + run.stderr}`);
    for (const line of lines.filter((each) => /BROKEN|short of the gate/.test(each)).slice(0, 3)) {
      console.log(`    ${line}`);
      failed++;
    }
  }
}
process.exitCode = failed === 0 ? 0 : 1;
