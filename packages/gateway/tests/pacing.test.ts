import * as serving from "@camphorcourse/serving";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as pacings from "../src/pacing/pacing.js";
import * as harnesses from "./helpers/exchangeHarness.js";

const { Prefill, Decode } = serving.EngineRole;

const suite = uvu.suite("pacing of prefills by the gaps of streams");
const started: harnesses.ExchangeHarness[] = [];

/** Longest pause on a route whose prompts are paced, in milliseconds. */
const TIGHT_MS = 150;

/** Time without events after which an engine counts as slow, whatever it usually takes, in milliseconds. */
const LONG_MS = 2_000;

const EVENT = Buffer.from("data: a\n\n");

// An open request keeps its deadline's timer, and the process with it.
suite.after(() => {
  for (const { exchange } of started) exchange.endNow("the test is over");
});

function createStream(
  roles: readonly serving.EngineRole[],
  pauseMs = TIGHT_MS,
  objectiveMs?: number,
): harnesses.ExchangeHarness {
  const harness = new harnesses.ExchangeHarness(serving.RequestClass.Stream, roles, undefined, pauseMs, objectiveMs);
  started.push(harness);
  return harness;
}

/** A stream of one engine that has brought an event. */
function begunStream(): harnesses.ExchangeHarness {
  const harness = createStream([Decode]);
  harness.exchange.start();
  assert.ok(harness.send(0).receiver.onHead(200, { sealed: "yes" }));
  harness.send(0).receiver.onData(EVENT);
  return harness;
}

function slowEngines({ pacing }: harnesses.ExchangeHarness): string[] {
  return pacing.pacesToSend(performance.now() + LONG_MS).map(({ endpointId }) => endpointId);
}

suite("an engine whose stream has become silent is reported to the peers as slow", () => {
  assert.equal(slowEngines(begunStream()), ["e0"]);
});

// Guards against engines that count as slow for ever because of a stream that is over.
suite("a stream that has ended, has broken or was cancelled no longer counts", () => {
  const ended = begunStream();
  ended.send(0).receiver.onEnd();
  const broken = begunStream();
  broken.send(0).receiver.onBroken(serving.SendOutcome.Unknown, "reset");
  const cancelled = begunStream();
  cancelled.exchange.endNow("the caller has left");
  for (const each of [ended, broken, cancelled]) assert.equal(slowEngines(each), []);
});

// Guards against an engine that is taken for slow because a caller doesn't read.
suite("a stream that its caller holds back doesn't count", () => {
  const harness = begunStream();
  harness.answer.isFull = true;
  harness.send(0).receiver.onData(Buffer.concat([EVENT, EVENT]));
  assert.equal(slowEngines(harness), []);
});

// Guards against a daemon that is short of processor time and reports all engines as slow.
suite("while the event loop is late, nothing is learned or reported", () => {
  const loads = new serving.EngineLoadTracker();
  let lateMs = 0;
  const parts = { loads, speeds: new serving.ServiceSpeeds(), lateMs: () => lateMs, senders: () => 1 };
  const pacing = new pacings.Pacing(parts);
  const properties = { address: "e0:1", dataCentre: "a", slots: 8, leaving: false };
  const stream = pacing.beginStream({ id: "e0", service: "s", role: Decode, ...properties }, TIGHT_MS);
  pacing.recordEvent(stream);
  lateMs = 50;
  assert.equal(pacing.pacesToSend(performance.now() + LONG_MS), []);
  pacing.recordEvent(stream);
  lateMs = 0;
  assert.is(stream.latest, undefined);
});

/** Id of the decode engine of a prompt that another engine has prefilled. */
function decodeEngineOf(harness: harnesses.ExchangeHarness): string {
  harness.slowDownDecodeEngines();
  harness.exchange.start();
  const { receiver } = harness.send(0);
  assert.ok(receiver.onHead(200, { sealed: "yes" }));
  receiver.onData(Buffer.from("handle"));
  receiver.onEnd();
  return harness.send(1).endpoint.id;
}

function reportSlow({ pacing }: harnesses.ExchangeHarness, endpointId: string): void {
  pacing.notePeer({ endpointId, ratio: 2.5, ageMs: 0, pauseMs: TIGHT_MS }, performance.now());
}

// Guards against streams with a tight limit on pauses that begin on an engine which a peer has reported as slow.
suite("a stream goes to another engine than one that is slow, and the log and the metrics say so", () => {
  const usual = decodeEngineOf(createStream([Prefill, Decode, Decode]));
  const harness = createStream([Prefill, Decode, Decode]);
  reportSlow(harness, usual);
  const other = decodeEngineOf(harness);
  assert.is.not(other, usual);
  assert.match(harness.sendLines[1] ?? "", new RegExp(`pacedFrom=${usual} pacingBudgetMs=0 .*pacingSlow=true`));
  assert.match(harness.metricsText, /streams_moved_off_slow 1/);
  const untouched = createStream([Prefill, Decode, Decode], TIGHT_MS + 1);
  reportSlow(untouched, usual);
  assert.is(decodeEngineOf(untouched), usual, "not on a route with a longer limit");
  assert.not.match(untouched.sendLines.join(), /pacing/);
});

// Guards against prefills on a slow engine although a prefill engine is free.
suite("a prompt is prefilled by a prefill engine if the decode engine's budget doesn't cover it", () => {
  const roles = [Prefill, Decode];
  const usual = createStream(roles, TIGHT_MS + 1, LONG_MS);
  const paced = createStream(roles, TIGHT_MS, LONG_MS);
  // Its first event would miss the objective for certain, and the streams beside it might not be late.
  const late = createStream(roles);
  for (const each of [usual, paced, late]) {
    each.learnQuickDecodeEngines();
    reportSlow(each, "e1");
    each.exchange.start();
  }
  assert.is(usual.send(0).endpoint.id, "e1");
  assert.is(late.send(0).endpoint.id, "e1");
  assert.is(paced.send(0).endpoint.id, "e0");
  assert.match(paced.sendLines[0] ?? "", /pacedFrom=e1 pacingBudgetMs=0/);
  assert.match(paced.metricsText, /prefills_paced 1/);
});

suite.run();
