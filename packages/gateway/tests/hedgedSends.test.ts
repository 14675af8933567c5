import * as serving from "@camphorcourse/serving";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as harnesses from "./helpers/exchangeHarness.js";

const { Decode, None, Prefill } = serving.EngineRole;

/** Time after which an endpoint that was never heard counts as silent, and a bit, in milliseconds. */
const SILENT_MS = 1_400;

/** Headers of a whole answer in chunks. */
const HEAD = { sealed: "yes", "transfer-encoding": "chunked" };

const suite = uvu.suite("a request whose endpoint is silent");
const started: harnesses.ExchangeHarness[] = [];

// An open request keeps its deadline's timer, and the process with it.
suite.after(() => {
  for (const { exchange } of started) exchange.endNow("the test is over");
});

function startedExchange(
  requestClass: serving.RequestClass,
  roles: readonly serving.EngineRole[],
): harnesses.ExchangeHarness {
  const harness = new harnesses.ExchangeHarness(requestClass, roles);
  started.push(harness);
  harness.exchange.start();
  return harness;
}

function becomeSilent(): Promise<void> {
  return sleep(SILENT_MS);
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

function eventText(number: number): Buffer {
  return Buffer.from(`id: ${number}\ndata: a\n\n`);
}

function writeEvent({ receiver }: harnesses.RecordedSend, number: number): void {
  receiver.onData(eventText(number));
}

/** Begins a stream of two engines, and waits until its engine is silent. */
async function silentStream(): Promise<harnesses.ExchangeHarness> {
  const harness = startedExchange(serving.RequestClass.Stream, [Decode, Decode]);
  const first = harness.send(0);
  assert.ok(first.receiver.onHead(200, HEAD));
  writeEvent(first, 1);
  await becomeSilent();
  assert.is(harness.sends.length, 2);
  assert.not.ok(first.cancelled);
  return harness;
}

suite("the first send goes on alone if it brings the next event", async () => {
  const harness = await silentStream();
  writeEvent(harness.send(0), 2);
  assert.ok(harness.send(1).cancelled);
  assert.is(harness.running, 1);
  harness.send(0).receiver.onEnd();
  assert.match(harness.endLines[0] ?? "", /outcome=answered status=200 .*events=2/);
  assert.is(harness.running, 0);
  assert.match(harness.metricsText, /silent_sends_resumed 1/);
});

suite("the second send goes on alone if it brings the next event", async () => {
  const harness = await silentStream();
  const [first, second] = [harness.send(0), harness.send(1)];
  assert.ok(second.receiver.onHead(200, HEAD));
  assert.not.ok(first.cancelled);
  writeEvent(second, 2);
  assert.ok(first.cancelled);
  assert.is(harness.running, 1);
  second.receiver.onEnd();
  assert.match(harness.endLines[0] ?? "", /outcome=answered status=200 .*events=2/);
  assert.match(harness.metricsText, /silent_sends_replaced 1/);
});

suite("the first send is awaited when the second one fails", async () => {
  const harness = await silentStream();
  harness.send(1).receiver.onBroken(serving.SendOutcome.Unknown, "reset");
  assert.is(harness.answer.aborts, 0);
  writeEvent(harness.send(0), 2);
  harness.send(0).receiver.onEnd();
  assert.match(harness.endLines[0] ?? "", /outcome=answered status=200/);
});

suite("the second send is awaited when the first one fails", async () => {
  const harness = await silentStream();
  harness.send(0).receiver.onBroken(serving.SendOutcome.Unknown, "reset");
  assert.is(harness.answer.aborts, 0);
  const { receiver } = harness.send(1);
  assert.ok(receiver.onHead(200, HEAD));
  receiver.onData(eventText(2));
  receiver.onEnd();
  assert.match(harness.endLines[0] ?? "", /outcome=answered status=200/);
});

suite("the answer ends once both sends have failed", async () => {
  const harness = await silentStream();
  harness.send(1).receiver.onBroken(serving.SendOutcome.Unknown, "reset");
  harness.send(0).receiver.onBroken(serving.SendOutcome.Unknown, "reset");
  assert.is(harness.answer.aborts, 1);
  assert.is(harness.running, 0);
});

// Guards against runs that go on for a caller that has disconnected.
suite("both sends are cancelled when the caller disconnects", async () => {
  const harness = await silentStream();
  harness.exchange.onCallerDisconnected();
  assert.ok(harness.sends.every(({ cancelled }) => cancelled));
  assert.is(harness.running, 0);
});

// Guards against an engine that is kept from new requests because this daemon's link stood still.
suite("its endpoint is marked only once another one has brought something", async () => {
  const harness = await silentStream();
  const { id } = harness.send(0).endpoint;
  assert.not.ok(harness.isUnhealthy(id));
  assert.ok(harness.send(1).receiver.onHead(200, HEAD));
  writeEvent(harness.send(1), 2);
  assert.ok(harness.isUnhealthy(id));
});

suite("a fault in the choice of a second endpoint leaves the first send alone", async () => {
  const harness = startedExchange(serving.RequestClass.Stream, [Decode, Decode]);
  assert.ok(harness.send(0).receiver.onHead(200, HEAD));
  writeEvent(harness.send(0), 1);
  harness.failNextSend(new Error("fault"));
  await becomeSilent();
  assert.is(harness.answer.aborts, 0);
  writeEvent(harness.send(0), 2);
  harness.send(0).receiver.onEnd();
  assert.match(harness.endLines[0] ?? "", /outcome=answered status=200/);
  assert.is(harness.running, 0);
});

suite("without a retry in the budget no second endpoint is tried, and the first send is awaited", async () => {
  const harness = startedExchange(serving.RequestClass.Stream, [Decode, Decode]);
  assert.ok(harness.send(0).receiver.onHead(200, HEAD));
  writeEvent(harness.send(0), 1);
  // The budget's window is 1 s.
  await sleep(SILENT_MS / 2);
  harness.leaveRetries(0);
  await sleep(SILENT_MS / 2);
  assert.is(harness.sends.length, 1);
  assert.not.ok(harness.send(0).cancelled);
});

// Guards against a prefill whose handle comes after all, and that is left at its engine until it expires.
suite("a silent prefill that ends first is decoded, and the second one is cancelled", async () => {
  const harness = startedExchange(serving.RequestClass.Stream, [Prefill, Prefill, Decode]);
  const prefill = harness.send(0);
  await becomeSilent();
  assert.is(harness.sends.length, 2);
  assert.not.ok(prefill.cancelled);
  assert.ok(prefill.receiver.onHead(200, {}));
  prefill.receiver.onData(Buffer.from("handle"));
  prefill.receiver.onEnd();
  assert.ok(harness.send(1).cancelled);
  assert.is(harness.sends.length, 3);
  assert.is(harness.running, 1);
});

suite("a plain call gets the silent endpoint's answer when the second one fails", async () => {
  const harness = startedExchange(serving.RequestClass.Idempotent, [None, None]);
  await becomeSilent();
  const [first, second] = [harness.send(0), harness.send(1)];
  assert.ok(second.receiver.onHead(500, HEAD));
  second.receiver.onEnd();
  assert.ok(first.receiver.onHead(200, HEAD));
  first.receiver.onEnd();
  assert.match(harness.endLines[0] ?? "", /outcome=answered status=200/);
});

// Guards against a second run for a caller that reads slowly, which holds back the first one.
suite("a send that a slow caller holds back isn't silent", async () => {
  const harness = startedExchange(serving.RequestClass.Stream, [Decode, Decode]);
  assert.ok(harness.send(0).receiver.onHead(200, HEAD));
  harness.answer.isFull = true;
  writeEvent(harness.send(0), 1);
  await becomeSilent();
  assert.is(harness.sends.length, 1);
});

suite.run();
