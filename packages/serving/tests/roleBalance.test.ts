import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("role balance");

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

/** Tokens that a prefill engine of these tests prefills in a millisecond. */
const PREFILL_TOKENS_PER_MS = 92;

const SPEEDS = { pause: { baseMs: 30.3, perStreamMs: 1.21 }, decodeReadingShare: 0.35 };

interface RunInputs {
  readonly engines: serving.BalancedEngine[];
  readonly prefillTokensPerMs: number;
}

function run(
  balance: serving.RoleBalance,
  inputs: RunInputs,
  fromMs: number,
  toMs: number,
): serving.RoleChange | undefined {
  const readingLoad = inputs.prefillTokensPerMs / PREFILL_TOKENS_PER_MS;
  for (let now = fromMs; now < toMs; now += 250) {
    const known = { engines: inputs.engines, readingLoad, eventsPerMs: 0, speeds: SPEEDS, streamCapacity: 100 };
    const change = balance.decide({ ...known, now });
    if (change !== undefined) return change;
  }
  return undefined;
}

// Prompts take 90% of two prefill engines' time while the decode engines have spare capacity.
suite("a decode engine becomes a prefill engine when prefill needs it for some time", () => {
  const change = run(new serving.RoleBalance(), { engines: engines(2, 4, 10), prefillTokensPerMs: 166 }, 0, 5_000);
  assert.is(change?.role, serving.EngineRole.Prefill);
});

// Two of three decode engines take a tenth of their usual work. Counted as whole ones, they would look like spare capacity
// while all streams run on the third.
suite("decode engines that limit their requests count for what they take", () => {
  const limited = engines(3, 3, 20).map((engine) => ({
    ...engine,
    capacityShare: engine.id === "d0" || engine.id === "d1" ? 0.1 : 1,
  }));
  const heavy = { prefillTokensPerMs: 40 };
  assert.is(run(new serving.RoleBalance(), { engines: engines(3, 3, 20), ...heavy }, 0, 5_000), undefined);
  const change = run(new serving.RoleBalance(), { engines: limited, ...heavy }, 0, 5_000);
  assert.is(change?.role, serving.EngineRole.Decode);
});

suite("an engine that limits its requests is the last to change its role", () => {
  const limited = engines(3, 1, 60).map((engine) => ({ ...engine, capacityShare: engine.id === "p2" ? 1 : 0.2 }));
  const change = run(new serving.RoleBalance(), { engines: limited, prefillTokensPerMs: 20 }, 0, 5_000);
  assert.is(change?.endpointId, "p2");
});

suite("a burst of a second causes no change", () => {
  const balance = new serving.RoleBalance();
  assert.is(run(balance, { engines: engines(2, 4, 10), prefillTokensPerMs: 166 }, 0, 1_000), undefined);
  assert.is(run(balance, { engines: engines(2, 4, 10), prefillTokensPerMs: 60 }, 1_000, 2_000), undefined);
  assert.is(run(balance, { engines: engines(2, 4, 10), prefillTokensPerMs: 166 }, 2_000, 3_000), undefined);
});

// The mix swings every few seconds. Each change makes an engine unavailable, so the next one has to wait.
suite("a cooldown follows each change, also one that another daemon made", () => {
  const balance = new serving.RoleBalance();
  balance.recordChange(0);
  assert.is(run(balance, { engines: engines(2, 4, 10), prefillTokensPerMs: 166 }, 0, 8_900), undefined);
  assert.is(
    run(balance, { engines: engines(2, 4, 10), prefillTokensPerMs: 166 }, 8_900, 12_000)?.role,
    serving.EngineRole.Prefill,
  );
});

// A restarted daemon reads the last role change, which is minutes old. Starting a new cooldown for it left a fleet with
// one decode engine for 20 s, and 433 prompts were rejected.
suite("a change that is long past starts no cooldown", () => {
  const balance = new serving.RoleBalance();
  balance.recordChange(-60_000);
  const change = run(balance, { engines: engines(2, 1, 52), prefillTokensPerMs: 160 }, 0, 2_000);
  assert.is(change?.role, serving.EngineRole.Decode);
});

// Engines are removed, which leaves three prefill and two decode engines; streams fill the decode engines' slots.
suite("a prefill engine becomes a decode engine when streams fill the remaining ones", () => {
  const change = run(new serving.RoleBalance(), { engines: engines(3, 2, 60), prefillTokensPerMs: 100 }, 0, 5_000);
  assert.is(change?.role, serving.EngineRole.Decode);
});

// Two of three decode engines crash soon after a change. Their streams are retried at once and outgrow the remaining one,
// while three engines would prefill prompts that can't continue, for the rest of the usual cooldown of 9 s.
suite("streams that have outgrown the decode engines shorten the cooldown", () => {
  const balance = new serving.RoleBalance();
  balance.recordChange(0);
  const inputs = { engines: engines(3, 2, 70), prefillTokensPerMs: 140 };
  const change = run(balance, inputs, 0, 4_500);
  assert.is(change?.role, serving.EngineRole.Decode);
});

suite("a split that can carry the load is kept", () => {
  assert.is(
    run(new serving.RoleBalance(), { engines: engines(3, 3, 16), prefillTokensPerMs: 150 }, 0, 60_000),
    undefined,
  );
  assert.is(
    run(new serving.RoleBalance(), { engines: engines(2, 4, 8), prefillTokensPerMs: 60 }, 0, 60_000),
    undefined,
  );
});

suite("decode engines that are full of streams don't become prefill engines", () => {
  assert.is(
    run(new serving.RoleBalance(), { engines: engines(2, 3, 40), prefillTokensPerMs: 200 }, 0, 9_000),
    undefined,
  );
});

// After engines were removed, 52 streams ran on the single decode engine and all events were late, while two engines
// prefilled prompts that could not continue.
suite("a single decode engine that is full gets another beside it, however many prompts are queued", () => {
  const change = run(new serving.RoleBalance(), { engines: engines(2, 1, 52), prefillTokensPerMs: 160 }, 0, 5_000);
  assert.is(change?.role, serving.EngineRole.Decode);
});

suite("a fleet without any decode engine gets one, without a cooldown", () => {
  const balance = new serving.RoleBalance();
  balance.recordChange(0);
  const change = run(balance, { engines: engines(3, 0, 0), prefillTokensPerMs: 10 }, 0, 5_000);
  assert.is(change?.role, serving.EngineRole.Decode);
});

/** Time for which a change makes an engine of these tests unavailable, in milliseconds. */
const CHANGE_MS = 6_000;

// The first split after a start has three prefill and ten decode engines, where the load needs ten prefill engines. With
// one change in several seconds, prompts would queue for most of a minute.
suite("a split that is wrong by half is corrected within seconds, never with too many engines changing", () => {
  const balance = new serving.RoleBalance();
  const fleet = engines(3, 10, 2).map((engine) => ({ ...engine, changing: false, availableAt: 0 }));
  const changingCounts: number[] = [];
  for (let now = 0; now < 12_000; now += 300) {
    for (const engine of fleet) engine.changing = engine.availableAt > now;
    changingCounts.push(fleet.filter((engine) => engine.changing).length);
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
    Object.assign(changed, { role: change.role, availableAt: now + CHANGE_MS, running: 0 });
    balance.recordChange(now, change.role);
  }
  const prefill = fleet.filter((engine) => engine.role === serving.EngineRole.Prefill).length;
  assert.ok(prefill >= 9, `${prefill} prefill engines`);
  assert.ok(
    Math.max(...changingCounts) > 3 && Math.max(...changingCounts) <= 5,
    `${Math.max(...changingCounts)} changing at once`,
  );
});

// A burst half a minute after a change to the same role must not count as a continuation of it: that change was for a
// mix that is long past.
suite("a burst causes no change if the last change was to the same role, but long ago", () => {
  const balance = new serving.RoleBalance();
  balance.recordChange(0, serving.EngineRole.Prefill);
  assert.is(run(balance, { engines: engines(2, 4, 10), prefillTokensPerMs: 166 }, 30_000, 31_000), undefined);
});

// When the mix swings back a second after a change, following it at once would make engines unavailable for nothing at
// each swing.
suite("a change to the opposite role waits for the cooldown, one to the same role doesn't", () => {
  const inputs = { engines: engines(2, 4, 10), prefillTokensPerMs: 166 };
  const sameRole = new serving.RoleBalance();
  sameRole.recordChange(0, serving.EngineRole.Prefill);
  assert.is(run(sameRole, inputs, 0, 2_000)?.role, serving.EngineRole.Prefill);
  const oppositeRole = new serving.RoleBalance();
  oppositeRole.recordChange(0, serving.EngineRole.Decode);
  assert.is(run(oppositeRole, inputs, 0, 8_900), undefined);
});

// A change can fail because the engine is busy. As the same role is still wanted, it has to be attempted again after
// another hold time.
suite("a failed change is attempted again while the same role is wanted", () => {
  const balance = new serving.RoleBalance();
  const inputs = { engines: engines(2, 0, 0), prefillTokensPerMs: 10 };
  assert.is(run(balance, inputs, 0, 2_000)?.endpointId, "p0");
  balance.putOff();
  assert.is(run(balance, inputs, 2_000, 4_000)?.endpointId, "p0");
});

// The single decode engine is full, and the prefill engine that is asked to change is busy. A cooldown after this failed
// attempt would leave the streams on one engine for three seconds more.
suite("a failed change starts no cooldown", () => {
  const balance = new serving.RoleBalance();
  const inputs = { engines: engines(2, 1, 60), prefillTokensPerMs: 10 };
  assert.ok(run(balance, inputs, 0, 2_000));
  balance.putOff();
  assert.ok(run(balance, inputs, 2_000, 3_000));
});

// Four of five engines don't answer though they are still registered. Each attempt takes some seconds, so that without an
// order the first could be asked again before the last was asked at all.
suite("engines that don't answer are asked again only after all others", () => {
  const balance = new serving.RoleBalance();
  const failedAt = new Map<string, number>();
  const asked: string[] = [];
  for (let now = 0; asked.length < 5; now += 2_300) {
    const group = engines(5, 0, 0).map((engine) => ({ ...engine, failedAt: failedAt.get(engine.id) }));
    const change = run(balance, { engines: group, prefillTokensPerMs: 10 }, now, now + 2_000);
    asked.push(change?.endpointId ?? "none");
    failedAt.set(change?.endpointId ?? "", now);
    balance.putOff();
  }
  assert.equal(asked, ["p0", "p1", "p2", "p3", "p4"]);
});

suite.run();
