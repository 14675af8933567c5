// Runs every compiled test file, each in a process of its own, and closes with
// one line of counts. Tests listed in KNOWN-RED.txt are printed and passed over.
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as path from "node:path";

const PARALLEL = 4;
const TIMEOUT_MS = 120_000;

const workspaces = [...fs.readdirSync("packages").map((name) => path.join("packages", name)), "platform"];
const files = workspaces
  .flatMap((workspace) => {
    const folder = path.join(workspace, "dist", "tests");
    const sources = path.join(workspace, "tests");
    if (!fs.existsSync(folder)) return [];
    const built = fs.readdirSync(folder).filter((file) => file.endsWith(".test.js"));
    // A test whose source is gone may still lie in dist/.
    return built
      .filter((file) => fs.existsSync(path.join(sources, file.replace(/\.js$/, ".ts"))))
      .map((file) => path.join(folder, file));
  })
  .sort();

const knownRed = fs.existsSync("KNOWN-RED.txt")
  ? fs
      .readFileSync("KNOWN-RED.txt", "utf8")
      .split("\n")
      .filter((line) => line.trim() !== "")
  : [];

function run(file) {
  return new Promise((resolve) => {
    // A process group of its own: a test that hangs is ended with all that it started.
    const child = childProcess.spawn(process.execPath, [file], { detached: true });
    const endGroup = () => {
      try {
        process.kill(-child.pid, "SIGKILL");
      } catch {
        // Nothing of the group is left.
      }
    };
    const timer = setTimeout(endGroup, TIMEOUT_MS);
    let output = "";
    child.stdout.on("data", (chunk) => (output += chunk));
    child.stderr.on("data", (chunk) => (output += chunk));
    child.once("exit", (code) => {
      clearTimeout(timer);
      endGroup();
      resolve({ file, code, output });
    });
  });
}

function countsOf(result) {
  const total = Number(/Total:\s+(\d+)/.exec(result.output)?.[1] ?? 0);
  const passed = Number(/Passed:\s+(\d+)/.exec(result.output)?.[1] ?? 0);
  // A file that ended without counts has failed as a whole.
  const failed = total === 0 || (result.code !== 0 && total === passed) ? 1 : total - passed;
  return { passed, failed };
}

const started = Date.now();
const queue = [...files];
let passed = 0;
let failed = 0;
await Promise.all(
  Array.from({ length: PARALLEL }, async () => {
    for (let file = queue.shift(); file !== undefined; file = queue.shift()) {
      const result = await run(file);
      const counts = countsOf(result);
      passed += counts.passed;
      if (counts.failed === 0) {
        console.log(`ok   ${file} (${counts.passed})`);
        continue;
      }
      // The whole path: two folders may have a test of one name, and only one of them is known to be red.
      const known = knownRed.find((line) => line.startsWith(file));
      console.log(`${known ? "KNOWN RED" : "FAIL"} ${file}\n${result.output}`);
      if (!known) failed += counts.failed;
    }
  }),
);
for (const line of knownRed) console.log(`known red: ${line}`);
console.log(`took ${((Date.now() - started) / 1000).toFixed(1)} s`);
console.log(`${passed} passed, ${failed} failed`);
process.exitCode = failed === 0 ? 0 : 1;
