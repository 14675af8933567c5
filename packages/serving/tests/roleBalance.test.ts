import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("changing engines' roles");

function engines(prefill: number, decode: number, running: number): serving.BalancedEngine[] {
  return [
    ...Array.from({ length: prefill }, (_, index) => ({
      id: `p${index}`,
      role: serving.EngineRole.Prefill,
      running: 1,
      slots: 64,
    })),
    ...Array.from({ length: decode }, (_, index) => ({
      id: `d${index}`,
      role: serving.EngineRole.Decode,
      running,
      slots: 64,
    })),
  ];
}

/** Tokens that the prefill engines of these tests read in a millisecond. */
const PREFILL_TOKENS_PER_MS = 92;

const SPEEDS = { pause: { baseMs: 30.3, perStreamMs: 1.21 }, decodeReadingShare: 0.35 };

interface RunInputs {
  readonly engines: serving.BalancedEngine[];
  readonly readTokensPerMs: number;
}

function run(
  balance: serving.RoleBalance,
  inputs: RunInputs,
  fromMs: number,
  toMs: number,
): serving.RoleChange | undefined {
  const readingLoad = inputs.readTokensPerMs / PREFILL_TOKENS_PER_MS;
  for (let now = fromMs; now < toMs; now += 250) {
    const known = { engines: inputs.engines, readingLoad, eventsPerMs: 0, speeds: SPEEDS, streamCapacity: 100 };
    const change = balance.decide({ ...known, now });
    if (change !== undefined) return change;
  }
  return undefined;
}

// The load: prompts need 90 in 100 of two prefill engines' time while decode engines have room.
suite("a decode engine becomes a prefill engine when reading needs it for a while", () => {
  const change = run(new serving.RoleBalance(), { engines: engines(2, 4, 10), readTokensPerMs: 166 }, 0, 5_000);
  assert.is(change?.role, serving.EngineRole.Prefill);
});

suite("a burst of a second changes nothing", () => {
  const balance = new serving.RoleBalance();
  assert.is(run(balance, { engines: engines(2, 4, 10), readTokensPerMs: 166 }, 0, 1_000), undefined);
  assert.is(run(balance, { engines: engines(2, 4, 10), readTokensPerMs: 60 }, 1_000, 2_000), undefined);
  assert.is(run(balance, { engines: engines(2, 4, 10), readTokensPerMs: 166 }, 2_000, 3_000), undefined);
});

// The mix swings every few seconds. Each change takes an engine away, so the next one has to wait.
suite("a change rests, also one that another daemon made", () => {
  const balance = new serving.RoleBalance();
  balance.recordChange(0);
  assert.is(run(balance, { engines: engines(2, 4, 10), readTokensPerMs: 166 }, 0, 8_900), undefined);
  assert.is(
    run(balance, { engines: engines(2, 4, 10), readTokensPerMs: 166 }, 8_900, 12_000)?.role,
    serving.EngineRole.Prefill,
  );
});

// A daemon restarts and reads the last change of a role, which is minutes old. Resting once more after it left a fleet
// with one decode engine for 20 s, and 433 prompts were turned away.
suite("a change that is long past asks for no rest", () => {
  const balance = new serving.RoleBalance();
  balance.recordChange(-60_000);
  const change = run(balance, { engines: engines(2, 1, 52), readTokensPerMs: 160 }, 0, 2_000);
  assert.is(change?.role, serving.EngineRole.Decode);
});

// The load: two of five engines are taken away, and three prefill engines read for two decode engines whose streams
// have grown to their slots.
suite("a prefill engine becomes a decode engine when streams fill those that are left", () => {
  const change = run(new serving.RoleBalance(), { engines: engines(3, 2, 60), readTokensPerMs: 100 }, 0, 5_000);
  assert.is(change?.role, serving.EngineRole.Decode);
});

// Two of three decode engines crash soon after a change. Their streams come back at once and outgrow the one that is
// left, while three engines read prompts that nobody can go on with for the rest of nine seconds.
suite("streams that have outgrown the decode engines don't wait for the rest", () => {
  const balance = new serving.RoleBalance();
  balance.recordChange(0);
  const inputs = { engines: engines(3, 2, 70), readTokensPerMs: 140 };
  const change = run(balance, inputs, 0, 4_500);
  assert.is(change?.role, serving.EngineRole.Decode);
});

suite("a split that carries the load stays as it is", () => {
  assert.is(run(new serving.RoleBalance(), { engines: engines(3, 3, 16), readTokensPerMs: 150 }, 0, 60_000), undefined);
  assert.is(run(new serving.RoleBalance(), { engines: engines(2, 4, 8), readTokensPerMs: 60 }, 0, 60_000), undefined);
});

suite("decode engines that are full of streams give none away", () => {
  assert.is(run(new serving.RoleBalance(), { engines: engines(2, 3, 40), readTokensPerMs: 200 }, 0, 9_000), undefined);
});

// Engines were taken away until one decode engine was left; 52 streams ran there and everything came late, while two
// engines read prompts that nobody could go on with.
suite("a lone decode engine that is full gets another beside it, however much there is to read", () => {
  const change = run(new serving.RoleBalance(), { engines: engines(2, 1, 52), readTokensPerMs: 160 }, 0, 5_000);
  assert.is(change?.role, serving.EngineRole.Decode);
});

suite("a fleet without any decode engine gets one, without rest", () => {
  const balance = new serving.RoleBalance();
  balance.recordChange(0);
  const change = run(balance, { engines: engines(3, 0, 0), readTokensPerMs: 10 }, 0, 5_000);
  assert.is(change?.role, serving.EngineRole.Decode);
});

/** Time for which a change takes an engine of these tests away, in milliseconds. */
const AWAY_MS = 6_000;

// The first split after a start has three engines to read and ten to decode, where the load needs ten to read. One
// change in several seconds would leave prompts queueing for most of a minute.
suite("a split that is wrong by half is mended within seconds, never with too many engines away", () => {
  const balance = new serving.RoleBalance();
  const fleet = engines(3, 10, 2).map((engine) => ({ ...engine, changing: false, backAt: 0 }));
  const away: number[] = [];
  for (let now = 0; now < 12_000; now += 300) {
    for (const engine of fleet) engine.changing = engine.backAt > now;
    away.push(fleet.filter((engine) => engine.changing).length);
    const change = balance.decide({
      engines: fleet,
      readingLoad: 9.5,
      eventsPerMs: 0,
      speeds: SPEEDS,
      streamCapacity: 100,
      now,
    });
    const changed = fleet.find((engine) => engine.id === change?.endpointId);
    if (change === undefined || changed === undefined) continue;
    Object.assign(changed, { role: change.role, backAt: now + AWAY_MS, running: 0 });
    balance.recordChange(now, change.role);
  }
  const prefill = fleet.filter((engine) => engine.role === serving.EngineRole.Prefill).length;
  assert.ok(prefill >= 9, `${prefill} prefill engines`);
  assert.ok(Math.max(...away) > 3 && Math.max(...away) <= 5, `${Math.max(...away)} away at once`);
});

// Half a minute after a change, a burst of a second wants another of the same kind. The reason has to hold anew: the
// first change was for a mix that is long past.
suite("a burst changes nothing either if the last change was to the same role, long ago", () => {
  const balance = new serving.RoleBalance();
  balance.recordChange(0, serving.EngineRole.Prefill);
  assert.is(run(balance, { engines: engines(2, 4, 10), readTokensPerMs: 166 }, 30_000, 31_000), undefined);
});

// The mix swings back a second after a change. Following it at once would take engines away for nothing at each swing.
suite("a change of mind rests though changes to the same role don't", () => {
  const inputs = { engines: engines(2, 4, 10), readTokensPerMs: 166 };
  const again = new serving.RoleBalance();
  again.recordChange(0, serving.EngineRole.Prefill);
  assert.is(run(again, inputs, 0, 2_000)?.role, serving.EngineRole.Prefill);
  const back = new serving.RoleBalance();
  back.recordChange(0, serving.EngineRole.Decode);
  assert.is(run(back, inputs, 0, 8_900), undefined);
});

// The order came to nothing: the engine was busy. The wish stays the same all the while, and has to lead to another
// try once it has held again.
suite("a change that came to nothing is tried again while the wish stays the same", () => {
  const balance = new serving.RoleBalance();
  const inputs = { engines: engines(2, 0, 0), readTokensPerMs: 10 };
  assert.is(run(balance, inputs, 0, 2_000)?.endpointId, "p0");
  balance.putOff();
  assert.is(run(balance, inputs, 2_000, 4_000)?.endpointId, "p0");
});

// One decode engine is full, and the prefill engine that is asked to help is busy. Nothing has changed, so there is
// nothing to rest from: resting for it would leave the streams on one engine for three seconds more.
suite("a try that came to nothing asks for no rest", () => {
  const balance = new serving.RoleBalance();
  const inputs = { engines: engines(2, 1, 60), readTokensPerMs: 10 };
  assert.ok(run(balance, inputs, 0, 2_000));
  balance.putOff();
  assert.ok(run(balance, inputs, 2_000, 3_000));
});

// Four of five engines answer nothing, though their entries stand. Each try takes some seconds, so that the first would
// be asked again before the last has been, and the one that could help never is.
suite("engines that give no answer are asked in turn, after all that were not tried", () => {
  const balance = new serving.RoleBalance();
  const failedAt = new Map<string, number>();
  const tried: string[] = [];
  for (let now = 0; tried.length < 5; now += 2_300) {
    const group = engines(5, 0, 0).map((engine) => ({ ...engine, failedAt: failedAt.get(engine.id) }));
    const change = run(balance, { engines: group, readTokensPerMs: 10 }, now, now + 2_000);
    tried.push(change?.endpointId ?? "none");
    failedAt.set(change?.endpointId ?? "", now);
    balance.putOff();
  }
  assert.equal(tried, ["p0", "p1", "p2", "p3", "p4"]);
});

suite.run();
