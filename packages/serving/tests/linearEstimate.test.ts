import * as common from "@camphorcourse/common";
import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("linear estimates and engine speeds");

// A coefficient that became NaN made the reported load impossible to encode for the peers, and the uncaught error
// ended the daemon with all its requests.
suite("every coefficient stays finite and above 0, whatever is observed", () => {
  const observation = fastCheck.record({
    tokens: fastCheck.double({ min: 0, max: 1e6, noNaN: true }),
    streams: fastCheck.double({ min: 0, max: 1e4, noNaN: true }),
    took: fastCheck.double({ min: -1e6, max: 1e9 }),
    deviation: fastCheck.double({ min: 0, max: 1e7 }),
  });
  fastCheck.assert(
    fastCheck.property(fastCheck.array(observation, { maxLength: 300 }), (observations) => {
      const estimate = new serving.LinearEstimate([30, 15, 0.35, 0.5]);
      for (const { tokens, streams, took, deviation } of observations) {
        const features = [1, tokens / 1_000, (tokens * tokens) / 2e6, streams];
        estimate.learn(features, took, deviation);
        for (const coefficient of estimate.coefficients) {
          assert.ok(Number.isFinite(coefficient) && coefficient > 0, `${coefficient}`);
        }
      }
    }),
    { numRuns: 300, seed: 41 },
  );
});

// Prompts have 300 to 16,000 tokens, and a fifth of them are delayed by work that the daemon doesn't know of.
for (const [fixedMs, tokensPerMs, pairsMs] of [
  [10, 61, 0.32],
  [60, 92, 0.35],
  [5, 240, 0.1],
  [60, 15, 1.4],
  [120, 6, 3.5],
] as const) {
  suite(`a speed of ${tokensPerMs} tokens per millisecond is learned from 150 prompts`, () => {
    const speeds = new serving.EngineSpeeds();
    const random = new common.SeededRandom(7);
    for (let index = 0; index < 150; index++) {
      const [size, cached, draw] = [random.next(), random.next(), random.next()];
      const work = { unreadTokens: 300 * Math.exp(size * 4), cachedTokens: cached < 0.5 ? 0 : cached * 13_000 };
      const delayFactor = draw < 0.2 ? 1 + 5 * draw : 1;
      const tookMs = prefillMs(work, { fixedMs, tokensPerMs, pairsMs }) * delayFactor;
      speeds.learnPrefill(serving.EngineRole.Prefill, { ...work, tokensWaiting: 0, streams: 0, tookMs });
    }
    for (const unreadTokens of [1_000, 4_000, 16_000]) {
      const work = { unreadTokens, cachedTokens: 4_000 };
      const tokens = speeds.workTokens(serving.EngineRole.Prefill, work);
      const expected =
        speeds.fixedMs(serving.EngineRole.Prefill, 0) + speeds.prefillMs(serving.EngineRole.Prefill, tokens);
      const error = expected / prefillMs(work, { fixedMs, tokensPerMs, pairsMs }) - 1;
      assert.ok(Math.abs(error) < 0.15, `${unreadTokens} tokens: ${(error * 100).toFixed(0)}% off`);
    }
  });
}

// Engines that slow down to half of their speed make every prediction wrong by a factor of two. An estimate that has
// settled on a thousand prompts has to follow within dozens.
suite("an estimate follows engines that slow down by half within 80 prompts", () => {
  const speeds = new serving.EngineSpeeds();
  const fast = { fixedMs: 10, tokensPerMs: 61, pairsMs: 0.32 };
  const slow = { fixedMs: 20, tokensPerMs: 30.5, pairsMs: 0.64 };
  const random = new common.SeededRandom(3);
  for (let index = 0; index < 1_080; index++) {
    const work = { unreadTokens: 300 * Math.exp(random.next() * 4), cachedTokens: 2_000 };
    const tookMs = prefillMs(work, index < 1_000 ? fast : slow);
    speeds.learnPrefill(serving.EngineRole.Prefill, { ...work, tokensWaiting: 0, streams: 0, tookMs });
  }
  const { tokensPerMs } = speeds.prefillEstimate(serving.EngineRole.Prefill);
  assert.ok(Math.abs(tokensPerMs / slow.tokensPerMs - 1) < 0.15, `${tokensPerMs}`);
});

// Engines become six times slower as something else starts to run beside them. Requests are rejected by the predicted
// times, so that wrong estimates must not last for minutes.
suite("an estimate follows engines that become six times slower within 40 prompts", () => {
  const speeds = new serving.EngineSpeeds();
  const fast = { fixedMs: 10, tokensPerMs: 61, pairsMs: 0.32 };
  const slow = { fixedMs: 60, tokensPerMs: 10.2, pairsMs: 1.92 };
  const random = new common.SeededRandom(5);
  for (let index = 0; index < 1_040; index++) {
    const work = { unreadTokens: 300 * Math.exp(random.next() * 4), cachedTokens: 2_000 };
    const tookMs = prefillMs(work, index < 1_000 ? fast : slow);
    speeds.learnPrefill(serving.EngineRole.Prefill, { ...work, tokensWaiting: 0, streams: 0, tookMs });
  }
  const { tokensPerMs } = speeds.prefillEstimate(serving.EngineRole.Prefill);
  assert.ok(Math.abs(tokensPerMs / slow.tokensPerMs - 1) < 0.25, `${tokensPerMs}`);
});

interface Engine {
  readonly fixedMs: number;
  readonly tokensPerMs: number;
  readonly pairsMs: number;
}

function prefillMs(work: serving.PrefillWork, engine: Engine): number {
  const pairs = work.unreadTokens * (work.cachedTokens + work.unreadTokens / 2);
  return engine.fixedMs + work.unreadTokens / engine.tokensPerMs + (pairs / 1e6) * engine.pairsMs;
}

suite.run();
