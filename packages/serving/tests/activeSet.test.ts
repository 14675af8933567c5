import * as fc from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("which daemons of a data centre take callers");

const LARGE_CORES = 1.35;
const SMALL_CORES = 0.324;

function candidate(vm: string, options: Partial<serving.ActiveSetCandidate> = {}): serving.ActiveSetCandidate {
  return { vm, capacity: SMALL_CORES, busyCores: 0, active: false, activeVms: [], ...options };
}

function small(count: number): serving.ActiveSetCandidate[] {
  return Array.from({ length: count }, (_, index) => candidate(`small-${index}`));
}

const LARGE = ["large-0", "large-1", "large-2"].map((vm) => candidate(vm, { capacity: LARGE_CORES }));

function led(others: readonly serving.ActiveSetCandidate[], own = LARGE[0], now = 0): serving.ActiveDecision {
  const decision = new serving.ActiveSet().decide(own, others, now);
  if (decision === undefined) throw new Error("nobody takes callers");
  return decision;
}

suite("a few able daemons take the callers of a large data centre", () => {
  const { active } = led([...LARGE.slice(1), ...small(39)]);
  assert.equal([...active].sort(), ["large-0", "large-1", "large-2"]);
});

suite("all daemons of a small data centre take callers", () => {
  const others = small(serving.ALL_ACTIVE_UP_TO);
  assert.is(led(others.slice(1), others[0]).active.length, serving.ALL_ACTIVE_UP_TO);
});

// A burst keeps the daemons that take callers busy; were their number fixed, their event loops would be late for all.
suite("more take callers as load grows, at once, and fewer only after a while", () => {
  const set = new serving.ActiveSet();
  const others = [...LARGE.slice(1), ...small(39)];
  const busy = LARGE.map((each) => ({ ...each, busyCores: 0.8 }));
  const count = (
    own: serving.ActiveSetCandidate | undefined,
    all: readonly serving.ActiveSetCandidate[],
    now: number,
  ): number => set.decide(own, all, now)?.active.length ?? 0;
  assert.is(count(LARGE[0], others, 0), 3);
  const grown = count(busy[0], [...busy.slice(1), ...small(39)], 1_000);
  assert.ok(grown > 3, `${grown}`);
  assert.is(count(LARGE[0], others, 10_000), grown);
  assert.is(count(LARGE[0], others, 17_000), 3);
});

suite("one that stands by follows the most able one that takes callers", () => {
  const names = ["large-0", "large-1", "small-7"];
  const active = LARGE.map((each) => ({ ...each, active: true, activeVms: names }));
  const decision = led(active, candidate("small-7"));
  assert.is(
    decision.leader,
    active.map(({ vm }) => vm).find((vm) => vm === decision.leader),
  );
  assert.equal(decision.active, names);
});

// One whose datagrams arrive but that hears nobody believes that it is alone. Followed, it would get all callers.
suite("one that hears nobody is not followed", () => {
  const [deaf, ...heard] = serving.rankByCapacity(LARGE);
  const names = [...heard.map(({ vm }) => vm), "small-0"];
  const others = [
    { ...candidate(deaf?.vm ?? "", { capacity: LARGE_CORES }), active: true, activeVms: [deaf?.vm ?? ""] },
    ...heard.map((each) => ({ ...each, active: true, activeVms: names })),
  ];
  assert.equal(led(others, candidate("small-0")).active, names);
});

suite("one that hears nobody who takes callers takes them itself", () => {
  assert.equal(led([], candidate("small-0")).active, ["small-0"]);
  assert.is(new serving.ActiveSet().decide(undefined, small(3), 0), undefined);
});

suite("whoever leads names enough daemons, each of them known, and the same for any order of what is heard", () => {
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
      const { active } = led(others, own);
      assert.ok(active.length >= Math.min(serving.LEAST_ACTIVE, drawn.length));
      assert.ok(active.every((vm) => drawn.some((each) => each.vm === vm)));
      assert.equal(led([...others].reverse(), own).active, active);
    }),
  );
});

suite.run();
