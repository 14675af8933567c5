import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("endpoints that may get a request now");

function endpoint(id: string, role = serving.EngineRole.Decode): serving.Endpoint {
  return { id, service: "s", address: `${id}:1`, dataCentre: "a", slots: 8, role, leaving: false, bornAt: 1 };
}

const LIMITED = endpoint("limited");
const FREE = endpoint("free");
const PREFILL = endpoint("prefill", serving.EngineRole.Prefill);

/** A limit of 2 a second, stated at 0, of which this daemon has everything. */
function enforcerWith(limited: serving.Endpoint, clock: { now: number }): serving.LimitEnforcer {
  const table = new serving.LimitTable();
  const stated = { statement: serving.LimitStatement.Stated as const, requestsPerSecond: 2 };
  const answer = { call: serving.AnsweredCall.Run, stated, isSuccess: true, versionAtSend: 0 };
  table.noteAnswer(limited, answer, 0, 0);
  const parts = { table, division: new serving.FewSenders(), own: "vm-1", senders: () => ["vm-1"] };
  const enforcer = new serving.LimitEnforcer({ ...parts, unixMs: () => clock.now });
  enforcer.refresh(0);
  return enforcer;
}

const idsOf = ({ ready }: serving.ReadySelection): string[] => ready.map(({ id }) => id);

suite("one whose allowance is used up is left out, and its limit summed up", () => {
  const selection = serving.selectReady(enforcerWith(LIMITED, { now: 0 }), [LIMITED, FREE], false, 0);
  assert.equal(idsOf(selection), ["free"]);
  assert.is(selection.limited?.limitPerSecond, 2);
  assert.ok((selection.limited?.readyInMs ?? 0) > 0);
});

suite("one whose limit was confirmed lately is one of several, one that was not is asked", () => {
  const clock = { now: 0 };
  const enforcer = enforcerWith(LIMITED, clock);
  clock.now = 1_900;
  assert.equal(idsOf(serving.selectReady(enforcer, [LIMITED, FREE, PREFILL], false, 1_900)), [
    "limited",
    "free",
    "prefill",
  ]);
  clock.now = 2_100;
  assert.equal(idsOf(serving.selectReady(enforcer, [LIMITED, FREE, PREFILL], false, 2_100)), ["limited", "prefill"]);
});

// A request that has just arrived would take the turn of those that wait.
suite("while others wait, none with a limit is selected", () => {
  const clock = { now: 1_900 };
  const selection = serving.selectReady(enforcerWith(LIMITED, clock), [LIMITED, FREE], true, 1_900);
  assert.equal(idsOf(selection), ["free"]);
});

suite("an engine that only prefills is nothing to wait for", () => {
  const selection = serving.selectReady(enforcerWith(PREFILL, { now: 0 }), [PREFILL], false, 0);
  assert.equal(selection, { ready: [], limited: undefined });
});

suite.run();
