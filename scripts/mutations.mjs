// Mutation testing: breaks one safeguard of the built code at a time and checks that
// its test fails. A mutation that survives its test or does not apply fails the run.
import * as childProcess from "node:child_process";
import * as fs from "node:fs";

const mutations = JSON.parse(fs.readFileSync(new URL("mutations.json", import.meta.url), "utf8"));
const nameFilter = process.argv[2];
let survived = 0;
for (const { name, file, find, replace, test } of mutations) {
  if (nameFilter && !name.includes(nameFilter)) continue;
  const original = fs.readFileSync(file, "utf8");
  const mutated = original.replace(find, () => replace);
  if (mutated === original) {
    console.log(`NOT APPLIED  ${name}: '${find}' is not in ${file}`);
    survived++;
    continue;
  }
  fs.writeFileSync(file, mutated);
  try {
    const result = childProcess.spawnSync(process.execPath, [test], { timeout: 120_000, encoding: "utf8" });
    const failed = result.status !== 0;
    if (!failed) survived++;
    const reason = /FAIL\s+(.*)/.exec(result.stdout)?.[1] ?? "";
    console.log(`${failed ? "killed   " : "SURVIVED "} ${name}${failed ? `: ${reason}` : ""}`);
  } finally {
    fs.writeFileSync(file, original);
  }
}
console.log(`${survived} mutations survived`);
process.exitCode = survived === 0 ? 0 : 1;
