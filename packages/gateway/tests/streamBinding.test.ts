import * as serving from "@camphorcourse/serving";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as harnesses from "./helpers/exchangeHarness.js";

const { Decode } = serving.EngineRole;

const suite = uvu.suite("a stream that has begun is bound to the version that began it");
const started: harnesses.ExchangeHarness[] = [];

// An open request keeps its deadline's timer, and the process with it.
suite.after(() => {
  for (const { exchange } of started) exchange.endNow("the test is over");
});

function startedStream(roles: readonly serving.EngineRole[]): harnesses.ExchangeHarness {
  const harness = new harnesses.ExchangeHarness(serving.RequestClass.Stream, roles);
  started.push(harness);
  harness.exchange.start();
  return harness;
}

function eventText(number: number): Buffer {
  return Buffer.from(`id: ${number}\ndata: a\n\n`);
}

/** Begins a stream of three endpoints at v1, and breaks it after its first event. */
function brokenStream(beforeBreak: (harness: harnesses.ExchangeHarness) => void): harnesses.ExchangeHarness {
  const harness = startedStream([Decode, Decode, Decode]);
  const first = harness.send(0);
  assert.ok(first.receiver.onHead(200, { sealed: "yes" }));
  first.receiver.onData(eventText(1));
  beforeBreak(harness);
  first.receiver.onBroken(serving.SendOutcome.Unknown, "reset");
  return harness;
}

function others(harness: harnesses.ExchangeHarness): string[] {
  return ["e0", "e1", "e2"].filter((id) => id !== harness.send(0).endpoint.id);
}

suite("it goes on at another endpoint of that version", () => {
  const harness = brokenStream((each) => each.changeVersion(others(each)[0] ?? "", "v2"));
  assert.is(harness.sends.length, 2);
  assert.is(harness.send(1).endpoint.id, others(harness)[1]);
});

suite("it ends at once where no other endpoint has that version", () => {
  for (const version of ["v2", undefined]) {
    const harness = brokenStream((each) => others(each).forEach((id) => each.changeVersion(id, version)));
    assert.is(harness.sends.length, 1);
    assert.is(harness.answer.aborts, 1);
  }
});

// The endpoint is replaced under its address while its answer is awaited.
suite("an answer isn't forwarded if the entry of its endpoint states another version by then", () => {
  const harness = brokenStream(() => undefined);
  harness.changeVersion(harness.send(1).endpoint.id, "v2");
  assert.not.ok(harness.send(1).receiver.onHead(200, { sealed: "yes" }));
});

// The version that wrote the first event isn't known.
suite("it doesn't go on if the entry of its first endpoint changes before the first event", () => {
  const harness = startedStream([Decode, Decode]);
  const { endpoint, receiver } = harness.send(0);
  harness.changeVersion(endpoint.id, "v2");
  assert.ok(receiver.onHead(200, { sealed: "yes" }));
  receiver.onData(eventText(1));
  receiver.onBroken(serving.SendOutcome.Unknown, "reset");
  assert.is(harness.sends.length, 1);
  assert.is(harness.answer.aborts, 1);
});

suite("before its first event it may be repeated at any version", () => {
  const harness = startedStream([Decode, Decode]);
  const { endpoint, receiver } = harness.send(0);
  harness.changeVersion(endpoint.id === "e0" ? "e1" : "e0", "v2");
  receiver.onBroken(serving.SendOutcome.Unknown, "reset");
  assert.is(harness.sends.length, 2);
});

suite("a send that was decided on is withheld once the entry of its endpoint states another version", () => {
  const directory = new serving.EndpointDirectory();
  const endpoint = {
    id: "e1",
    service: "service",
    address: "127.0.0.1:1",
    dataCentre: "a",
    slots: 1,
    role: serving.EngineRole.None,
    leaving: false,
    softwareVersion: "v1",
  };
  directory.put(endpoint, 1);
  const gate = new serving.SendGate({ directory, rests: new serving.RestTable(), enforcer: undefined as never });
  assert.ok(gate.mayReceive(endpoint, true, 0));
  directory.put({ ...endpoint, softwareVersion: "v2" }, 2);
  assert.not.ok(gate.mayReceive(endpoint, true, 0));
  assert.ok(gate.mayReceive(endpoint, false, 0), "it may still free what it keeps");
});

suite.run();
