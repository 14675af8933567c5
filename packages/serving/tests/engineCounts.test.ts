import * as fc from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const NAMES = ["a", "b", "c", "d"];
const TICK_MS = 500;
const BOOT_MS = 4_000;

const LIMITS: serving.ScalingLimits = {
  min: 1,
  max: 28,
  bootMs: BOOT_MS,
  reclaimablePrice: 0.18,
  prices: new Map([
    ["a", 1],
    ["b", 0.8],
    ["c", 1.25],
  ]),
};

const suite = uvu.suite("numbers of engines");

const total = (planned: readonly serving.PlannedEngines[], kind: "onDemand" | "reclaimable"): number =>
  planned.reduce((sum, each) => sum + each[kind], 0);

const anyDataCentres = fc
  .array(fc.record({ onDemand: fc.nat(20), reclaimable: fc.nat(20), hasReclaimable: fc.boolean() }), {
    minLength: 1,
    maxLength: 4,
  })
  .map((counts) => counts.map((each, index) => ({ ...each, dataCentre: NAMES[index] ?? "" })));

suite("a plan keeps to the limits of each data centre", () => {
  fc.assert(
    fc.property(anyDataCentres, fc.nat(120), fc.integer({ min: 1, max: 30 }), (dataCentres, needed, max) => {
      for (const planned of serving.planEngines({ limits: { ...LIMITS, max }, dataCentres, needed })) {
        const count = planned.onDemand + planned.reclaimable;
        assert.ok(planned.onDemand >= 0 && planned.reclaimable >= 0);
        assert.ok(count >= LIMITS.min && (count <= max || planned.onDemand === 0));
      }
    }),
  );
});

// All reclaimable engines of a data centre leave at once. With too few elsewhere, every caller would wait for new ones.
suite("what serves after the loss of any data centre's reclaimable engines is enough", () => {
  fc.assert(
    fc.property(anyDataCentres, fc.integer({ min: 1, max: 40 }), (each, needed) => {
      const dataCentres = each.map((one) => ({ ...one, hasReclaimable: true }));
      const planned = serving.planEngines({ limits: LIMITS, dataCentres, needed });
      const kept = planned.map((one, index) => Math.min(one.reclaimable, dataCentres[index]?.reclaimable ?? 0));
      const afterLoss = kept.reduce((sum, count) => sum + count, 0) - Math.max(...kept);
      if (planned.some((one, index) => (kept[index] ?? 0) < one.reclaimable / 2)) return;
      const isFull = planned.every((one) => one.onDemand + one.reclaimable >= LIMITS.max);
      assert.ok(isFull || total(planned, "onDemand") + afterLoss >= needed);
    }),
  );
});

suite("reclaimable engines are used only where they are cheaper and a data centre can be lost", () => {
  const of = (names: readonly string[], limits: serving.ScalingLimits): serving.PlannedEngines[] => {
    const dataCentres = names.map((dataCentre) => ({ dataCentre, onDemand: 0, reclaimable: 0, hasReclaimable: true }));
    return serving.planEngines({ limits, dataCentres, needed: 12 });
  };
  assert.is(total(of(["a", "b", "c"], LIMITS), "reclaimable"), 18);
  assert.is(total(of(["a"], LIMITS), "reclaimable"), 0);
  assert.is(total(of(["a", "b", "c"], { ...LIMITS, reclaimablePrice: undefined }), "reclaimable"), 0);
  assert.is(total(of(["a", "b", "c"], { ...LIMITS, reclaimablePrice: 0.9 }), "reclaimable"), 0);
});

suite("a load needs more engines the higher it is, and none can be told without load", () => {
  const policy = new serving.FixedUtilization(0.6, 0.7);
  const speeds = { pause: { baseMs: 40, perStreamMs: 1.6 } };
  const needed = (readingLoad: number, eventsPerMs: number): number | undefined =>
    policy.neededEngines({ readingLoad, eventsPerMs, streamsPerEngine: 64, speeds });
  assert.is(needed(0, 0), undefined);
  assert.is(needed(0.3, 0.01), 3);
  fc.assert(
    fc.property(
      fc.double({ min: 0.1, max: 50, noNaN: true }),
      fc.double({ min: 0, max: 20, noNaN: true }),
      (load, rate) => {
        assert.ok((needed(load * 1.3, rate * 1.3) ?? 0) >= (needed(load, rate) ?? 0));
      },
    ),
  );
});

/** A platform that starts and takes away engines as it is ordered to, and reclaims those of a data centre. */
class Fleet {
  readonly control = new serving.EngineCountControl();
  readonly orders: { readonly at: number; readonly order: serving.CountOrder }[] = [];
  now = 0;
  /** Orders that get no answer are carried out or not. */
  lost = (): "carried-out" | "lost" | undefined => undefined;
  readonly #counts = new Map<string, number>();
  readonly #starting: { readonly key: string; readonly at: number; readonly count: number }[] = [];
  #withoutReclaimable: string | undefined;

  constructor(onDemandEach: number) {
    for (const name of ["a", "b", "c"]) this.#counts.set(`${name} false`, onDemandEach);
  }

  serving(name: string, reclaimable: boolean): number {
    return this.#counts.get(`${name} ${String(reclaimable)}`) ?? 0;
  }

  total(reclaimable: boolean): number {
    return ["a", "b", "c"].reduce((sum, name) => sum + this.serving(name, reclaimable), 0);
  }

  reclaim(name: string): void {
    this.#withoutReclaimable = name;
    this.#counts.set(`${name} true`, 0);
  }

  restore(): void {
    this.#withoutReclaimable = undefined;
  }

  run(forMs: number, needed: number | undefined): void {
    for (const until = this.now + forMs; this.now < until; this.now += TICK_MS) {
      for (const started of this.#starting.splice(0)) {
        if (started.at > this.now) this.#starting.push(started);
        else this.#counts.set(started.key, started.count);
      }
      const dataCentres = ["a", "b", "c"].map((dataCentre) => ({
        dataCentre,
        onDemand: this.serving(dataCentre, false),
        reclaimable: this.serving(dataCentre, true),
      }));
      for (const order of this.control.decide({ limits: LIMITS, dataCentres, needed, now: this.now })) {
        this.orders.push({ at: this.now, order });
        this.control.recordOutcome(order, this.#carryOut(order), this.now);
      }
    }
  }

  #carryOut(order: serving.CountOrder): serving.OrderOutcome {
    const { dataCentre, reclaimable, count } = order;
    const key = `${dataCentre} ${String(reclaimable)}`;
    const isMore = count > (this.#counts.get(key) ?? 0);
    if (reclaimable && isMore && this.#withoutReclaimable === dataCentre) return serving.OrderOutcome.NoneAvailable;
    const fate = this.lost();
    if (fate === "lost") return serving.OrderOutcome.Failed;
    if (isMore) this.#starting.push({ key, at: this.now + BOOT_MS, count });
    else this.#counts.set(key, count);
    return fate === undefined ? serving.OrderOutcome.Accepted : serving.OrderOutcome.Failed;
  }
}

// On-demand engines that are given up before the cheap ones serve would leave the callers without engines.
suite("expensive engines stay until cheap ones serve in their place", () => {
  const fleet = new Fleet(14);
  for (let tick = 0; tick < 60; tick++) {
    fleet.run(TICK_MS, 16);
    assert.ok(fleet.total(true) + fleet.total(false) >= 16);
  }
  assert.is(fleet.total(false), 0);
  assert.is(fleet.total(true), 24);
});

// The engines of a data centre are reclaimed, and the platform has no more of them there for a while.
suite(
  "the loss of a data centre's cheap engines is borne with the operator's minimum of expensive ones, and made up for afterwards",
  () => {
    const fleet = new Fleet(14);
    fleet.run(30_000, 16);
    fleet.orders.length = 0;
    fleet.reclaim("b");
    fleet.run(10_000, 16);
    assert.is(fleet.serving("b", false), LIMITS.min);
    assert.is(fleet.total(false), LIMITS.min);
    assert.is(fleet.total(true), 16);
    assert.ok(fleet.orders.length <= 5, `${fleet.orders.length} orders`);
    fleet.restore();
    fleet.run(10_000, 16);
    assert.is(fleet.serving("b", true), 8);
    assert.is(fleet.total(false), 0);
  },
);

suite("expensive engines help out when the load outgrows the cheap ones that are left", () => {
  const fleet = new Fleet(14);
  fleet.run(30_000, 16);
  fleet.reclaim("b");
  fleet.run(20_000, 30);
  assert.ok(fleet.total(true) + fleet.total(false) >= 30);
});

// A daemon that takes over right after its start knows some engines only. It would order fewer than there are.
suite("nothing is ordered while the engines are still becoming known", () => {
  const control = new serving.EngineCountControl();
  for (let known = 1; known <= 14; known++) {
    const dataCentres = ["a", "b", "c"].map((dataCentre) => ({ dataCentre, onDemand: known, reclaimable: 0 }));
    const orders = control.decide({ limits: LIMITS, dataCentres, needed: undefined, now: known * 400 });
    assert.equal(orders, []);
  }
});

// Engines that go down and up by turns never leave their number unchanged; a new holder would order nothing for ever.
suite("engines that go down and up by turns don't keep a holder from ordering", () => {
  const control = new serving.EngineCountControl();
  let orders = 0;
  for (let now = 0; now <= 10_000; now += TICK_MS) {
    const onDemand = 14 - (Math.floor(now / 1_500) % 2);
    const dataCentres = ["a", "b", "c"].map((dataCentre) => ({ dataCentre, onDemand, reclaimable: 0 }));
    orders += control.decide({ limits: LIMITS, dataCentres, needed: 16, now }).length;
  }
  assert.ok(orders > 0);
});

// Engines that were ordered would count as a larger fleet, for which more engines are ordered.
suite("without load the fleet doesn't grow by its own orders", () => {
  const fleet = new Fleet(14);
  fleet.run(60_000, undefined);
  assert.is(fleet.total(true), 42);
  assert.is(fleet.total(false), 0);
});

suite("lost orders and orders without an answer are repeated until they have an effect", () => {
  const anyLosses = fc.array(fc.constantFrom("carried-out", "lost", undefined), { maxLength: 12 });
  fc.assert(
    fc.property(anyLosses, (losses) => {
      const fleet = new Fleet(14);
      const remaining = [...losses];
      fleet.lost = (): "carried-out" | "lost" | undefined => remaining.shift();
      fleet.run(60_000, 16);
      assert.is(fleet.total(true), 24);
      assert.is(fleet.total(false), 0);
    }),
  );
});

suite("a short lull doesn't give up engines", () => {
  const fleet = new Fleet(14);
  fleet.run(30_000, 16);
  fleet.run(5_000, 8);
  assert.is(fleet.total(true), 24);
  fleet.run(10_000, 8);
  assert.is(fleet.total(true), 12);
});

suite.run();
