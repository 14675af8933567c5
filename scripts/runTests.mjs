// Runs every compiled test file in a process of its own and prints a summary line
// at the end. Failures of files listed in KNOWN-RED.txt are printed but not counted.
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as path from "node:path";

/** Packages whose tests only calculate: how long they take depends on the machine's load, what they find doesn't. */
const CALCULATING = ["core", "experiment", "measure", "serving"];

/**
 * Files that run one at a time, after all others: they measure a process's memory while many clients connect to it, which a busy
 * machine would only slow down.
 */
const ALONE = /^(crowd|largestBody)/;

/** Files that run at the same time: those that only calculate, and the others, which may depend on time. */
const PARALLEL = { calculating: 2, other: 4 };

/** Time that a file may take in milliseconds: processor time where it only calculates, so that a busy machine doesn't end it. */
const TIMEOUT_MS = 120_000;

/** Time that a file which only calculates may take by the clock, in milliseconds; no load makes it wait that long. */
const CALCULATING_TIMEOUT_MS = 600_000;

const CHECK_INTERVAL_MS = 1_000;

/** Length of a tick in which the system counts processor time, in milliseconds. */
const TICK_MS = 10;

/** Index of the ticks in user mode and in the kernel among the fields that follow a process's name. */
const TICK_FIELDS = [11, 12];

/** Time that a hanging test has to report what keeps it running, in milliseconds. */
const REPORT_MS = 1_000;

const workspaces = [...fs.readdirSync("packages").map((name) => path.join("packages", name)), "platform"];
const files = workspaces
  .flatMap((workspace) => {
    const folder = path.join(workspace, "dist", "tests");
    const sources = path.join(workspace, "tests");
    if (!fs.existsSync(folder)) return [];
    const built = fs.readdirSync(folder).filter((file) => file.endsWith(".test.js"));
    // dist/ may still contain compiled tests whose source file has been deleted.
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

function isCalculating(file) {
  return CALCULATING.some((name) => file.startsWith(path.join("packages", name, path.sep)));
}

function run(file) {
  return new Promise((resolve) => {
    // A separate process group, so that a hanging test is killed with all processes that it started.
    const options = ["--import", import.meta.resolve("./reportActiveResources.mjs"), file];
    const child = childProcess.spawn(process.execPath, options, { detached: true });
    const killGroup = () => {
      try {
        process.kill(-child.pid, "SIGKILL");
      } catch {
        // All processes of the group have exited.
      }
    };
    let output = "";
    const onTimeout = () => {
      output += `still running after its time limit, ended by the test runner\n`;
      child.kill("SIGUSR2");
      timer = setTimeout(killGroup, REPORT_MS);
    };
    const onCheck = () => {
      const elapsedMs = performance.now() - startedAt;
      const isOver = isCalculating(file)
        ? processorMs(child.pid) >= TIMEOUT_MS || elapsedMs >= CALCULATING_TIMEOUT_MS
        : elapsedMs >= TIMEOUT_MS;
      if (!isOver) return;
      clearInterval(checks);
      onTimeout();
    };
    const startedAt = performance.now();
    const checks = setInterval(onCheck, CHECK_INTERVAL_MS);
    let timer;
    child.stdout.on("data", (chunk) => (output += chunk));
    child.stderr.on("data", (chunk) => (output += chunk));
    child.once("exit", (code) => {
      clearInterval(checks);
      clearTimeout(timer);
      killGroup();
      resolve({ file, code, output, seconds: (performance.now() - startedAt) / 1_000 });
    });
  });
}

/** Processor time of a process in milliseconds, 0 where the system doesn't tell. */
function processorMs(pid) {
  try {
    const [, fields = ""] = fs.readFileSync(`/proc/${pid}/stat`, "utf8").split(") ");
    const values = fields.split(" ");
    return TICK_FIELDS.reduce((sum, index) => sum + Number(values[index]), 0) * TICK_MS;
  } catch {
    return 0;
  }
}

function countsOf(result) {
  const total = Number(/Total:\s+(\d+)/.exec(result.output)?.[1] ?? 0);
  const passed = Number(/Passed:\s+(\d+)/.exec(result.output)?.[1] ?? 0);
  // A file that exits without printing counts counts as one failure.
  const failed = total === 0 || (result.code !== 0 && total === passed) ? 1 : total - passed;
  return { passed, failed };
}

const started = Date.now();
const others = files.filter((file) => !isCalculating(file));
const alone = others.filter((file) => ALONE.test(path.basename(file)));
const queues = [
  { queue: files.filter(isCalculating), lanes: PARALLEL.calculating },
  { queue: others.filter((file) => !alone.includes(file)), lanes: PARALLEL.other },
];
let passed = 0;
let failed = 0;
const failedFiles = [];
/** Runs the files of a queue one after the other, and counts their results. */
async function runQueue(queue) {
  for (let file = queue.shift(); file !== undefined; file = queue.shift()) {
    const result = await run(file);
    const counts = countsOf(result);
    passed += counts.passed;
    if (counts.failed === 0) {
      console.log(`ok   ${file} (${counts.passed}) ${result.seconds.toFixed(1)} s`);
      continue;
    }
    // Compares the whole path: test files of two packages may share a name while only one of them is listed.
    const known = knownRed.find((line) => line.startsWith(file));
    console.log(`${known ? "KNOWN RED" : "FAIL"} ${file}\n${result.output}`);
    if (known) continue;
    failed += counts.failed;
    failedFiles.push(`${file} (${counts.passed} passed, ${counts.failed} failed, exit code ${result.code})`);
  }
}

const lanes = queues.flatMap(({ queue, lanes }) => Array.from({ length: lanes }, () => queue));
await Promise.all(lanes.map(runQueue));
await runQueue(alone);
for (const line of knownRed) console.log(`known red: ${line}`);
// Repeated at the end, since the output of a failure may be thousands of lines above.
for (const text of failedFiles) console.log(`failed: ${text}`);
console.log(`took ${((Date.now() - started) / 1000).toFixed(1)} s`);
console.log(`${passed} passed, ${failed} failed`);
process.exitCode = failed === 0 ? 0 : 1;
