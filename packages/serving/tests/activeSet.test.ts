import * as fc from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("active daemons of a data centre");

const LARGE_CORES = 1.35;
const SMALL_CORES = 0.324;

function candidate(vm: string, options: Partial<serving.ActiveSetCandidate> = {}): serving.ActiveSetCandidate {
  return { vm, capacity: SMALL_CORES, busyCores: 0, active: false, activeVms: [], ...options };
}

function smallDaemons(count: number): serving.ActiveSetCandidate[] {
  return Array.from({ length: count }, (_, index) => candidate(`small-${index}`));
}

const LARGE = ["large-0", "large-1", "large-2"].map((vm) => candidate(vm, { capacity: LARGE_CORES }));

function decide(others: readonly serving.ActiveSetCandidate[], own = LARGE[0], now = 0): serving.ActiveDecision {
  const decision = new serving.ActiveSet().decide(own, others, now);
  if (decision === undefined) throw new Error("no daemon is active");
  return decision;
}

suite("a few daemons with high capacity are active in a large data centre", () => {
  const { active } = decide([...LARGE.slice(1), ...smallDaemons(39)]);
  assert.equal([...active].sort(), ["large-0", "large-1", "large-2"]);
});

suite("all daemons of a small data centre are active", () => {
  const daemons = smallDaemons(serving.MAX_ALL_ACTIVE);
  assert.is(decide(daemons.slice(1), daemons[0]).active.length, serving.MAX_ALL_ACTIVE);
});

// A burst keeps the active daemons busy; if their number were fixed, the event loops of all of them would be delayed.
suite("more daemons become active at once when the load grows, and fewer only after a while", () => {
  const set = new serving.ActiveSet();
  const others = [...LARGE.slice(1), ...smallDaemons(39)];
  const busy = LARGE.map((each) => ({ ...each, busyCores: 0.8 }));
  const count = (
    own: serving.ActiveSetCandidate | undefined,
    all: readonly serving.ActiveSetCandidate[],
    now: number,
  ): number => set.decide(own, all, now)?.active.length ?? 0;
  assert.is(count(LARGE[0], others, 0), 3);
  const grown = count(busy[0], [...busy.slice(1), ...smallDaemons(39)], 1_000);
  assert.ok(grown > 3, `${grown}`);
  assert.is(count(LARGE[0], others, 10_000), grown);
  assert.is(count(LARGE[0], others, 17_000), 3);
});

// The first requests keep every daemon busy for a second, as its code is not compiled yet. If that counted as load, the
// whole fleet would become active, and each daemon would be busy with its first requests and with all others' heartbeats.
suite("daemons that serve their first requests don't activate the fleet", () => {
  const set = new serving.ActiveSet();
  const fleet = [...LARGE, ...smallDaemons(39)];
  let active = new Set<string>();
  for (let now = 0; now <= 20_000; now += 100) {
    const isWarmingUp = now > 5_000 && now < 6_500;
    const all = fleet.map((each) => {
      const busyCores = active.has(each.vm) ? each.capacity * (isWarmingUp ? 1 : 0.15) : 0;
      return { ...each, busyCores };
    });
    active = new Set(set.decide(all[0], all.slice(1), now)?.active);
  }
  assert.ok(active.size <= 9, `${active.size}`);
});

suite("a lasting load activates as many daemons as it needs within seconds", () => {
  const set = new serving.ActiveSet();
  const fleet = [...LARGE, ...smallDaemons(39)];
  const loaded = fleet.map((each, index) => ({ ...each, busyCores: index < 3 ? 1.2 : 0 }));
  set.decide(fleet[0], fleet.slice(1), 0);
  let capacity = 0;
  for (let now = 100; now <= 6_000; now += 100) {
    const active = new Set(set.decide(loaded[0], loaded.slice(1), now)?.active);
    capacity = fleet.reduce((sum, each) => sum + (active.has(each.vm) ? each.capacity : 0), 0);
  }
  assert.ok(capacity >= 2 * 3.6 * 0.9, `${capacity}`);
});

suite("a standby daemon follows the active daemon with the highest capacity", () => {
  const activeVms = ["large-0", "large-1", "small-7"];
  const active = LARGE.map((each) => ({ ...each, active: true, activeVms }));
  const decision = decide(active, candidate("small-7"));
  assert.is(
    decision.leader,
    active.map(({ vm }) => vm).find((vm) => vm === decision.leader),
  );
  assert.equal(decision.active, activeVms);
});

// A daemon whose datagrams arrive but that receives none assumes that it is alone. If followed, it would get all callers.
suite("a daemon that receives nothing from its peers is not followed", () => {
  const [deaf, ...others] = serving.rankByCapacity(LARGE);
  const activeVms = [...others.map(({ vm }) => vm), "small-0"];
  const candidates = [
    { ...candidate(deaf?.vm ?? "", { capacity: LARGE_CORES }), active: true, activeVms: [deaf?.vm ?? ""] },
    ...others.map((each) => ({ ...each, active: true, activeVms })),
  ];
  assert.equal(decide(candidates, candidate("small-0")).active, activeVms);
});

suite("a daemon that knows no active daemon becomes active itself", () => {
  assert.equal(decide([], candidate("small-0")).active, ["small-0"]);
  assert.is(new serving.ActiveSet().decide(undefined, smallDaemons(3), 0), undefined);
});

suite("the leader picks enough daemons, all of them known, and the same ones for any order of the candidates", () => {
  const daemons = fc.uniqueArray(
    fc.record({
      vm: fc.string({ minLength: 1, maxLength: 4 }),
      capacity: fc.double({ min: 0.1, max: 4, noNaN: true }),
      busyCores: fc.double({ min: 0, max: 4, noNaN: true }),
    }),
    { selector: ({ vm }) => vm, minLength: 1, maxLength: 30 },
  );
  fc.assert(
    fc.property(daemons, (drawn) => {
      const [own, ...others] = drawn.map((each) => ({ ...each, active: false, activeVms: [] }));
      const { active } = decide(others, own);
      assert.ok(active.length >= Math.min(serving.MIN_ACTIVE, drawn.length));
      assert.ok(active.every((vm) => drawn.some((each) => each.vm === vm)));
      assert.equal(decide([...others].reverse(), own).active, active);
    }),
  );
});

suite.run();
