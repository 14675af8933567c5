import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const MEMORY_TOKENS = 10_000;

const suite = uvu.suite("memory of engines");

function engine(id: string, role = serving.EngineRole.Decode): serving.Endpoint {
  return { id, service: "s", address: id, dataCentre: "a", slots: 8, role, leaving: false };
}

function choose(engines: readonly serving.Endpoint[], tokens: number, held: Record<string, number>): string[] {
  return serving.enginesWithRoom(engines, tokens, MEMORY_TOKENS, (id) => held[id] ?? 0).map(({ id }) => id);
}

suite("an engine whose requests would exceed its memory is left out", () => {
  const engines = [engine("full"), engine("free"), engine("exact")];
  assert.equal(choose(engines, 2_000, { full: 8_001, exact: 8_000 }), ["free", "exact"]);
});

suite("where none has room, all stay, for each kind of engine by itself", () => {
  const prefill = [engine("p1", serving.EngineRole.Prefill), engine("p2", serving.EngineRole.Prefill)];
  const decode = [engine("d1"), engine("d2")];
  assert.equal(choose([...prefill, ...decode], 2_000, { p1: 9_000, p2: 9_000, d1: 9_000 }), ["p1", "p2", "d2"]);
  assert.equal(choose(decode, 20_000, {}), ["d1", "d2"]);
});

suite("what own and peers' requests hold counts until they end or the peer's report expires", () => {
  const loads = new serving.EngineLoadTracker();
  loads.beginRequest("e", 3_000);
  loads.beginRequest("e", 2_000);
  assert.is(loads.heldTokens("e", 0), 5_000);
  assert.is(loads.ownWork().get("e")?.heldTokens, 5_000);
  loads.updatePeerWork("vm-2", new Map([["e", { unread: [], running: 1, heldTokens: 4_000 }]]), 0, 700);
  loads.updatePeerWork("vm-3", new Map([["e", { unread: [], running: 1 }]]), 0, 700);
  assert.is(loads.heldTokens("e", 0), 9_000);
  loads.endRequest("e", 3_000);
  assert.is(loads.heldTokens("e", 0), 6_000);
  assert.is(loads.heldTokens("e", 1_000), 2_000);
  loads.endRequest("e", 2_000);
  assert.is(loads.heldTokens("e", 1_000), 0);
});

suite.run();
