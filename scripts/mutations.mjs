// Mutation testing: breaks one safeguard of the built code at a time and checks that
// its test fails. A mutation that survives its test or does not apply fails the run.
import * as childProcess from "node:child_process";
import * as fs from "node:fs";

const mutations = JSON.parse(fs.readFileSync(new URL("mutations.json", import.meta.url), "utf8"));
const nameFilter = process.argv[2];
let survived = 0;
for (const { name, file, find, replace, also = [], test } of mutations) {
  if (nameFilter && !name.includes(nameFilter)) continue;
  // Where two safeguards hold the same promise, the test fails only without both.
  const edits = [{ file, find, replace }, ...also];
  const originals = new Map(edits.map((edit) => [edit.file, fs.readFileSync(edit.file, "utf8")]));
  try {
    const missing = edits.find((edit) => !apply(edit));
    if (missing !== undefined) {
      console.log(`NOT APPLIED  ${name}: '${missing.find}' is not in ${missing.file}`);
      survived++;
      continue;
    }
    const result = childProcess.spawnSync(process.execPath, [test], { timeout: 120_000, encoding: "utf8" });
    const failed = result.status !== 0;
    if (!failed) survived++;
    const reason = /FAIL\s+(.*)/.exec(result.stdout)?.[1] ?? "";
    console.log(`${failed ? "killed   " : "SURVIVED "} ${name}${failed ? `: ${reason}` : ""}`);
  } finally {
    for (const [path, original] of originals) fs.writeFileSync(path, original);
  }
}
console.log(`${survived} mutations survived`);
process.exitCode = survived === 0 ? 0 : 1;

/** Returns whether the edit changes its file. */
function apply({ file, find, replace }) {
  const original = fs.readFileSync(file, "utf8");
  const mutated = original.replace(find, () => replace);
  fs.writeFileSync(file, mutated);
  return mutated !== original;
}
