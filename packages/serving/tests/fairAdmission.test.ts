import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("admission by rank, share and size");

const LIMITS: serving.PromptLimits = {
  kind: "chat",
  isLearned: true,
  callerTimeoutMs: 2_400,
  remainingMs: 5_000,
  draw: 0,
};

const STANDING: serving.Standing = {
  rank: 0,
  rankShift: 0,
  balance: serving.RankBalance.Even,
  share: { ofFairShare: 1, isShortage: false, isUneven: false },
  rejections: 0,
  mayBePromoted: true,
};

const ENGINE: serving.Endpoint = {
  id: "p1",
  service: "s",
  address: "p1:1",
  dataCentre: "a",
  slots: 64,
  role: serving.EngineRole.Prefill,
  leaving: false,
};

function placement(loads: serving.EngineLoadTracker, tokens: number): serving.PlacementInputs {
  return {
    prompt: { model: "m", parts: [{ id: `own-${tokens}`, tokens }], promptTokens: tokens, outputTokens: 10 },
    engines: [ENGINE, { ...ENGINE, id: "d1", role: serving.EngineRole.Decode }],
    loads,
    memoryTokens: 500_000,
    speeds: new serving.EngineSpeeds(),
    slowness: () => 1,
    isLimited: () => false,
    dataCentre: "a",
    maxPauseMs: 300,
    objectiveMs: 400,
    siteRule: new serving.ShortestFirstEvent(),
    now: 0,
  };
}

function queued(tokens: number, urgency = serving.MOST_URGENT): serving.EngineLoadTracker {
  const loads = new serving.EngineLoadTracker();
  for (const id of ["p1", "d1"]) loads.beginPrefill(id, tokens, urgency);
  return loads;
}

interface Placed {
  readonly plan: serving.EnginePlan;
  readonly inputs: serving.PlacementInputs;
}

function place(loads: serving.EngineLoadTracker, tokens: number): Placed {
  const inputs = placement(loads, tokens);
  const plan = serving.placePrompt(inputs);
  if (plan === undefined) throw new Error("no plan");
  return { plan, inputs };
}

function decide(loads: serving.EngineLoadTracker, tokens: number, standing: serving.Standing): serving.FairDecision {
  const { plan, inputs } = place(loads, tokens);
  return serving.admitByShare(plan, inputs, LIMITS, standing, new serving.AcceptanceTracker());
}

/** Queues work until a prompt of that length is predicted to start at a part of the callers' timeout. */
function queuedForPart(part: number, tokens: number): serving.EngineLoadTracker {
  let [low, high] = [0, 1e7];
  for (let step = 0; step < 60; step++) {
    const middle = (low + high) / 2;
    if (place(queued(middle), tokens).plan.predictedMs < part * LIMITS.callerTimeoutMs) low = middle;
    else high = middle;
  }
  return queued(low);
}

const TOKENS = 1_000;

// Guards against an organisation at ten times its share that gets the engines' queue filled up to where all are rejected.
suite("in a shortage the room that a request finds depends on its organisation's share", () => {
  const accepts = (part: number, ofFairShare: number): boolean => {
    const share = { ofFairShare, isShortage: true, isUneven: true };
    return decide(queuedForPart(part, TOKENS), TOKENS, { ...STANDING, share }).admitted.isOk();
  };
  assert.equal(
    [0.74, 0.76].map((part) => accepts(part, 0.5)),
    [true, false],
  );
  assert.equal(
    [0.54, 0.56].map((part) => accepts(part, 1.5)),
    [true, false],
  );
  assert.equal(
    [0.34, 0.36].map((part) => accepts(part, 10)),
    [true, false],
  );
});

const standings = fastCheck.record({
  rank: fastCheck.nat({ max: 5 }),
  rankShift: fastCheck.nat({ max: 5 }),
  balance: fastCheck.constantFrom(...Object.values(serving.RankBalance)),
  share: fastCheck.record({ ofFairShare: fastCheck.double({ min: 0, max: 20, noNaN: true }) }),
  rejections: fastCheck.nat({ max: 5 }),
  mayBePromoted: fastCheck.boolean(),
});

// Guards against a rejection that rank or share alone cause while the engines have room for all.
suite("without a shortage everything is accepted that is accepted by size alone", () => {
  fastCheck.assert(
    fastCheck.property(
      standings,
      fastCheck.integer({ min: 1, max: 60_000 }),
      fastCheck.integer({ min: 0, max: 400_000 }),
      fastCheck.nat({ max: serving.LEAST_URGENT }),
      (standing, tokens, ahead, urgency) => {
        const loads = queued(ahead, urgency);
        const { plan, inputs } = place(loads, tokens);
        const bySize = serving.admitPrompt(plan, inputs, LIMITS, new serving.AcceptanceTracker());
        const share = { ...standing.share, isShortage: false, isUneven: false };
        const { admitted } = decide(loads, tokens, { ...standing, share });
        if (bySize.isOk()) assert.is(admitted.isOk(), true);
      },
    ),
  );
});

// Guards against a flood of the lowest rank that goes before the others as its prompts are small, and against ranks
// that count for more than any size.
suite("rank shifts the urgency by two levels at most, share by one", () => {
  fastCheck.assert(
    fastCheck.property(
      fastCheck.nat({ max: serving.LEAST_URGENT }),
      fastCheck.nat({ max: 20 }),
      fastCheck.boolean(),
      (bySize, rankShift, isOverShare) => {
        const ordered = serving.orderedUrgency(bySize, { rankShift, isOverShare, rejections: 0 });
        const setBack = ordered - bySize;
        assert.ok(setBack >= 0 && setBack <= (isOverShare ? 3 : 2));
        assert.ok(ordered <= serving.LEAST_URGENT);
      },
    ),
  );
  const order = { rankShift: 5, isOverShare: false, rejections: 0 };
  assert.ok(serving.orderedUrgency(1, order) > serving.orderedUrgency(2, { ...order, rankShift: 0 }));
  assert.ok(serving.orderedUrgency(1, order) < serving.orderedUrgency(8, { ...order, rankShift: 0 }));
});

// Guards against a caller that is rejected each time it returns.
suite("the fourth attempt of a session is accepted first, up to the caller's whole timeout", () => {
  const loads = queuedForPart(0.95, TOKENS);
  const share = { ofFairShare: 1, isShortage: true, isUneven: true };
  const decided = [0, 1, 2, 3].map((rejections) => decide(loads, TOKENS, { ...STANDING, share, rejections }));
  assert.equal(
    decided.map(({ admitted }) => admitted.isOk()),
    [false, false, false, true],
  );
  const last = decided.at(-1);
  assert.is(last?.isPromoted, true);
  assert.is(last?.admitted._unsafeUnwrap().urgency, serving.MOST_URGENT);
});

// Guards against shares that are undone by the retries of the organisation that is held back, and against retries that
// make all others late.
suite("no session of an organisation far above its share is accepted first, nor one beyond the budget", () => {
  const loads = queuedForPart(0.9, TOKENS);
  const over = { ofFairShare: 10, isShortage: true, isUneven: true };
  const share = { ofFairShare: 1, isShortage: true, isUneven: true };
  assert.ok(decide(loads, TOKENS, { ...STANDING, share: over, rejections: 3 }).admitted.isErr());
  assert.ok(decide(loads, TOKENS, { ...STANDING, share, rejections: 3, mayBePromoted: false }).admitted.isErr());
});

// Guards against sessions that are accepted first until nothing else is.
suite("sessions that are accepted first take a tenth of the engine time in a lasting shortage", () => {
  const budget = new serving.PromotionBudget();
  let promotedMs = 0;
  let acceptedMs = 0;
  for (let now = 0; now < 60_000; now += 10) {
    const isPromoted = budget.isLeft;
    budget.noteAccepted(50, isPromoted, now);
    if (isPromoted) promotedMs += 50;
    else acceptedMs += 50;
  }
  assert.ok(promotedMs > 0 && promotedMs <= 0.1 * acceptedMs + 50);
});

const CONFIGURATION: serving.Configuration = {
  version: 1,
  services: [{ name: "s", maxConnections: 1, engine: undefined }],
  limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  routes: [2, 5].map((priority) => ({
    name: `r${priority}`,
    host: "h",
    pathPrefix: `/${priority}/`,
    requestClass: serving.RequestClass.Stream,
    resumable: false,
    carriesPrompt: true,
    timeoutMs: 1,
    objectiveMs: 1,
    pauseMs: 1,
    priority,
    attempts: 1,
    shares: [{ service: "s", weight: 1 }],
    isPublic: false,
  })),
};

// Guards against ranks in a deployment without organisations, which is served as before.
suite("the organisation's priority goes before the route's, and without organisations there are no ranks", () => {
  assert.equal(new serving.RankOrder(CONFIGURATION).ranksOf("s"), []);
  const organisations = [
    { name: "a", keyDigests: [], priority: 1 },
    { name: "b", keyDigests: [], priority: undefined },
  ];
  const order = new serving.RankOrder({ ...CONFIGURATION, organisations });
  assert.equal(order.ranksOf("s"), [1, 2, 5]);
  assert.equal(
    [1, 2, 5].map((rank) => order.shiftOf("s", rank)),
    [0, 1, 2],
  );
  assert.is(order.rankOf({ priority: 5 }, "a"), 1);
  assert.is(order.rankOf({ priority: 5 }, "b"), 5);
  assert.is(order.rankOf({ priority: 5 }, undefined), 5);
  // Where each organisation has the same priority and no route is public, there is only one rank.
  const equal = organisations.map((each) => ({ ...each, priority: 3 }));
  assert.equal(new serving.RankOrder({ ...CONFIGURATION, organisations: equal }).ranksOf("s"), [3]);
});

function countsOf(ranks: Readonly<Record<number, { offered: number; taken: number }>>): serving.AcceptanceTracker {
  const acceptance = new serving.AcceptanceTracker();
  for (const [rank, { offered, taken }] of Object.entries(ranks)) {
    const kind = serving.rankKind("s", Number(rank));
    acceptance.addPeerCount({ kind, sizeClass: 0, offered, taken }, 0);
  }
  return acceptance;
}

// Guards against a rank that is served less often than a less urgent one, as its prompts are longer.
suite("a rank that is served less often than a less urgent one is behind, and the other one ahead", () => {
  const acceptance = countsOf({ 0: { offered: 100, taken: 60 }, 5: { offered: 100, taken: 90 } });
  assert.is(serving.rankBalance("s", [0, 5], 0, acceptance, 0), serving.RankBalance.Behind);
  assert.is(serving.rankBalance("s", [0, 5], 5, acceptance, 0), serving.RankBalance.Ahead);
  const even = countsOf({ 0: { offered: 100, taken: 90 }, 5: { offered: 100, taken: 60 } });
  assert.is(serving.rankBalance("s", [0, 5], 0, even, 0), serving.RankBalance.Even);
  assert.is(serving.rankBalance("s", [0, 5], 5, even, 0), serving.RankBalance.Even);
  assert.is(serving.rankBalance("s", [0], 0, acceptance, 0), serving.RankBalance.Even);
});

// Guards against a lowest rank that gets nothing for as long as the others ask for all.
suite("the lowest rank is behind as long as it gets less than a tenth and asks for more", () => {
  const starved = countsOf({ 0: { offered: 100, taken: 95 }, 5: { offered: 100, taken: 5 } });
  assert.is(serving.rankBalance("s", [0, 5], 5, starved, 0), serving.RankBalance.Behind);
  const modest = countsOf({ 0: { offered: 100, taken: 95 }, 5: { offered: 5, taken: 5 } });
  assert.is(serving.rankBalance("s", [0, 5], 5, modest, 0), serving.RankBalance.Even);
});

suite.run();
