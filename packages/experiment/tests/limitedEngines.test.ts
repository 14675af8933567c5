import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as experiment from "../src/index.js";

const suite = uvu.suite("engines that limit their requests, before fleets of several sizes");

const { FewSenders, EqualParts, WholeLimit } = experiment.DivisionName;
const SEED = 40;

for (const [daemons, engines] of [
  [9, 6],
  [69, 46],
  [690, 12],
] as const) {
  for (const limit of [0.2, 3, 1_000]) {
    if (limit === 1_000 && daemons === 690) continue;
    suite(`${daemons} daemons keep a limit of ${limit} requests a second together`, () => {
      const row = experiment.replayLimit(FewSenders, daemons, limit === 1_000 ? 1 : engines, limit, SEED);
      assert.ok(row.worstShareOfBound <= 1, JSON.stringify(row));
      assert.ok(row.usedShare > 0, "engines with a limit get requests");
    });
  }
}

// Each daemon's first request can't be spread over time: with a part for every daemon they arrive together.
suite("equal parts exceed a low limit in a fleet of 69", () => {
  assert.ok(experiment.replayLimit(EqualParts, 69, 46, 3, SEED).worstShareOfBound > 1);
});

suite("a daemon that keeps the limit for itself alone exceeds it with the others", () => {
  assert.ok(experiment.replayLimit(WholeLimit, 9, 6, 3, SEED).worstShareOfBound > 1);
});

/** Limits of the random schedules, in requests a second; undefined: none is stated. */
const LIMITS = [undefined, 0, 0.2, 1, 3, 10, 100];
const STEP_MS = 1_000;
const STEPS = 24;
const WINDOW_MS = 4_000;

/** Time for an answer with a changed limit to arrive, in milliseconds; a heartbeat then spreads it. */
const ANSWERED_MS = 600;

interface Schedule {
  readonly daemons: number;
  readonly load: number;
  readonly resentShare: number;
  readonly restartEveryMs: number;
  readonly seed: number;
  readonly limits: readonly Phases[];
}

function schedules(daemons: readonly number[], mostEngines: number): fastCheck.Arbitrary<Schedule> {
  // Longer phases of one limit are more telling than one that changes each second.
  const phase = fastCheck.tuple(fastCheck.constantFrom(...LIMITS), fastCheck.integer({ min: 1, max: 12 }));
  const phases = fastCheck.array(phase, { minLength: STEPS, maxLength: STEPS });
  return fastCheck.record({
    daemons: fastCheck.constantFrom(...daemons),
    load: fastCheck.constantFrom(5, 40, 200),
    resentShare: fastCheck.constantFrom(0, 0.5),
    restartEveryMs: fastCheck.constantFrom(Infinity, 4_000),
    seed: fastCheck.nat(),
    limits: fastCheck.array(phases, { minLength: 1, maxLength: mostEngines }),
  });
}

type Phases = readonly (readonly [number | undefined, number])[];

function limitOf(phases: Phases, at: number): number | undefined {
  let until = 0;
  for (const [limit, steps] of phases) {
    until += steps * STEP_MS;
    if (at < until) return limit;
  }
  return undefined;
}

/** The most that a window may hold that ends at an instant; undefined while the limit has not held for long enough. */
function allowedUntil(phases: Phases, at: number, graceMs: number): number | undefined {
  const from = at - WINDOW_MS - experiment.BOUND_HOLDS_AFTER_MS;
  if (from < 0) return undefined;
  let requests = 0;
  for (let instant = from; instant <= at; instant += 10) {
    const now = limitOf(phases, instant);
    if (now === undefined) return undefined;
    if (instant < at - WINDOW_MS) continue;
    const lately = [0, 0.25, 0.5, 0.75, 1].map((part) => limitOf(phases, instant - part * graceMs) ?? now);
    requests += Math.max(now, ...lately) / 100;
  }
  return Math.ceil(1.5 * requests + 5);
}

function assertKept({ limits, daemons, load, resentShare, restartEveryMs, seed }: Schedule): void {
  const heartbeatMs = experiment.heartbeatMsOf(daemons);
  const scenario = {
    daemons,
    engines: limits.length,
    requestsPerSecond: load * limits.length,
    limitAt: (engine: number, at: number): number | undefined => limitOf(limits[engine] ?? [], at),
    heartbeatMs,
    divisionOf: experiment.divisionOf(FewSenders, daemons),
    restartEveryMs,
    resentShare,
    forMs: STEPS * STEP_MS,
  };
  const traffic = new experiment.LimitReplay(scenario, seed).run();
  for (const [engine, { toldArrivals: arrivals }] of traffic.entries()) {
    let first = 0;
    for (const [index, at] of arrivals.entries()) {
      while ((arrivals[first] ?? at) <= at - WINDOW_MS) first++;
      const allowed = allowedUntil(limits[engine] ?? [], at, heartbeatMs + ANSWERED_MS);
      const count = index - first + 1;
      if (allowed !== undefined && count > allowed)
        throw new Error(`engine ${engine} got ${count} requests until ${Math.round(at)} ms, allowed ${allowed}`);
    }
  }
}

/** Number of random schedules, which LIMIT_RUNS multiplies for a long run by hand. */
const RUNS = { small: 60, middle: 10, large: 3 };
const RUNS_FACTOR = Number(process.env.LIMIT_RUNS ?? 1);

for (const [size, daemons, mostEngines] of [
  ["small", [1, 3, 9, 20], 3],
  ["middle", [69], 3],
  ["large", [690], 1],
] as const) {
  suite(`random limits, loads, resends and restarts: ${daemons.join(", ")} daemons together keep the bound`, () => {
    const property = fastCheck.property(schedules(daemons, mostEngines), assertKept);
    fastCheck.assert(property, { numRuns: RUNS[size] * RUNS_FACTOR, seed: SEED });
  });
}

suite.run();
