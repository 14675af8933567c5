import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("prompts that a shortage would fall on");

const KIND = "audit";
/** How often one prompt of each length comes. */
const ROUNDS = 40;

const LONG_TOKENS = 40_000;
const SHORT_TOKENS = 4_000;

/** Unread tokens of short prompts at the engine, enough for several seconds. */
const QUEUE_TOKENS = 200_000;

const LIMITS: serving.PromptLimits = {
  kind: KIND,
  isLearned: true,
  callerTimeoutMs: 2_400,
  remainingMs: 5_000,
  routeMs: 5_000,
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

function placement(board: serving.EngineLoadTracker, tokens: number): serving.PlacementInputs {
  return {
    prompt: { model: "m", parts: [{ id: `own-${tokens}`, tokens }], promptTokens: tokens, outputTokens: 10 },
    engines: [ENGINE, { ...ENGINE, id: "d1", role: serving.EngineRole.Decode }],
    loads: board,
    memoryTokens: 500_000,
    speeds: new serving.EngineSpeeds(),
    slowness: () => 1,
    dataCentre: "a",
    maxPauseMs: 300,
    now: 0,
  };
}

function admit(
  board: serving.EngineLoadTracker,
  tokens: number,
  shares: serving.AcceptanceTracker,
  limits = LIMITS,
): ReturnType<typeof serving.admitPrompt> {
  const inputs = placement(board, tokens);
  const plan = serving.placePrompt(inputs);
  if (plan === undefined) throw new Error("no plan");
  return serving.admitPrompt(plan, inputs, limits, shares);
}

/** Both engines have prompts of medium length to read, for longer than callers wait. */
function busyBoard(): serving.EngineLoadTracker {
  const board = new serving.EngineLoadTracker();
  for (const id of ["p1", "d1"]) board.beginPrefill(id, QUEUE_TOKENS, serving.urgencyOf(10_000));
  return board;
}

// The load: engines have more to read than callers wait for, and what is read first is what is short. Every long prompt
// was turned away, and no short one, whatever their part in the shortage.
suite("long prompts are moved up once they are turned away much more often than their kind", () => {
  const board = busyBoard();
  const shares = new serving.AcceptanceTracker();
  const taken = Array.from({ length: ROUNDS }, () => {
    admit(board, SHORT_TOKENS, shares);
    return admit(board, LONG_TOKENS, shares);
  });
  const levels = taken.flatMap((result) => (result.isOk() ? [result.value.urgency] : []));
  // Users ask that a size is served half as often as its kind at least.
  const ofLong = levels.length / ROUNDS;
  const ofAll = (1 + ofLong) / 2;
  assert.ok(ofLong >= ofAll / 2 && ofLong < 1, `${levels.length} of ${ROUNDS}`);
  assert.ok(levels.every((level) => level < serving.urgencyOf(LONG_TOKENS)));
});

suite("a fleet that keeps up moves nothing up", () => {
  const shares = new serving.AcceptanceTracker();
  for (let index = 0; index < 20; index++) {
    const admitted = admit(new serving.EngineLoadTracker(), LONG_TOKENS / 4, shares);
    assert.is(admitted._unsafeUnwrap().urgency, serving.urgencyOf(LONG_TOKENS / 4));
  }
});

suite("what no level brings in time is turned away", () => {
  const board = new serving.EngineLoadTracker();
  for (const id of ["p1", "d1"]) board.beginPrefill(id, QUEUE_TOKENS, 0);
  const shares = new serving.AcceptanceTracker();
  for (let index = 0; index < 20; index++) assert.ok(admit(board, LONG_TOKENS, shares).isErr());
});

suite("what was seen long ago counts for little", () => {
  const shares = new serving.AcceptanceTracker();
  for (let index = 0; index < 10; index++) {
    shares.noteOffered(KIND, LONG_TOKENS, 0);
    shares.noteOffered(KIND, SHORT_TOKENS, 0);
    shares.noteTaken(KIND, SHORT_TOKENS, 0);
  }
  assert.is(shares.isBehind(KIND, LONG_TOKENS, 0), true);
  assert.is(shares.isBehind(KIND, LONG_TOKENS, 60_000), false);
});

// Each configuration may bring other kinds. Kept for ever, they would fill a daemon's memory in some days.
suite("kinds that are gone are forgotten", () => {
  const shares = new serving.AcceptanceTracker();
  for (let index = 0; index < 50_000; index++) shares.noteOffered(`kind-${index}`, SHORT_TOKENS, index * 100);
  assert.ok(shares.countsKept < 4_000, `${shares.countsKept} are kept`);
});

suite.run();
