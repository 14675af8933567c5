// Runs the fault scenarios ("days") in deploy/days on the given sites and prints one line each, with the missed criteria:
//   node scripts/playDays.mjs BENCH [--days NAME,...] SITE...
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as path from "node:path";
import * as util from "node:util";

const FOLDER = "deploy/days";
const { values, positionals } = util.parseArgs({ options: { days: { type: "string" } }, allowPositionals: true });
const [bench, ...sites] = positionals;
if (bench === undefined || sites.length === 0) {
  console.error(
    "usage: node scripts/playDays.mjs BENCH [--days NAME,...] SITE...; BENCH is the benchmark program, SITE a site file",
  );
  process.exit(2);
}
const names = fs
  .readdirSync(FOLDER)
  .filter((file) => file.endsWith(".toml"))
  .map((file) => path.basename(file, ".toml"))
  .sort();
const selected = values.days?.split(",") ?? names;
const unknown = selected.filter((name) => !names.includes(name));
if (unknown.length > 0) {
  console.error(`no such day in ${FOLDER}: ${unknown.join(", ")}; there are ${names.join(", ")}`);
  process.exit(2);
}
let failed = 0;
for (const site of sites) {
  for (const name of selected) {
    const day = path.join(FOLDER, `${name}.toml`);
    const run = childProcess.spawnSync(bench, ["run", site, day, "--why", `own day ${name}`], { encoding: "utf8" });
    const lines = run.stdout.split("\n");
    const headingIndex = lines.findIndex((line) => line.startsWith("day "));
    console.log(`${path.basename(site, ".toml").padEnd(24)} ${lines[headingIndex + 1] ?? run.stdout + run.stderr}`);
    const missed = lines.filter((line) => /BROKEN|short of the gate/.test(line));
    for (const line of missed.slice(0, 3)) console.log(`    ${line}`);
    // A day without a result line did not run to its end.
    if (headingIndex < 0 || missed.length > 0) failed++;
  }
}
process.exitCode = failed === 0 ? 0 : 1;
