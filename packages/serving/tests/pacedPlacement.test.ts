import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("pacing of colocated prefills");

const SERVICE = "s";
const PAUSE_MS = 150;
const NOW = 1_000;
const SLOTS = 16;

function engine(id: string, role: serving.EngineRole): serving.Endpoint {
  return { id, service: SERVICE, address: `${id}:1`, dataCentre: "a", slots: SLOTS, role, leaving: false };
}

const P1 = engine("p1", serving.EngineRole.Prefill);
const D1 = engine("d1", serving.EngineRole.Decode);
const D2 = engine("d2", serving.EngineRole.Decode);

function prompt(tokens: number): serving.Prompt {
  return { model: "m", parts: [{ id: "own", tokens }], promptTokens: tokens, outputTokens: 10 };
}

/** A daemon's knowledge of a few engines: their work, their gaps and their speeds. */
class Knowledge {
  readonly loads = new serving.EngineLoadTracker();
  readonly tracker = new serving.PauseTracker();
  readonly budget = new serving.PrefillBudget(this.tracker, this.loads);
  readonly speeds = new serving.EngineSpeeds();

  /** Streams of this daemon at an engine. */
  run(of: serving.Endpoint, streams: number): void {
    for (let index = 0; index < streams; index++) this.loads.beginRequest(of.id);
  }

  reportSlow(of: serving.Endpoint): void {
    this.tracker.notePeer({ endpointId: of.id, ratio: 2.5, ageMs: 0, pauseMs: PAUSE_MS }, NOW);
  }

  /** Streams at another engine whose gaps were so many times as long as expected. */
  learnQuantile(ratio: number): void {
    const stream = this.tracker.beginStream("elsewhere", SERVICE, PAUSE_MS);
    for (let index = 0; index < 25; index++) this.tracker.recordEvent(stream, 40, index * 40 * ratio);
    this.tracker.endStream(stream);
  }

  send(to: serving.Endpoint, tokens: number, at = NOW): serving.PendingPrefill {
    const prefill = this.loads.beginPrefill(to.id, tokens, 0);
    this.budget.noteSend(prefill, at);
    return prefill;
  }

  pacing(senders = 1, pauseMs = PAUSE_MS): serving.PlacementPacing {
    const { speeds } = this;
    return new serving.PlacementPacing(this.budget, { service: SERVICE, speeds, pauseMs, senders, now: NOW });
  }

  inputs(engines: readonly serving.Endpoint[], of = prompt(500)): serving.PlacementInputs {
    return {
      prompt: of,
      engines,
      loads: this.loads,
      memoryTokens: 500_000,
      speeds: this.speeds,
      slowness: () => 1,
      isLimited: () => false,
      dataCentre: "a",
      maxPauseMs: PAUSE_MS,
      objectiveMs: 400,
      siteRule: serving.PREFILL_SITE_RULE,
      pacing: this.pacing(),
      now: NOW,
    };
  }
}

// Guards against prefills beside streams that they make pause for too long.
suite("a prompt goes to a prefill engine if the decode engine's budget doesn't cover it", () => {
  const knowledge = new Knowledge();
  knowledge.run(D1, 10);
  const expectedMs = serving.expectedGapMs(knowledge.speeds, 10);
  assert.equal(knowledge.pacing().budgetOf(D1).budgetMs, PAUSE_MS - expectedMs);
  knowledge.learnQuantile(1.5);
  assert.is(knowledge.pacing().budgetOf(D1).budgetMs, PAUSE_MS / 1.5 - expectedMs);
  const small = knowledge.inputs([P1, D1], prompt(500));
  assert.is(serving.placePaced(small)?.plan.prefillEngine, undefined);
  const larger = knowledge.inputs([P1, D1], prompt(2_000));
  assert.is(serving.placePrompt(larger)?.prefillEngine, undefined, "by predicted time alone");
  const placed = serving.placePaced(larger);
  assert.is(placed?.plan.prefillEngine, P1);
  assert.is(placed?.pacedFrom, D1);
});

// Guards against any prefill on an engine whose streams have no time left.
suite("a slow engine has no budget, and a prompt goes to one that has", () => {
  const knowledge = new Knowledge();
  knowledge.run(D1, 3);
  knowledge.run(D2, 5);
  assert.is(serving.placePaced(knowledge.inputs([D1, D2]))?.plan.decodeEngine, D1);
  knowledge.reportSlow(D1);
  const placed = serving.placePaced(knowledge.inputs([D1, D2]));
  assert.is(placed?.plan.decodeEngine, D2);
  assert.is(placed?.plan.prefillEngine, undefined);
  assert.is(knowledge.pacing().budgetOf(D1).budgetMs, 0);
});

// Guards against prompts and streams that starve because no engine has a budget.
suite("without any budget or prefill engine, predicted times alone decide", () => {
  const knowledge = new Knowledge();
  for (const each of [D1, D2]) {
    knowledge.run(each, 4);
    knowledge.reportSlow(each);
  }
  const inputs = knowledge.inputs([D1, D2]);
  const placed = serving.placePaced(inputs);
  assert.equal(placed?.plan, serving.placePrompt(inputs));
  assert.is(placed?.pacedFrom, undefined);
  const chosen = serving.choosePacedDecodeEngine(inputs, undefined);
  assert.is(chosen?.engine, serving.chooseDecodeEngine(inputs, undefined));
});

// Guards against prompts that time out in the queue of a prefill engine to spare the streams of a decode engine.
suite("a prefill engine that would take longer than the caller waits isn't used", () => {
  const knowledge = new Knowledge();
  knowledge.run(D1, 4);
  knowledge.reportSlow(D1);
  const inputs = knowledge.inputs([P1, D1]);
  assert.is(serving.placePaced(inputs)?.plan.prefillEngine, P1);
  knowledge.loads.beginPrefill(P1.id, 1_000_000, 0);
  assert.is(serving.placePaced(inputs)?.plan.prefillEngine, undefined);
});

// Guards against large prefills on engines that seem idle because what is known of them is a second old.
suite("an engine without known streams has no more than the budget of an idle one", () => {
  const knowledge = new Knowledge();
  const { budgetMs } = knowledge.pacing().budgetOf(D1);
  assert.is(budgetMs, PAUSE_MS - serving.expectedGapMs(knowledge.speeds, 0));
  assert.is(knowledge.pacing().covers(D1, 1_000_000), false);
});

suite("the budget is what the tightest stream leaves, divided by the service's quantile", () => {
  const knowledge = new Knowledge();
  knowledge.run(D1, 10);
  const expectedMs = serving.expectedGapMs(knowledge.speeds, 10);
  knowledge.learnQuantile(1.5);
  knowledge.tracker.beginStream(D1.id, SERVICE, 120);
  const { budgetMs, quantile } = knowledge.pacing().budgetOf(D1);
  assert.is(quantile, 1.5);
  assert.is(budgetMs, 120 / 1.5 - expectedMs);
});

// Guards against several daemons that use the same budget before they hear of each other's prefills.
suite("own sends since the last heartbeat count for each daemon that may send, three at most", () => {
  const knowledge = new Knowledge();
  knowledge.run(D1, 4);
  const { speeds, budget } = knowledge;
  const sentMs = speeds.prefillMs(D1.role, 500);
  const spent = (senders: number): number => Math.round(knowledge.pacing(senders).budgetOf(D1).spentMs / sentMs);
  const prefill = knowledge.send(D1, 500);
  assert.equal([1, 2, 3, 690].map(spent), [1, 2, 3, 3]);
  // The prefill is over, but falls between the same two events as the next.
  knowledge.loads.endPrefill(prefill);
  assert.equal([1, 2, 3, 690].map(spent), [1, 2, 3, 3]);
  budget.noteHeartbeat();
  assert.equal([1, 690].map(spent), [0, 0]);
  // Peers' pending prefills count once, own ones of which they know too.
  knowledge.loads.updatePeerWork("peer", new Map([[D1.id, { unread: [1_000], running: 2 }]]), NOW);
  knowledge.loads.beginPrefill(D1.id, 500, serving.LEAST_URGENT);
  assert.equal([1, 690].map(spent), [3, 3]);
});

// Guards against budgets that stay used up for a second in a fleet whose heartbeats are that rare.
suite("a send counts no longer than the streams may pause", () => {
  const knowledge = new Knowledge();
  knowledge.run(D1, 4);
  knowledge.loads.endPrefill(knowledge.send(D1, 500, NOW - serving.MAX_PACED_PAUSE_MS));
  assert.is(knowledge.pacing(3).budgetOf(D1).spentMs, 0);
});

// Guards against work of a daemon that is gone and uses up budgets for ever.
suite("what a peer had pending is free again when its report lapses", () => {
  const knowledge = new Knowledge();
  knowledge.run(D1, 4);
  const reportedAt = NOW - serving.PEER_WORK_EXPIRY_MS;
  knowledge.loads.updatePeerWork("peer", new Map([[D1.id, { unread: [9_000], running: 2 }]]), reportedAt);
  assert.is(knowledge.pacing().hasBudget(D1), true);
});

// Guards against streams that begin on an engine on which each event nearly uses up the pause.
suite("a stream goes to a decode engine that isn't slow and has a free slot, if there is one", () => {
  const knowledge = new Knowledge();
  knowledge.run(D1, 2);
  knowledge.run(D2, 4);
  knowledge.reportSlow(D1);
  const chosen = serving.choosePacedDecodeEngine(knowledge.inputs([P1, D1, D2]), P1);
  assert.is(chosen?.engine, D2);
  assert.is(chosen?.pacedFrom, D1);
  knowledge.run(D2, SLOTS - 4);
  assert.is(serving.choosePacedDecodeEngine(knowledge.inputs([P1, D1, D2]), P1)?.engine, D1);
});

// Guards against streams that begin on a slow engine because the budgets of all others are used up.
suite("where no budget is left, a stream goes to an engine that isn't slow", () => {
  const knowledge = new Knowledge();
  knowledge.run(D1, 2);
  knowledge.run(D2, 4);
  knowledge.reportSlow(D1);
  knowledge.send(D2, 5_000);
  assert.is(knowledge.pacing().hasBudget(D2), false);
  const inputs = knowledge.inputs([P1, D1, D2]);
  assert.is(serving.chooseDecodeEngine(inputs, P1), D1, "by predicted times");
  assert.is(serving.choosePacedDecodeEngine(inputs, P1)?.engine, D2);
});

// Guards against pacing on routes that don't call for it.
suite("prompts on routes with a limit on pauses above 150 ms are placed by predicted times alone", () => {
  assert.is(serving.isPaced(150), true);
  assert.is(serving.isPaced(151), false);
  const work = fastCheck.record({
    streams: fastCheck.nat(20),
    tokens: fastCheck.nat(20_000),
    slow: fastCheck.boolean(),
  });
  const states = fastCheck.tuple(work, work, work, fastCheck.integer({ min: 1, max: 30_000 }));
  fastCheck.assert(
    fastCheck.property(states, ([first, second, third, tokens]) => {
      const knowledge = new Knowledge();
      for (const [index, each] of [P1, D1, D2].entries()) {
        const { streams, tokens: pending, slow } = [first, second, third][index] ?? first;
        knowledge.run(each, streams);
        knowledge.send(each, pending);
        if (slow) knowledge.reportSlow(each);
      }
      const inputs = { ...knowledge.inputs([P1, D1, D2], prompt(tokens)), pacing: undefined, maxPauseMs: 151 };
      assert.equal(serving.placePaced(inputs), { plan: serving.placePrompt(inputs), pacedFrom: undefined });
      const chosen = serving.choosePacedDecodeEngine(inputs, P1);
      assert.equal(chosen, { engine: serving.chooseDecodeEngine(inputs, P1), pacedFrom: undefined });
    }),
  );
});

suite.run();
