import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as experiment from "../src/index.js";

const suite = uvu.suite("organisations that compete for too little capacity");

const { Size, Share } = experiment.AdmittedBy;
const SEED = 1;
const ENGINES = 8;
const TOKENS_PER_SECOND = ENGINES * experiment.FAIRNESS_ENGINES.tokensPerMs * 1_000;
const TOKENS = 1_500;

/** One organisation at many times its share, five at twice, the others from a fifth of it to nearly twice. */
function unevenLoads(organisations: number, load: number, times = 10): experiment.OrganisationLoad[] {
  const parts = Array.from({ length: organisations }, (_, index) => {
    if (index === 0) return times;
    return index <= 5 ? 2 : 0.2 + (1.6 * (index - 6)) / (organisations - 7);
  });
  const sum = parts.reduce((total, part) => total + part, 0);
  const perPart = (load * TOKENS_PER_SECOND) / TOKENS / sum;
  return parts.map((part, index) => ({ name: `o${index}`, perSecond: part * perPart, promptTokens: TOKENS }));
}

function replay(
  admittedBy: experiment.AdmittedBy,
  scenario: Omit<experiment.FairnessScenario, "engines" | "admittedBy">,
): experiment.FairnessResult {
  return new experiment.FairnessReplay({ ...scenario, engines: ENGINES, admittedBy }, SEED).run();
}

interface Rates {
  readonly all: number;
  readonly large: number;
  readonly smallest: number;
  readonly others: number;
}

function ratesOf(
  result: experiment.FairnessResult,
  loads: readonly experiment.OrganisationLoad[],
  fromMs: number,
  untilMs: number,
): Rates {
  const rateOf = (organisations: readonly experiment.OrganisationLoad[]): number => {
    const names = organisations.map(({ name }) => name);
    const { asked, served } = result.countsOf(names, fromMs, untilMs);
    return served / asked;
  };
  return {
    all: rateOf(loads),
    large: rateOf(loads.slice(0, 1)),
    smallest: rateOf(loads.slice(6, 6 + Math.ceil(loads.length / 10))),
    others: rateOf(loads.slice(6)),
  };
}

/** Users accept that the smallest tenth of the organisations is served less often than all by so much. */
const TOLERANCE = 0.05;

// Guards against one organisation whose demand has the requests of all others rejected as often as its own.
for (const [daemons, organisations, times, fromMs, untilMs] of [
  [9, 83, 10, 6_000, 16_000],
  [69, 83, 10, 5_000, 11_000],
  // Ten times the share of one of 1,900 is a few requests a second, too few to see a difference in one replay.
  [69, 1_900, 100, 5_000, 11_000],
  [690, 83, 10, 3_000, 6_000],
] as const) {
  suite(
    `${daemons} daemons hold back the one of ${organisations} organisations that takes ${times} times its share`,
    () => {
      const loads = unevenLoads(organisations, 1.2, times);
      const rates = [Size, Share].map((admittedBy) =>
        ratesOf(
          replay(admittedBy, { daemons, organisations: loads, returns: 3, forMs: untilMs }),
          loads,
          fromMs,
          untilMs,
        ),
      );
      const [bySize, byShare] = rates;
      const shown = JSON.stringify(rates);
      if (bySize === undefined || byShare === undefined) throw new Error("no result");
      assert.ok(byShare.large < bySize.large, shown);
      assert.ok(byShare.others > bySize.others, shown);
      assert.ok(byShare.smallest >= byShare.all - TOLERANCE, shown);
    },
  );
}

// Guards against shares that hold on to the counts of a daemon which has died, or lose their effect with it.
suite("shares stay in effect when a daemon dies with its counts", () => {
  const loads = unevenLoads(83, 1.2);
  const scenario = { daemons: 9, organisations: loads, returns: 3, forMs: 16_000, dieAtMs: 8_000 };
  const rates = ratesOf(replay(Share, scenario), loads, 9_000, 16_000);
  assert.ok(rates.large < rates.others && rates.smallest >= rates.all - TOLERANCE, JSON.stringify(rates));
});

function rankedLoads(firstPriority: number, secondPriority: number): experiment.OrganisationLoad[] {
  const tenOf = (name: string, priority: number, load: number, tokens: number): experiment.OrganisationLoad[] =>
    Array.from({ length: 10 }, (_, index) => ({
      name: `${name}${index}`,
      priority,
      perSecond: (load * TOKENS_PER_SECOND) / tokens / 10,
      promptTokens: tokens,
    }));
  return [...tenOf("first", firstPriority, 0.6, TOKENS), ...tenOf("second", secondPriority, 1.4, 500)];
}

function servedOf(
  result: experiment.FairnessResult,
  loads: readonly experiment.OrganisationLoad[],
  fromMs: number,
  untilMs: number,
): { readonly first: number; readonly second: number; readonly secondOfAccepted: number } {
  const countsOf = (prefix: string): experiment.ServedCounts => {
    const names = loads.map(({ name }) => name).filter((name) => name.startsWith(prefix));
    return result.countsOf(names, fromMs, untilMs);
  };
  const [first, second] = [countsOf("first"), countsOf("second")];
  return {
    first: first.served / first.asked,
    second: second.served / second.asked,
    secondOfAccepted: second.served / (first.served + second.served),
  };
}

// Guards against small prompts of the lowest rank that go before the longer ones of the first rank and have them rejected.
suite(
  "in a flood of the lowest rank the first rank is served at least as often, and the lowest keeps its floor",
  () => {
    const loads = rankedLoads(0, 9);
    const scenario = { daemons: 9, organisations: loads, returns: 1, forMs: 12_000 };
    const [bySize, byShare] = [Size, Share].map((admittedBy) =>
      servedOf(replay(admittedBy, scenario), loads, 5_000, 12_000),
    );
    const shown = JSON.stringify([bySize, byShare]);
    if (bySize === undefined || byShare === undefined) throw new Error("no result");
    assert.ok(bySize.first < bySize.second - TOLERANCE, shown);
    assert.ok(byShare.first >= byShare.second - TOLERANCE, shown);
    assert.ok(byShare.secondOfAccepted >= 0.1, shown);
  },
);

// Guards against ranks that stay in force after the configuration has changed them.
suite("a configuration that changes ranks under load changes who is served", () => {
  const loads = rankedLoads(9, 0);
  const priorities = new Map(loads.map(({ name }) => [name, name.startsWith("first") ? 0 : 9]));
  const reranked = { atMs: 8_000, priorities };
  const result = replay(Share, { daemons: 9, organisations: loads, returns: 1, forMs: 18_000, reranked });
  const [before, after] = [servedOf(result, loads, 4_000, 8_000), servedOf(result, loads, 11_000, 18_000)];
  assert.ok(before.first < before.second, JSON.stringify([before, after]));
  assert.ok(after.first > before.first, JSON.stringify([before, after]));
});

// Guards against callers that are rejected each time that they return after an outage.
suite("after an outage no caller is rejected at each of its four attempts", () => {
  const loads = Array.from({ length: 20 }, (_, index) => ({
    name: `o${index}`,
    priority: index % 2,
    perSecond: (0.8 * TOKENS_PER_SECOND) / TOKENS / 20,
    promptTokens: TOKENS,
  }));
  const names = loads.map(({ name }) => name);
  const scenario = {
    daemons: 9,
    organisations: loads,
    returns: 3,
    forMs: 12_000,
    outage: { fromMs: 5_000, untilMs: 8_000 },
  };
  const [bySize, byShare] = [Size, Share].map((admittedBy) =>
    replay(admittedBy, scenario).countsOf(names, 5_000, 9_000),
  );
  const shown = JSON.stringify([bySize, byShare]);
  if (bySize === undefined || byShare === undefined) throw new Error("no result");
  assert.ok(bySize.rejected > 0, shown);
  assert.ok(byShare.rejected < bySize.rejected / 4, shown);
  assert.ok(byShare.served / byShare.asked >= bySize.served / bySize.asked - TOLERANCE, shown);
});

// Guards against ranks and shares that reject something while there is room for all.
suite("without a shortage all are served, by share as by size", () => {
  const loads = unevenLoads(83, 0.5);
  const names = loads.map(({ name }) => name);
  for (const admittedBy of [Size, Share]) {
    const result = replay(admittedBy, { daemons: 9, organisations: loads, returns: 0, forMs: 8_000 });
    assert.is(result.countsOf(names, 0, 8_000).rejected, 0);
  }
});

suite.run();
