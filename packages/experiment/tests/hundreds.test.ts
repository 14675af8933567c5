import * as fs from "node:fs";
import * as serving from "@camphorcourse/serving";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as experiment from "../src/index.js";

const suite = uvu.suite("a fleet of hundreds of daemons");

const SHEET = new URL("../../sheets/hundreds.json", import.meta.url);
const SEEDS = [41, 42, 43];

/** Part of the worth asked for that a large fleet may lose against a few daemons with fresh knowledge. */
const MOST_LOST = 0.02;

/** Daemons that know each other's work at once, for all that matters. */
const FRESH: experiment.Deciders = { daemons: 8, viewAgeMs: 50 };

const LARGE_CORES = 1.35;
const SMALL_CORES = 0.324;

/** Long enough for queues to build up, in milliseconds. */
const LASTS_MS = 6_000;

function sheet(): experiment.Description {
  const read = experiment.readDescription(fs.readFileSync(SHEET, "utf8"));
  if (read.isErr()) throw new Error(read.error);
  return { ...read.value, lastsMs: LASTS_MS };
}

/** The daemons that take callers in data centres of three large VMs and 36 small ones, and how old their knowledge is. */
function decidersOf(dataCentres: number): experiment.Deciders {
  const names = Array.from({ length: dataCentres }, (_, dataCentre) => {
    const candidates = Array.from({ length: 39 }, (_, index) => ({
      vm: `vm-${dataCentre}-${index}`,
      capacity: index < 3 ? LARGE_CORES : SMALL_CORES,
      busyCores: 0,
      active: false,
      activeVms: [],
    }));
    return new serving.ActiveSet().decide(candidates[0], candidates.slice(1), 0)?.active ?? [];
  });
  const daemons = names.flat().length;
  return { daemons, viewAgeMs: serving.heartbeatIntervalMs(daemons - 1) };
}

// The load: 195 daemons at a few requests a second each. Were all of them to decide, each would know of the others' work
// after a second, prompts would pile up at the same engines, and a sixth of the worth be lost at 1.7 times the load.
for (const times of [1, 1.7]) {
  suite(
    `195 daemons serve within ${MOST_LOST} of what 8 with fresh knowledge serve, at ${times} times the load`,
    () => {
      const fresh = experiment.meanGoodput(experiment.playRow(sheet(), FRESH, times, SEEDS));
      const large = experiment.meanGoodput(experiment.playRow(sheet(), decidersOf(5), times, SEEDS));
      assert.ok(large >= fresh - MOST_LOST, `${large.toFixed(3)}, with fresh knowledge ${fresh.toFixed(3)}`);
    },
  );
}

suite.run();
