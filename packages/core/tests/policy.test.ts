import * as common from "@camphorcourse/common";
import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as core from "../src/index.js";

const POOL: core.PoolCapacity = {
  peerQueues: { tokens: 0, requests: 0 },
  tokensPerMs: 10,
  waitingTokens: 0,
  slots: 10,
  busySlots: 0,
  slotMs: 1000,
  daemons: 1,
};

function queued(id: string, change: Partial<core.QueuedRequest> = {}): core.QueuedRequest {
  return { id, priority: 5, deadline: 10_000, promptTokens: 1000, serviceMs: 500, ...change };
}

function engine(id: string, role = core.EndpointRole.Mixed): core.EndpointModel {
  const model = new core.EndpointModel(id, "halle-a", core.PRIOR_COSTS);
  model.role = role;
  return model;
}

const admissionSuite = uvu.suite("admission");

admissionSuite("the queue is ordered by priority, then by deadline, whatever the order of arrival", () => {
  const entry = fastCheck.record({ priority: fastCheck.integer({ min: 0, max: 9 }), deadline: fastCheck.nat(1000) });
  fastCheck.assert(
    fastCheck.property(fastCheck.array(entry, { maxLength: 30 }), (entries) => {
      const queue = new core.AdmissionQueue();
      entries.forEach((change, index) => {
        queue.add(queued(String(index), change));
      });
      let previous: core.QueuedRequest | undefined;
      for (let next = queue.first; next; next = queue.first) {
        queue.remove(next.id);
        if (previous) assert.ok(previous.priority >= next.priority);
        if (previous?.priority === next.priority) assert.ok(previous.deadline <= next.deadline);
        previous = next;
      }
    }),
    { seed: 1 },
  );
});

/*
 * More requests arrive than can meet their deadlines. Callers must be refused at
 * once with a retry delay, not held until the deadline and then refused.
 */
admissionSuite("a request that can't meet its deadline is refused at once with a retry delay", () => {
  const queue = new core.AdmissionQueue();
  for (let index = 0; index < 100; index++) queue.add(queued(String(index)));
  const estimate = queue.estimate(queued("late"), POOL, 0);
  assert.not(estimate.feasible);
  assert.ok(estimate.retryAfterMs > 0);
  const next = queue.estimate(queued("later"), POOL, 0);
  assert.ok(next.retryAfterMs > estimate.retryAfterMs, "retry delays are spread");
});

/*
 * A refused caller retries at the given time. Its reservation must have kept new
 * callers from taking the capacity.
 */
admissionSuite("a caller that retries at the given time finds its capacity reserved", () => {
  const queue = new core.AdmissionQueue();
  const busy = { ...POOL, waitingTokens: 120_000 };
  const refused = queue.estimate(queued("first", { promptTokens: 8000, fingerprint: "first" }), busy, 0);
  assert.not(refused.feasible);
  const now = refused.retryAfterMs;
  const tight = { ...POOL, waitingTokens: 92_000 };
  const deadline = now + 10_000;
  assert.not(queue.estimate(queued("new", { deadline, promptTokens: 8000 }), tight, now).feasible);
  const retried = queued("again", { deadline, promptTokens: 8000, fingerprint: "first" });
  assert.ok(queue.estimate(retried, tight, now).feasible);
});

/*
 * Long prompts wait at the other daemons. A short request at the head of its own
 * queue goes to the next engine with free capacity and must not be refused because of them.
 */
admissionSuite("work queued at other daemons is not ahead of a request at the head of this queue", () => {
  const queue = new core.AdmissionQueue();
  const busyPeers = { ...POOL, daemons: 3, peerQueues: { tokens: 200_000, requests: 40 } };
  assert.ok(queue.estimate(queued("short"), busyPeers, 0).feasible);
  queue.add(queued("ahead"));
  assert.not(queue.estimate(queued("second"), busyPeers, 0).feasible);
});

admissionSuite("a request that can no longer meet its deadline is removed before the deadline", () => {
  const queue = new core.AdmissionQueue();
  queue.add(queued("waits", { deadline: 1000, serviceMs: 400 }));
  assert.equal(queue.takeInfeasible(600), []);
  assert.is(queue.takeInfeasible(601)[0]?.id, "waits");
  assert.is(queue.length, 0);
});

admissionSuite.run();

const choiceSuite = uvu.suite("endpoint choice");
const work: core.WorkSize = { promptTokens: 1000, outputTokens: 50 };

/*
 * A crashed engine refuses connections faster than others answer, so it looks
 * least loaded. It must get no further requests during its backoff.
 */
choiceSuite("an unreachable engine is excluded for a backoff, and a request avoids engines at which it failed", () => {
  const choice = new core.EndpointChoice(new common.SeededRandom(1));
  const [dead, loaded] = [engine("dead"), engine("loaded")];
  loaded.onDispatched("other", { part: core.RequestPart.Whole, promptTokens: 500, outputTokens: 50, dispatchedAt: 0 });
  assert.is(choice.chooseWhole([dead, loaded], work, 0)?.answer.id, "dead");
  assert.is(choice.chooseWhole([dead, loaded], { ...work, avoid: new Set(["dead"]) }, 0)?.answer.id, "loaded");
  dead.onFailure(0, false);
  assert.is(choice.chooseWhole([dead, loaded], work, 1)?.answer.id, "loaded");
  assert.ok(dead.isUsable(60_000));
});

/*
 * Many short prompts each wait for one step. If this overhead made the engine look
 * slow for long prompts, requests would be refused unnecessarily.
 */
choiceSuite("short prompts don't make an engine look slow", () => {
  const model = engine("engine", core.EndpointRole.Prefill);
  const initialTokenMs = model.prefillTokenMs();
  for (let index = 0; index < 500; index++) {
    const now = index * 100;
    const short = index % 2 === 0;
    const promptTokens = short ? 1 : 6000;
    model.onDispatched(String(index), {
      part: core.RequestPart.Prefill,
      promptTokens,
      outputTokens: 0,
      dispatchedAt: now,
    });
    model.onEnded(String(index), now + (short ? 20 : 6000 * initialTokenMs));
  }
  assert.ok(model.prefillTokenMs() < initialTokenMs * 1.2);
});

choiceSuite.run();

const plannerSuite = uvu.suite("role planner");

function plannerAt(rate: core.Demand, seconds: number): core.RolePlanner {
  const planner = new core.RolePlanner();
  for (let second = 0; second < seconds; second++) planner.onRequests(core.scaled(rate, 1000), 10, second * 1000);
  return planner;
}

function endpointsWith(prefill: number, decode: number): core.PlannedEndpoint[] {
  return Array.from({ length: prefill + decode }, (_, index) => ({
    id: `engine-${index}`,
    role: index < prefill ? core.EndpointRole.Prefill : core.EndpointRole.Decode,
    inFlight: 0,
    changeable: true,
  }));
}

const DECODE_HEAVY: core.Demand = { prefillMs: 1, decodeMs: 3.2, mixedMs: 5 };

plannerSuite("a lasting demand shift changes an engine's role, but not if the change weight exceeds the gain", () => {
  const planner = plannerAt(DECODE_HEAVY, 60);
  const change = planner.plan(endpointsWith(3, 3), 5000, 0, 60_000);
  assert.is(change?.role, core.EndpointRole.Decode);
  assert.is(planner.plan(endpointsWith(3, 3), 5000, (change?.gain ?? 0) + 1, 60_000), undefined);
});

plannerSuite("a demand shift of one second changes no role", () => {
  const planner = plannerAt({ prefillMs: 2, decodeMs: 2, mixedMs: 4 }, 60);
  planner.onRequests(core.scaled(DECODE_HEAVY, 3000), 30, 60_000);
  assert.is(planner.plan(endpointsWith(3, 3), 5000, 10, 60_000), undefined);
});

plannerSuite("a role change is never reverted at the same demand", () => {
  const mix = fastCheck.record({
    prefillMs: fastCheck.double({ min: 0.1, max: 5, noNaN: true }),
    decodeMs: fastCheck.double({ min: 0.1, max: 5, noNaN: true }),
  });
  fastCheck.assert(
    fastCheck.property(mix, fastCheck.integer({ min: 1, max: 5 }), (demand, prefill) => {
      const planner = plannerAt({ ...demand, mixedMs: 1.25 * (demand.prefillMs + demand.decodeMs) }, 60);
      const endpoints = endpointsWith(prefill, 6 - prefill);
      const change = planner.plan(endpoints, 5000, 0, 60_000);
      if (!change) return;
      const from = endpoints.find((endpoint) => endpoint.id === change.endpoint)?.role;
      const changed = endpoints.map((endpoint) =>
        endpoint.id === change.endpoint ? { ...endpoint, role: change.role } : endpoint,
      );
      const next = planner.plan(changed, 5000, 0, 60_000);
      assert.not(next?.endpoint === change.endpoint && next.role === from);
    }),
    { seed: 7, numRuns: 300 },
  );
});

plannerSuite("the last prefill and the last decode engine never change their role", () => {
  const planner = plannerAt(DECODE_HEAVY, 60);
  assert.is(planner.plan(endpointsWith(1, 1), 5000, 0, 60_000), undefined);
});

plannerSuite.run();

const budgetSuite = uvu.suite("retry budget");

/*
 * If each request were tried three times while all endpoints fail, the load would
 * triple. The budget limits retries to a tenth of the requests.
 */
budgetSuite("retries stay within a tenth of the requests", () => {
  const budget = new core.RetryBudget();
  let retries = 0;
  for (let request = 0; request < 1000; request++) {
    budget.earn();
    while (budget.spend()) retries++;
  }
  assert.ok(retries <= 1000 * core.constants.RETRY_RATIO + core.constants.RETRY_BURST);
});

budgetSuite.run();
