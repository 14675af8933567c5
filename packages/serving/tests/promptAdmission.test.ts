import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("prompt admission in a shortage");

const KIND = "audit";
/** Number of prompts of each length. */
const ROUNDS = 40;

const LONG_TOKENS = 40_000;
const SHORT_TOKENS = 4_000;

/** Unread tokens of other prompts at the engine, enough for several seconds. */
const QUEUE_TOKENS = 200_000;

const LIMITS: serving.PromptLimits = {
  kind: KIND,
  isLearned: true,
  callerTimeoutMs: 2_400,
  remainingMs: 5_000,
  draw: 0,
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

function admit(
  loads: serving.EngineLoadTracker,
  tokens: number,
  acceptance: serving.AcceptanceTracker,
  limits = LIMITS,
): ReturnType<typeof serving.admitPrompt> {
  const inputs = placement(loads, tokens);
  const plan = serving.placePrompt(inputs);
  if (plan === undefined) throw new Error("no plan");
  return serving.admitPrompt(plan, inputs, limits, acceptance);
}

/** Both engines have prompts of medium length queued, for longer than callers wait. */
function busyLoads(): serving.EngineLoadTracker {
  const loads = new serving.EngineLoadTracker();
  for (const id of ["p1", "d1"]) loads.beginPrefill(id, QUEUE_TOKENS, serving.urgencyOf(10_000));
  return loads;
}

// Engines have more work queued than callers wait for, and prefill short prompts first. Without a correction every long
// prompt would be rejected and no short one, whatever their part in the shortage.
suite("long prompts get more urgent once they are rejected much more often than their kind", () => {
  const loads = busyLoads();
  const acceptance = new serving.AcceptanceTracker();
  const admitted = Array.from({ length: ROUNDS }, () => {
    admit(loads, SHORT_TOKENS, acceptance);
    return admit(loads, LONG_TOKENS, acceptance);
  });
  const urgencies = admitted.flatMap((result) => (result.isOk() ? [result.value.urgency] : []));
  // Users require that each size is accepted at least half as often as its kind.
  const ofLong = urgencies.length / ROUNDS;
  const ofAll = (1 + ofLong) / 2;
  assert.ok(ofLong >= ofAll / 2 && ofLong < 1, `${urgencies.length} of ${ROUNDS}`);
  assert.ok(urgencies.every((urgency) => urgency < serving.urgencyOf(LONG_TOKENS)));
});

suite("a fleet without a shortage changes no urgency", () => {
  const acceptance = new serving.AcceptanceTracker();
  for (let index = 0; index < 20; index++) {
    const admitted = admit(new serving.EngineLoadTracker(), LONG_TOKENS / 4, acceptance);
    assert.is(admitted._unsafeUnwrap().urgency, serving.urgencyOf(LONG_TOKENS / 4));
  }
});

suite("a prompt that is late at every urgency is rejected", () => {
  const loads = new serving.EngineLoadTracker();
  for (const id of ["p1", "d1"]) loads.beginPrefill(id, QUEUE_TOKENS, 0);
  const acceptance = new serving.AcceptanceTracker();
  for (let index = 0; index < 20; index++) assert.ok(admit(loads, LONG_TOKENS, acceptance).isErr());
});

suite("old counts have little weight", () => {
  const acceptance = new serving.AcceptanceTracker();
  for (let index = 0; index < 10; index++) {
    acceptance.noteDecision(KIND, LONG_TOKENS, false, 0);
    acceptance.noteDecision(KIND, SHORT_TOKENS, true, 0);
  }
  assert.is(acceptance.isUnderserved(KIND, LONG_TOKENS, 0), true);
  assert.is(acceptance.isUnderserved(KIND, LONG_TOKENS, 60_000), false);
});

// Each configuration may define other kinds. Without pruning, their counts would fill a daemon's memory in some days.
suite("counts of kinds that no longer occur are deleted", () => {
  const acceptance = new serving.AcceptanceTracker();
  for (let index = 0; index < 50_000; index++)
    acceptance.noteDecision(`kind-${index}`, SHORT_TOKENS, true, index * 100);
  assert.ok(acceptance.countsKept < 4_000, `${acceptance.countsKept} are kept`);
});

suite.run();
