import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("placing prompts");
const MEMORY_TOKENS = 500_000;

function engine(id: string, role: serving.EngineRole): serving.Endpoint {
  return { id, service: "s", address: `${id}:1`, dataCentre: "a", slots: 64, role, leaving: false };
}

const FLEET = [
  engine("p1", serving.EngineRole.Prefill),
  engine("p2", serving.EngineRole.Prefill),
  engine("d1", serving.EngineRole.Decode),
  engine("d2", serving.EngineRole.Decode),
];

function prompt(group: string, own: string, ownTokens: number): serving.Prompt {
  const parts = [
    { id: `root-${group}`, tokens: 500 },
    { id: group, tokens: 5_000 },
    { id: own, tokens: ownTokens },
  ];
  return { model: "m", parts, promptTokens: 5_500 + ownTokens, outputTokens: 100 };
}

function place(
  loads: serving.EngineLoadTracker,
  of: serving.Prompt,
  engines = FLEET,
  maxPauseMs = 300,
): serving.EnginePlan {
  const plan = serving.placePrompt({
    prompt: of,
    engines,
    loads,
    memoryTokens: MEMORY_TOKENS,
    speeds: new serving.EngineSpeeds(),
    slowness: () => 1,
    dataCentre: "a",
    maxPauseMs,
    now: 0,
  });
  if (plan === undefined) throw new Error("no plan");
  return plan;
}

// The load: many callers ask about the same few dossiers. Read at whichever engine is free, each dossier would be
// read at all of them; kept at its home, it is read once.
suite("prompts that share a dossier are read at one engine, and the dossier once", () => {
  const loads = new serving.EngineLoadTracker();
  let unread = 0;
  const readers = new Map<string, Set<string>>();
  for (let index = 0; index < 120; index++) {
    const group = `dossier-${index % 12}`;
    const plan = place(loads, prompt(group, `own-${index}`, 1_000));
    const reader = (plan.prefillEngine ?? plan.decodeEngine).id;
    loads.noteCachedPrompt(reader, MEMORY_TOKENS, prompt(group, `own-${index}`, 1_000));
    readers.set(group, (readers.get(group) ?? new Set()).add(reader));
    unread += plan.unreadTokens;
  }
  assert.is(Math.max(...[...readers.values()].map((each) => each.size)), 1);
  assert.is(unread, 120 * 1_000 + 12 * 5_500);
});

// The load: a decode engine streams to many callers. Every piece of a prompt read there delays all their tokens;
// without counting that, long answers missed their deadlines.
suite("a prompt is read apart when reading it here would hold up many streams", () => {
  const loads = new serving.EngineLoadTracker();
  // Its shared parts are cached everywhere, and the prefill engines have some tokens to read before it.
  for (const { id } of FLEET) loads.noteCachedPrompt(id, MEMORY_TOKENS, prompt("g", "before", 10));
  for (const id of ["p1", "p2"]) loads.beginPrefill(id, 4_000, 0);
  const own = prompt("g", "own", 800);
  assert.is(place(loads, own).prefillEngine, undefined);
  for (const id of ["d1", "d2"]) for (let stream = 0; stream < 40; stream++) loads.beginRequest(id);
  assert.is(place(loads, own).prefillEngine?.role, serving.EngineRole.Prefill);
});

// The load: prompts of some thousand tokens beside streams whose callers bear short pauses only. An event waits for all
// that is read between its tokens, so one such prompt makes all streams of its engine late.
suite("a prompt is read apart when the events beside it would be late, and a short one is not", () => {
  const loads = new serving.EngineLoadTracker();
  for (const { id } of FLEET) loads.noteCachedPrompt(id, MEMORY_TOKENS, prompt("g", "before", 10));
  for (const id of ["p1", "p2"]) loads.beginPrefill(id, 8_000, 0);
  for (const id of ["d1", "d2"]) for (let stream = 0; stream < 4; stream++) loads.beginRequest(id);
  assert.is(place(loads, prompt("g", "own", 300)).prefillEngine, undefined);
  const long = prompt("g", "own", 3_000);
  assert.is(place(loads, long).prefillEngine, undefined);
  assert.is(place(loads, long, FLEET, 100).prefillEngine?.role, serving.EngineRole.Prefill);
});

suite("a prompt is read where its tokens are made if no engine reads apart", () => {
  const plan = place(new serving.EngineLoadTracker(), prompt("g", "own", 1_000), FLEET.slice(2));
  assert.is(plan.prefillEngine, undefined);
});

suite("no plan without an engine that makes tokens", () => {
  const inputs = { prompt: prompt("g", "o", 10), engines: FLEET.slice(0, 2), loads: new serving.EngineLoadTracker() };
  const rest = {
    memoryTokens: MEMORY_TOKENS,
    speeds: new serving.EngineSpeeds(),
    slowness: () => 1,
    dataCentre: "a",
    maxPauseMs: 300,
    now: 0,
  };
  assert.is(serving.placePrompt({ ...inputs, ...rest }), undefined);
});

// A peer dies with work noted for it. Its word must expire, or the engine would look busy for ever.
suite("a peer's work counts until its word is old", () => {
  const loads = new serving.EngineLoadTracker();
  loads.updatePeerWork("peer", new Map([["p1", { unread: [900], running: 3 }]]), 0);
  assert.is(loads.tokensAhead("p1", 0, 100), 900);
  assert.is(loads.tokensAhead("p1", 0, 100 + serving.PEER_WORK_EXPIRY_MS), 0);
});

suite("short prompts are more urgent than long ones", () => {
  const levels = [100, 600, 2_000, 9_000, 60_000].map((tokens) => serving.urgencyOf(tokens));
  assert.equal(
    levels,
    [...levels].sort((left, right) => left - right),
  );
  assert.ok((levels.at(-1) ?? 10) <= serving.LEAST_URGENT);
});

// The load: one dossier is asked about so often that its home engine falls behind while the others are idle. Reading it
// there again takes an engine away from others for hundreds of milliseconds; its memory can be copied in a few.
suite("a dossier whose home has fallen behind is copied, not read again", () => {
  const loads = new serving.EngineLoadTracker();
  const first = place(loads, prompt("dossier", "first", 1_000));
  const home = (first.prefillEngine ?? first.decodeEngine).id;
  loads.noteCachedPrompt(home, MEMORY_TOKENS, prompt("dossier", "first", 1_000), true);
  loads.beginPrefill(home, 400_000, 0);
  const plan = place(loads, prompt("dossier", "second", 1_000));
  assert.is(plan.copySource?.id, home);
  assert.is.not((plan.prefillEngine ?? plan.decodeEngine).id, home);
  assert.is(plan.unreadTokens, 1_000);
});

// A copy of what its home has not read yet brings nothing: the engine reads all of it, and the answer comes seconds
// later than predicted.
suite("a dossier that its home is still reading is not copied from there", () => {
  const loads = new serving.EngineLoadTracker();
  const first = place(loads, prompt("dossier", "first", 1_000));
  const home = (first.prefillEngine ?? first.decodeEngine).id;
  loads.noteCachedPrompt(home, MEMORY_TOKENS, prompt("dossier", "first", 1_000));
  loads.beginPrefill(home, 400_000, 0);
  assert.is(place(loads, prompt("dossier", "second", 1_000)).copySource, undefined);
});

// An engine finishes the prompt that it has begun before it turns to a more urgent one. Short prompts beside long ones
// took 140 to 190 ms where 45 had been predicted.
suite("a short prompt waits for the long one that its engine has begun", () => {
  const loads = new serving.EngineLoadTracker();
  assert.is(loads.tokensBegun("p1", 2, 0), 0);
  loads.beginPrefill("p1", 30_000, 7);
  const begun = loads.tokensBegun("p1", 2, 0);
  assert.ok(begun > 5_000 && begun <= 15_000, `${begun}`);
  assert.is(loads.tokensBegun("p1", 7, 0), 0);
});

suite.run();
