import * as common from "@camphorcourse/common";
import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("decisions on calls of plain services");

type Known = serving.CallEndpoint<string>;

function known(endpoint: string, options: Partial<Known> = {}): Known {
  return { endpoint, slots: 6, running: 0, limit: 6, serviceMs: 50, networkMs: 0, ...options };
}

function decide(
  endpoints: readonly Known[],
  options: Partial<serving.CallInputs<string>> = {},
): ReturnType<typeof serving.decideCall<string>> {
  const inputs = { ahead: 0, hasWaited: false, isQueueFull: false, isLearned: true, remainingMs: 600, draw: () => 0 };
  return serving.decideCall({ ...inputs, endpoints, ...options });
}

/** The runner passes over a test that throws what isn't an Error, as `_unsafeUnwrap` does. */
function accepted(decided: ReturnType<typeof decide>): serving.CallDecision<string> {
  if (decided.isErr()) throw new Error(`rejected: ${JSON.stringify(decided.error)}`);
  return decided.value;
}

function rejection(decided: ReturnType<typeof decide>): serving.CallRejection {
  if (decided.isOk()) throw new Error(`accepted: ${JSON.stringify(decided.value)}`);
  return decided.error;
}

const route = (timeoutMs: number, options: Partial<serving.Route> = {}): serving.Route =>
  ({
    requestClass: serving.RequestClass.NonIdempotent,
    timeoutMs,
    objectiveMs: 120,
    shares: [{ service: "s", weight: 1 }],
    ...options,
  }) as serving.Route;

// A service that isn't switched on must be served as before: one ample route is enough for that.
suite("calls are controlled where all routes of the service leave little time", () => {
  assert.ok(serving.controlsCalls([route(600)], "s"));
  assert.ok(serving.controlsCalls([route(660), route(400)], "s"));
  assert.not(serving.controlsCalls([route(661)], "s"));
  assert.not(serving.controlsCalls([route(600), route(2_000)], "s"));
  assert.not(serving.controlsCalls([route(600, { requestClass: serving.RequestClass.Stream })], "s"));
  assert.not(serving.controlsCalls([route(600)], "other"));
  assert.ok(serving.controlsCalls([route(600), route(2_000, { shares: [{ service: "s", weight: 0 }] })], "s"));
});

suite("the least predicted time decides, with the network and what exceeds the slots", () => {
  const [slow, quick] = [known("slow", { serviceMs: 200 }), known("quick")];
  assert.is(accepted(decide([slow, quick])).endpoint, "quick");
  const loaded = known("loaded", { running: 11, limit: 12 });
  assert.is(serving.predictCallMs(loaded), 100);
  assert.is(accepted(decide([loaded, known("far", { networkMs: 2 })])).endpoint, "far");
  assert.is(accepted(decide([loaded, slow])).endpoint, "loaded");
});

// All daemons would send what they get between two heartbeats to the endpoint that is a little quicker.
suite("of two endpoints that are about as quick, the less used one is chosen", () => {
  const used = known("used", { running: 4, serviceMs: 49 });
  assert.is(accepted(decide([used, known("idle")])).endpoint, "idle");
});

suite("a call waits where all endpoints are at their limits, or others go before it", () => {
  const full = known("full", { running: 6 });
  assert.is(accepted(decide([full])).endpoint, undefined);
  assert.is(accepted(decide([known("free")], { ahead: 1 })).endpoint, undefined);
});

// A call that would end at its deadline holds a slot in vain, and its caller learns too late that it may try again.
suite("a call that would be answered too late is rejected with the time at which there is room", () => {
  const full = known("full", { running: 6 });
  const rejected = rejection(decide([full], { ahead: 63, remainingMs: 100 }));
  assert.ok(rejected.predictedMs > 500 && rejected.retryAfterMs >= 500 && rejected.retryAfterMs <= 800);
  assert.ok(decide([full], { isQueueFull: true }).isErr());
  assert.ok(decide([full], { ahead: 63, remainingMs: 100, isLearned: false }).isOk(), "nothing is known");
});

// With a wrong prediction, an endpoint that nothing is sent to would never show that it is quicker.
suite("a call that has just come is sent where there is room, and one that has waited only with time left", () => {
  const slow = known("slow", { serviceMs: 900 });
  assert.is(accepted(decide([slow])).endpoint, "slow");
  assert.ok(decide([slow], { hasWaited: true }).isErr());
  assert.is(accepted(decide([slow], { hasWaited: true, remainingMs: 1_000 })).endpoint, "slow");
});

// A decline lowers the limit by a half, and the slots that are left meanwhile would stay empty while requests wait.
suite("a slot that was left is handed on, also under a lowered limit, and only within the slots", () => {
  assert.ok(serving.mayHandOn({ running: 5, limit: 3, slots: 6 }));
  assert.not(serving.mayHandOn({ running: 6, limit: 3, slots: 6 }));
  assert.ok(serving.mayHandOn({ running: 6, limit: 8, slots: 6 }));
});

// Counts of which most requests have ended let calls wait before free slots until the next heartbeats.
suite("the limit is exceeded as far as the counts are old, and not applied if most of what they say has ended", () => {
  const full = known("full", { running: 6 });
  assert.not(serving.hasRoom(full));
  assert.ok(serving.hasRoom(full, { freshness: 0.9 }));
  assert.not(serving.hasRoom({ ...full, running: 8 }, { freshness: 0.9 }));
  assert.ok(serving.hasRoom({ ...full, running: 40 }, { freshness: 0.4 }));
});

// Otherwise all daemons send to the endpoint that the same old counts show as the least busy one.
suite("requests are spread by chance as far as the counts are old", () => {
  const endpoints = [known("busier", { running: 7, limit: 12 }), known("idle", { running: 6, limit: 12 })];
  const chosenWith = (freshness: number): ReadonlySet<string | undefined> => {
    const random = new common.SeededRandom(1);
    const draws = Array.from({ length: 50 }, () => decide(endpoints, { freshness, draw: () => random.next() }));
    return new Set(draws.map((each) => accepted(each).endpoint));
  };
  assert.equal([...chosenWith(1)], ["idle"]);
  assert.equal([...chosenWith(0)].sort(), ["busier", "idle"]);
});

// In a burst, those that are late anyway would take the slots from calls of other daemons that can still be in time.
suite("a call that is late leaves half of the slots free, as far as the counts tell", () => {
  const used = known("used", { running: 3 });
  assert.ok(serving.hasRoom(used));
  assert.not(serving.hasRoom(used, { isLate: true }));
  assert.ok(serving.hasRoom({ ...used, running: 2 }, { isLate: true }));
  assert.not(serving.mayHandOn(used, { isLate: true }));
  assert.is(accepted(decide([used], { hasWaited: true, isLate: true })).endpoint, undefined);
});

// Calls that are set back leave slots free for others; rejected while there is room, they would keep up the shortage.
suite("a call that is set back leaves slots free, and is sent before it would be rejected", () => {
  const used = known("used", { running: 3 });
  assert.is(accepted(decide([used], { isSetBack: true })).endpoint, undefined);
  assert.is(accepted(decide([used], { isSetBack: true, remainingMs: 10 })).endpoint, "used");
  assert.ok(decide([known("full", { running: 6 })], { isSetBack: true, remainingMs: 10 }).isErr());
});

suite("a call is in time as long as two service times are left, and always where the work takes as long", () => {
  const endpoints = [known("slow", { serviceMs: 90 }), known("quick", { serviceMs: 40, networkMs: 2 })];
  assert.is(serving.inTimeUntil({ arrivedAt: 1_000, objectiveMs: 120 }, endpoints), 1_038);
  assert.is(serving.inTimeUntil({ arrivedAt: 1_000, objectiveMs: 80 }, endpoints), Number.POSITIVE_INFINITY);
});

suite("an endpoint at its limit gets nothing, and a retry time is positive and bounded", () => {
  const endpoint = fastCheck.record({
    endpoint: fastCheck.string(),
    slots: fastCheck.integer({ min: 1, max: 40 }),
    running: fastCheck.integer({ min: 0, max: 90 }),
    limit: fastCheck.integer({ min: 1, max: 80 }),
    serviceMs: fastCheck.double({ min: 1, max: 5_000, noNaN: true }),
    networkMs: fastCheck.double({ min: 0, max: 50, noNaN: true }),
  });
  const call = fastCheck.record({
    ahead: fastCheck.integer({ min: 0, max: 64 }),
    hasWaited: fastCheck.boolean(),
    isQueueFull: fastCheck.boolean(),
    isLearned: fastCheck.boolean(),
    remainingMs: fastCheck.double({ min: 0, max: 5_000, noNaN: true }),
    draw: fastCheck.constant(() => 0.9),
  });
  fastCheck.assert(
    fastCheck.property(fastCheck.array(endpoint, { minLength: 1, maxLength: 8 }), call, (endpoints, inputs) => {
      const decided = serving.decideCall({
        ...inputs,
        endpoints: endpoints.map((each) => ({ ...each, endpoint: each })),
      });
      if (decided.isErr()) {
        assert.ok(decided.error.retryAfterMs >= 50 && decided.error.retryAfterMs <= 3_750);
        return;
      }
      const { endpoint: chosen, predictedMs } = decided.value;
      assert.ok(predictedMs >= 1 && Number.isFinite(predictedMs));
      if (chosen !== undefined) assert.ok(chosen.running < chosen.limit && inputs.ahead === 0);
    }),
  );
});

suite.run();
