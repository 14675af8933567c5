import * as fs from "node:fs";
import * as serving from "@camphorcourse/serving";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as experiment from "../src/index.js";

const suite = uvu.suite("a fleet of hundreds of daemons");

const SHEET = new URL("../../sheets/hundreds.json", import.meta.url);
const SEEDS = [41, 42, 43];

/** Maximum loss of goodput of a large fleet against a few daemons with fresh knowledge. */
const MAX_LOST = 0.02;

/** Daemons that learn of each other's work almost immediately. */
const FRESH: experiment.DaemonSetup = { daemons: 8, viewAgeMs: 50 };

const LARGE_CORES = 1.35;
const SMALL_CORES = 0.324;

/** Duration in milliseconds; long enough for queues to build up. */
const LASTS_MS = 6_000;

function sheet(): experiment.Description {
  const parsed = experiment.parseDescription(fs.readFileSync(SHEET, "utf8"));
  if (parsed.isErr()) throw new Error(parsed.error);
  return { ...parsed.value, lastsMs: LASTS_MS };
}

/** The active daemons of data centres with 3 large and 36 small VMs each, and the interval of their heartbeats. */
function daemonSetupOf(dataCentres: number): experiment.DaemonSetup {
  const activeVms = Array.from({ length: dataCentres }, (_, dataCentre) => {
    const candidates = Array.from({ length: 39 }, (_, index) => ({
      vm: `vm-${dataCentre}-${index}`,
      capacity: index < 3 ? LARGE_CORES : SMALL_CORES,
      busyCores: 0,
      active: false,
      activeVms: [],
    }));
    return new serving.ActiveSet().decide(candidates[0], candidates.slice(1), 0)?.active ?? [];
  });
  const daemons = activeVms.flat().length;
  return { daemons, viewAgeMs: serving.heartbeatIntervalMs(daemons - 1) };
}

// Guards against all 195 daemons of a fleet dispatching requests, at a few requests per second each. Each would learn of
// the others' work a second late, prompts would pile up at the same engines, and a sixth of the worth would be lost at
// 1.7 times the load.
for (const loadFactor of [1, 1.7]) {
  suite(
    `the goodput of 195 daemons is within ${MAX_LOST} of that of 8 with fresh knowledge, at ${loadFactor} times the load`,
    () => {
      const fresh = experiment.meanGoodput(experiment.simulateRow(sheet(), FRESH, loadFactor, SEEDS));
      const large = experiment.meanGoodput(experiment.simulateRow(sheet(), daemonSetupOf(5), loadFactor, SEEDS));
      assert.ok(large >= fresh - MAX_LOST, `${large.toFixed(3)}, with fresh knowledge ${fresh.toFixed(3)}`);
    },
  );
}

suite.run();
