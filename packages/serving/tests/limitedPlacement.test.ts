import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("prompts and calls beside endpoints that limit their requests");
const MEMORY_TOKENS = 500_000;
const PROMPT: serving.Prompt = {
  model: "m",
  parts: [
    { id: "shared", tokens: 5_000 },
    { id: "own", tokens: 4_000 },
  ],
  promptTokens: 9_000,
  outputTokens: 40,
};

function engine(id: string, role: serving.EngineRole): serving.Endpoint {
  return { id, service: "s", address: `${id}:1`, dataCentre: "a", slots: 64, role, leaving: false };
}

const PREFILL = [engine("p1", serving.EngineRole.Prefill), engine("p2", serving.EngineRole.Prefill)];
const DECODE = ["d1", "d2", "d3"].map((id) => engine(id, serving.EngineRole.Decode));

function inputs(engines: readonly serving.Endpoint[], limited: readonly string[]): serving.PlacementInputs {
  return {
    prompt: PROMPT,
    engines,
    loads: new serving.EngineLoadTracker(),
    memoryTokens: MEMORY_TOKENS,
    speeds: new serving.EngineSpeeds(),
    slowness: () => 1,
    isLimited: ({ id }) => limited.includes(id),
    dataCentre: "a",
    maxPauseMs: 50,
    objectiveMs: 400,
    siteRule: new serving.ShortestFirstEvent(),
    now: 0,
  };
}

// An engine's limit lets a prompt through now and then. If it stayed the preferred engine of the shared parts, they would
// be prefilled there for these prompts and on another engine for all others.
suite("an engine with a limit is no preferred engine while another one has none", () => {
  const preferred = serving.placePrompt(inputs(DECODE, []))?.decodeEngine.id ?? "";
  const other = serving.placePrompt(inputs(DECODE, [preferred]))?.decodeEngine.id;
  assert.is.not(other, preferred);
  const withoutIt = DECODE.filter(({ id }) => id !== preferred);
  assert.is(serving.placePrompt(inputs(withoutIt, [preferred]))?.decodeEngine.id, other);
});

// Between the prefill and the decoding, others may use up the decode engine's allowance: the prompt would have been
// prefilled in vain.
suite("no prompt is prefilled for decode engines that all limit their requests", () => {
  const engines = [...PREFILL, ...DECODE];
  assert.is(serving.placePrompt(inputs(engines, []))?.prefillEngine?.role, serving.EngineRole.Prefill);
  assert.is(serving.placePrompt(inputs(engines, ["d1", "d2", "d3"]))?.prefillEngine, undefined);
});

suite("a prefilled prompt goes on at an engine without a limit, and at one with a limit if there is no other", () => {
  assert.is(serving.chooseDecodeEngine(inputs(DECODE, ["d1", "d3"]), PREFILL[0])?.id, "d2");
  assert.ok(serving.chooseDecodeEngine(inputs(DECODE, ["d1", "d2", "d3"]), PREFILL[0]) !== undefined);
});

suite("a call goes to an endpoint without a limit until that one is busier", () => {
  const loads = new serving.EngineLoadTracker();
  const choose = (): string | undefined =>
    serving.leastBusy({
      endpoints: [engine("limited", serving.EngineRole.None), engine("free", serving.EngineRole.None)],
      loads,
      health: new serving.EndpointHealth(),
      isLimited: ({ id }) => id === "limited",
      dataCentre: "a",
      draw: () => 0,
      now: 0,
    })?.id;
  assert.is(choose(), "free");
  for (let call = 0; call < 3; call++) loads.beginRequest("free");
  assert.is(choose(), "limited");
});

suite.run();
