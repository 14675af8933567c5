import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as experiment from "../src/index.js";

const suite = uvu.suite("a part of prompts that crashes engines, by size of the fleet");

/** Limits set by the users: engines that one part may crash, and further ones until all daemons know about it. */
const MAX_CRASHES = 5 + 3;

const SEEDS = [61, 62, 63];

/** The daemons that decide in fleets of 9, 69 and 690, the interval of their heartbeats, and engines before them. */
const FLEETS = [
  { fleet: 9, daemons: 9, heartbeatMs: 50, engines: 6 },
  { fleet: 69, daemons: 9, heartbeatMs: 50, engines: 60 },
  { fleet: 690, daemons: 45, heartbeatMs: 350, engines: 200 },
];
const LOAD = { runsPerEngine: 8, lastsMs: 20_000, racks: 0, rackEngines: 0, guiltyShare: 0 };

for (const { fleet, ...setup } of FLEETS) {
  // Guards against a part that crashes engine after engine because each of its requests is new.
  suite(`${fleet} daemons: one such request a second crashes few engines, and no sound one is rejected`, () => {
    for (const seed of SEEDS) {
      const load = { ...LOAD, ...setup };
      const guiltyShare = 1 / experiment.requestsPerSecond(load);
      const outcome = new experiment.CrashReplay({ ...load, guiltyShare }, seed).run();
      const details = `seed ${seed}: ${JSON.stringify(outcome)}`;
      assert.ok(outcome.guiltyCrashes >= 1 && outcome.guiltyCrashes <= MAX_CRASHES, details);
      assert.is(outcome.soundRejected, 0, details);
    }
  });

  // Guards against blaming what ran on the engines of racks that fail.
  suite(`${fleet} daemons: no sound request is rejected after racks have failed`, () => {
    for (const seed of SEEDS) {
      const load = { ...LOAD, ...setup, racks: 5, rackEngines: Math.ceil(setup.engines / 6) };
      const outcome = new experiment.CrashReplay(load, seed).run();
      assert.is(outcome.soundRejected, 0, `seed ${seed}: ${JSON.stringify(outcome)}`);
    }
  });
}

suite.run();
