import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("endpoints that rest");

function endpoint(id: string, options: Partial<serving.Endpoint> = {}): serving.Endpoint {
  const role = serving.EngineRole.Decode;
  return { id, service: "s", address: `${id}:1`, dataCentre: "a", slots: 8, role, leaving: false, ...options };
}

const ENGINE = endpoint("e1", { bornAt: 1 });
const OTHER = endpoint("e2");
const PREFILL = endpoint("p1", { role: serving.EngineRole.Prefill });

// Several refusals of a burst are answered out of order, and some ask for less than others.
suite("of rests that overlap the one that ends last counts, in any order", () => {
  const statement = fastCheck.record({
    at: fastCheck.integer({ min: 0, max: 2_000 }),
    restMs: fastCheck.integer({ min: 0, max: 3_000 }),
  });
  fastCheck.assert(
    fastCheck.property(fastCheck.array(statement, { minLength: 1, maxLength: 10 }), (statements) => {
      const rests = new serving.RestTable();
      const ordered = [...statements].sort((left, right) => left.at - right.at);
      for (const { at, restMs } of ordered) rests.note(ENGINE, restMs, at, 0);
      const until = Math.max(...ordered.map(({ at, restMs }) => at + restMs));
      const now = Math.max(...ordered.map(({ at }) => at));
      assert.is(rests.waitMs(ENGINE, now), Math.max(0, until - now));
      assert.not.ok(rests.isResting(ENGINE, until));
    }),
    { seed: 46 },
  );
});

suite("an answer that comes from before the rest doesn't end it, nor what follows its end at once", () => {
  const rests = new serving.RestTable();
  rests.note(ENGINE, 1_000, 0, 0);
  assert.not.ok(rests.noteTaken(ENGINE, -10));
  assert.is(rests.waitMs(ENGINE, 400), 600);
  rests.noteSent(ENGINE, 1_000);
  assert.ok(rests.waitMs(ENGINE, 1_001) > 0, "one request tries it");
  assert.ok(rests.noteTaken(ENGINE, 1_000));
  assert.is(rests.waitMs(ENGINE, 1_002), 0);
  assert.is(rests.count, 0);
});

// All daemons are turned away in one moment and would return in one moment.
suite("daemons try an endpoint at different moments after its rest", () => {
  const waitMs = (draw: number): number => {
    const rests = new serving.RestTable();
    rests.note(ENGINE, 3_000, 0, draw);
    return rests.waitMs(ENGINE, 0);
  };
  assert.is(waitMs(0), 3_000);
  assert.is(waitMs(0.5), 3_150);
});

suite("a rest belongs to one incarnation", () => {
  const rests = new serving.RestTable();
  rests.note(ENGINE, 1_000, 0, 0);
  assert.is(rests.waitMs({ ...ENGINE, bornAt: 2 }, 0), 0);
  assert.is(rests.waitMs({ ...ENGINE, address: "e9:1" }, 0), 0);
});

suite("a rest of zero is none, and one of days ends after the longest that is kept", () => {
  const rests = new serving.RestTable();
  assert.is(rests.note(ENGINE, 0, 0, 0), undefined);
  assert.is(rests.note(ENGINE, 1e9, 0, 0)?.remainingMs, serving.MAX_REST_MS);
  assert.not.ok(rests.isResting(ENGINE, serving.MAX_REST_MS));
});

suite("the number of rests is bounded", () => {
  const rests = new serving.RestTable();
  for (let index = 0; index < 5_000; index++) rests.note(endpoint(`e${index}`), 1_000, 0, 0);
  assert.is(rests.count, 4_096);
});

suite("only where all that could answer rest, a request is held back", () => {
  const rests = new serving.RestTable();
  rests.note(ENGINE, 1_000, 0, 0);
  assert.equal(serving.selectAwake(rests, [ENGINE, OTHER, PREFILL], 0), { awake: [OTHER, PREFILL], restMs: undefined });
  assert.equal(serving.selectAwake(rests, [ENGINE, PREFILL], 100), { awake: [PREFILL], restMs: 900 });
  assert.equal(serving.selectAwake(rests, [PREFILL], 0), { awake: [PREFILL], restMs: undefined });
});

suite("a request waits for the end of a rest only if it can still be answered in time", () => {
  const inputs = { restMs: 80, remainingMs: 2_000, elapsedMs: 10, route: { objectiveMs: 200 }, draw: 0.5 };
  assert.is(serving.decideRestWait(inputs).unwrapOr(0), 80);
  for (const restMs of [120, 3_000]) {
    const rejected = serving.decideRestWait({ ...inputs, restMs });
    assert.is(rejected.isErr() ? rejected.error.retryAfterMs : 0, restMs + 250);
  }
});

suite("the gate asks for leaving, rest and limit", () => {
  const directory = new serving.EndpointDirectory();
  const rests = new serving.RestTable();
  const division = new serving.FewSenders();
  const table = new serving.LimitTable();
  const senders = ["vm-1"];
  const enforcer = new serving.LimitEnforcer({ table, division, own: "vm-1", senders: () => senders, unixMs: () => 0 });
  const gate = new serving.SendGate({ directory, rests, enforcer });
  assert.is(gate.waitMs(ENGINE, 0), 0);
  rests.note(ENGINE, 500, 0, 0);
  assert.is(gate.waitMs(ENGINE, 0), 500);
  assert.not.ok(gate.mayReceive(ENGINE, false, 0));
  directory.put(OTHER, 1);
  directory.markLeaving(OTHER);
  assert.is(gate.waitMs(OTHER, 0), Infinity);
  assert.ok(gate.mayReceive(OTHER, false, 0));
  assert.not.ok(gate.mayReceive(OTHER, true, 0));
  const stated = { statement: serving.LimitStatement.Stated as const, requestsPerSecond: 1 };
  table.noteAnswer(PREFILL, { call: serving.AnsweredCall.Run, stated, isSuccess: true, versionAtSend: 0 }, 0, 0);
  assert.ok(gate.waitMs(PREFILL, 0) > 0);
});

suite.run();
