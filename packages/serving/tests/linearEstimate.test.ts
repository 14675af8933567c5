import * as common from "@camphorcourse/common";
import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("estimates learned from what is seen");

// Daemons ended by themselves: an estimate had become no number, the load that it gave could not be told to the peers,
// and the error ended the process with all its requests. Whatever is observed, every coefficient stays a number.
suite("an estimate stays a finite number above 0, whatever it is taught", () => {
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

// The load: prompts of 300 to 16,000 tokens, a fifth of them delayed by work that nobody here knew of.
for (const [fixedMs, tokensPerMs, pairsMs] of [
  [10, 61, 0.32],
  [60, 92, 0.35],
  [5, 240, 0.1],
  [60, 15, 1.4],
  [120, 6, 3.5],
] as const) {
  suite(`engines that read ${tokensPerMs} tokens in a millisecond are known after 150 prompts`, () => {
    const speeds = new serving.EngineSpeeds();
    const random = new common.SeededRandom(7);
    for (let index = 0; index < 150; index++) {
      const [size, cached, luck] = [random.next(), random.next(), random.next()];
      const work = { unreadTokens: 300 * Math.exp(size * 4), cachedTokens: cached < 0.5 ? 0 : cached * 13_000 };
      const late = luck < 0.2 ? 1 + 5 * luck : 1;
      const tookMs = readingMs(work, { fixedMs, tokensPerMs, pairsMs }) * late;
      speeds.learnPrefill(serving.EngineRole.Prefill, { ...work, tokensWaiting: 0, streams: 0, tookMs });
    }
    for (const unreadTokens of [1_000, 4_000, 16_000]) {
      const work = { unreadTokens, cachedTokens: 4_000 };
      const tokens = speeds.workTokens(serving.EngineRole.Prefill, work);
      const expected =
        speeds.fixedMs(serving.EngineRole.Prefill, 0) + speeds.prefillMs(serving.EngineRole.Prefill, tokens);
      const error = expected / readingMs(work, { fixedMs, tokensPerMs, pairsMs }) - 1;
      assert.ok(Math.abs(error) < 0.15, `${unreadTokens} tokens: ${(error * 100).toFixed(0)}% off`);
    }
  });
}

// The engines slow down to half of their speed in the middle of a day, and every prediction is wrong by two from then
// on. An estimate that has settled on thousands of prompts has to follow within dozens.
suite("engines that slow down are followed within 80 prompts", () => {
  const speeds = new serving.EngineSpeeds();
  const fast = { fixedMs: 10, tokensPerMs: 61, pairsMs: 0.32 };
  const slow = { fixedMs: 20, tokensPerMs: 30.5, pairsMs: 0.64 };
  const random = new common.SeededRandom(3);
  for (let index = 0; index < 1_080; index++) {
    const work = { unreadTokens: 300 * Math.exp(random.next() * 4), cachedTokens: 2_000 };
    const tookMs = readingMs(work, index < 1_000 ? fast : slow);
    speeds.learnPrefill(serving.EngineRole.Prefill, { ...work, tokensWaiting: 0, streams: 0, tookMs });
  }
  const { tokensPerMs } = speeds.prefillEstimate(serving.EngineRole.Prefill);
  assert.ok(Math.abs(tokensPerMs / slow.tokensPerMs - 1) < 0.15, `${tokensPerMs}`);
});

// Engines become six times slower: something else has begun to run beside them. Callers are turned away by what is
// expected, so that the wrong figures must not last for minutes.
suite("engines that become far slower are followed within 40 prompts", () => {
  const speeds = new serving.EngineSpeeds();
  const fast = { fixedMs: 10, tokensPerMs: 61, pairsMs: 0.32 };
  const slow = { fixedMs: 60, tokensPerMs: 10.2, pairsMs: 1.92 };
  const random = new common.SeededRandom(5);
  for (let index = 0; index < 1_040; index++) {
    const work = { unreadTokens: 300 * Math.exp(random.next() * 4), cachedTokens: 2_000 };
    const tookMs = readingMs(work, index < 1_000 ? fast : slow);
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

function readingMs(work: serving.ReadingWork, engine: Engine): number {
  const pairs = work.unreadTokens * (work.cachedTokens + work.unreadTokens / 2);
  return engine.fixedMs + work.unreadTokens / engine.tokensPerMs + (pairs / 1e6) * engine.pairsMs;
}

suite.run();
