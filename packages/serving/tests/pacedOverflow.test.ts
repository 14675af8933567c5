import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("overflow of paced prompts between regions");

const SERVICE = "s";
const PAUSE_MS = 150;
const OBJECTIVE_MS = 400;
const NOW = 1_000;
const DATA_CENTRES = { a1: "a", b1: "b" };

function engine(dataCentre: string, role: serving.EngineRole): serving.Endpoint {
  const id = `${dataCentre}-${role}`;
  return { id, service: SERVICE, address: `${id}:1`, dataCentre, slots: 16, role, leaving: false };
}

const { Decode, Prefill } = serving.EngineRole;
const ENGINES = Object.keys(DATA_CENTRES).flatMap((each) => [engine(each, Prefill), engine(each, Decode)]);

/** What a daemon of data centre `a1` knows. */
class Knowledge {
  readonly loads = new serving.EngineLoadTracker();
  readonly tracker = new serving.PauseTracker();
  readonly speeds = new serving.EngineSpeeds();
  readonly #budget = new serving.PrefillBudget(this.tracker, this.loads);

  /** Takes all of the budget of a decode engine. */
  slowDown(dataCentre: string): void {
    const endpointId = engine(dataCentre, Decode).id;
    this.tracker.notePeer({ endpointId, ratio: 2.5, ageMs: 0, pauseMs: PAUSE_MS }, NOW);
  }

  queue(dataCentre: string, tokens: number, urgency: number): void {
    this.loads.beginPrefill(engine(dataCentre, Prefill).id, tokens, urgency);
  }

  inputs(tokens: number, isPaced = true): serving.PlacementInputs {
    const { loads, speeds } = this;
    const prompt = { model: "m", parts: [{ id: "own", tokens }], promptTokens: tokens, outputTokens: 10 };
    const budgets = { service: SERVICE, speeds, pauseMs: PAUSE_MS, senders: 1, now: NOW };
    return {
      prompt,
      engines: ENGINES,
      loads,
      memoryTokens: 500_000,
      speeds,
      slowness: () => 1,
      isLimited: () => false,
      dataCentre: "a1",
      distances: serving.distancesBetweenRegions({ dataCentre: "a1", dataCentres: DATA_CENTRES }),
      maxPauseMs: PAUSE_MS,
      objectiveMs: OBJECTIVE_MS,
      siteRule: serving.PREFILL_SITE_RULE,
      pacing: isPaced ? new serving.PlacementPacing(this.#budget, budgets) : undefined,
      now: NOW,
    };
  }
}

function shareThatLeaves(inputs: serving.PlacementInputs): number {
  const draws = Array.from({ length: 100 }, (_, index) => index / 100);
  const plans = draws.map((draw) => serving.placePromptByRegion(inputs, draw));
  return plans.filter((plan) => plan?.decodeEngine.dataCentre === "b1").length / draws.length;
}

// Guards against a shortage that isn't seen: beside a slow engine a prompt looks as if it were in time, and makes streams
// pause for too long while another region has budgets.
suite("where no budget of the region covers a prompt in time, it goes to a region whose budgets do", () => {
  const knowledge = new Knowledge();
  knowledge.slowDown("a1");
  knowledge.queue("a1", 60_000, 0);
  const inputs = knowledge.inputs(300);
  const regionOnly = { ...inputs, engines: ENGINES.filter(({ dataCentre }) => dataCentre === "a1") };
  const own = serving.placePaced(regionOnly);
  assert.is(own?.plan.prefillEngine, undefined);
  assert.ok((own?.plan.predictedMs ?? 0) < OBJECTIVE_MS && (own?.withinBudgetMs ?? 0) > OBJECTIVE_MS);
  assert.is(shareThatLeaves(inputs), 1);
});

// Guards against regions that exchange prompts which make streams pause for too long in each of them.
suite("a prompt stays where no region has a budget for it in time", () => {
  const knowledge = new Knowledge();
  for (const dataCentre of Object.keys(DATA_CENTRES)) knowledge.slowDown(dataCentre);
  knowledge.queue("a1", 150_000, 0);
  knowledge.queue("b1", 40_000, 0);
  assert.is(shareThatLeaves(knowledge.inputs(300)), 0);
});

// Guards against the wait of a wave that is predicted too late: prompts that were sent early were overtaken for seconds.
suite("work that a prompt overtakes and work that will overtake it make it leave its region", () => {
  const shareWith = (queue: readonly (readonly [tokens: number, urgency: number])[]): number => {
    const knowledge = new Knowledge();
    knowledge.slowDown("a1");
    for (const [tokens, urgency] of queue) knowledge.queue("a1", tokens, urgency);
    return shareThatLeaves(knowledge.inputs(600));
  };
  assert.is(shareWith([]), 0);
  assert.is(shareWith([[20_000, 9]]), 1, "overtaken");
  assert.is(shareWith([[3_000, 0]]), 1, "more urgent");
  assert.is(shareWith([[3_000, 2]]), 0, "as urgent");
});

// Guards against daemons that all switch at once to a region that has no room, from which the excess would come back.
suite("to a region without room the share grows over a whole objective", () => {
  const knowledge = new Knowledge();
  for (const dataCentre of Object.keys(DATA_CENTRES)) knowledge.slowDown(dataCentre);
  knowledge.queue("a1", 20_000, 9);
  knowledge.queue("b1", 8_000, 9);
  const share = shareThatLeaves(knowledge.inputs(600));
  assert.ok(share > 0 && share < 0.5, String(share));
});

// Guards against shared parts that each region prefills again because a few prompts of a wave leave for it.
suite("a prompt leaves later for a region that doesn't cache its shared parts", () => {
  const shareWith = (isCached: boolean): number => {
    const knowledge = new Knowledge();
    for (const dataCentre of Object.keys(DATA_CENTRES)) knowledge.slowDown(dataCentre);
    knowledge.queue("a1", 12_000, 9);
    const inputs = knowledge.inputs(500);
    const parts = [{ id: "shared", tokens: 3_000 }, ...inputs.prompt.parts];
    const prompt = { ...inputs.prompt, parts, promptTokens: 3_500 };
    for (const { dataCentre, id } of ENGINES)
      if (isCached || dataCentre === "a1") knowledge.loads.noteCachedPrompt(id, inputs.memoryTokens, prompt, true);
    return shareThatLeaves({ ...inputs, prompt });
  };
  assert.is(shareWith(true), 1);
  assert.is(shareWith(false), 0);
});

// Guards against prompts of twice the usual length that shorter ones overtake during a whole wave.
suite("a paced prompt of over 4,096 unread tokens is in one order with those half as long", () => {
  const knowledge = new Knowledge();
  const urgencyOf = (tokens: number, isPaced: boolean): number | undefined =>
    serving.placePromptByRegion(knowledge.inputs(tokens, isPaced), 0)?.urgency;
  const sizes = [300, 4_096, 4_097, 8_192, 8_193];
  assert.equal(
    sizes.map((tokens) => urgencyOf(tokens, true)),
    [1, 4, 4, 4, 5],
  );
  assert.equal(
    sizes.map((tokens) => urgencyOf(tokens, false)),
    [1, 4, 5, 5, 6],
  );
  // In a shortage, the order by size keeps most prompts in time.
  for (const { id } of ENGINES) knowledge.loads.beginPrefill(id, 60_000, 9);
  assert.is(urgencyOf(4_097, true), 5);
});

// Guards against other decisions for routes whose prompts aren't paced, and for deployments of one region.
suite("without pacing regions are compared by predicted times, and with one region urgencies are as before", () => {
  const work = fastCheck.array(fastCheck.tuple(fastCheck.nat(3), fastCheck.nat(60_000), fastCheck.nat(9)));
  const sizes = fastCheck.integer({ min: 1, max: 30_000 });
  fastCheck.assert(
    fastCheck.property(work, sizes, fastCheck.double({ min: 0, max: 0.999, noNaN: true }), (items, tokens, draw) => {
      const knowledge = new Knowledge();
      for (const [index, pending, urgency] of items)
        knowledge.loads.beginPrefill(ENGINES[index]?.id ?? "", pending, urgency);
      const inputs = knowledge.inputs(tokens, false);
      const planOf = (region: string): serving.EnginePlan | undefined =>
        serving.placePrompt({ ...inputs, engines: ENGINES.filter(({ dataCentre }) => dataCentre === region) });
      const [own, other] = [planOf("a1"), planOf("b1")];
      const share = serving.promptOverflowShare(own?.predictedMs ?? 0, other?.predictedMs ?? 0, OBJECTIVE_MS);
      assert.equal(serving.placePromptByRegion(inputs, draw), draw < share ? other : own);
      const oneRegion = { ...knowledge.inputs(tokens), distances: undefined };
      assert.equal(serving.placePacedByRegion(oneRegion, draw), serving.placePaced(oneRegion));
    }),
  );
});

suite.run();
