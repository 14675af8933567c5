import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("endpoints' health by results");

function engine(id: string, role: serving.EngineRole): serving.Endpoint {
  return { id, service: "s", address: `${id}:1`, dataCentre: "a", slots: 64, role, leaving: false };
}

const PREFILL = [engine("p1", serving.EngineRole.Prefill), engine("p2", serving.EngineRole.Prefill)];
const DECODE = [engine("d1", serving.EngineRole.Decode), engine("d2", serving.EngineRole.Decode)];

function fail(health: serving.EndpointHealth, id: string, times = 4): void {
  for (let count = 0; count < times; count++) health.recordResult(id, serving.SendResult.Failed, 0);
}

const ids = (endpoints: readonly serving.Endpoint[]): string[] => endpoints.map((endpoint) => endpoint.id).sort();

// A prefill engine has failed and is due for a trial. If the trial were the only choice for a request, it could be
// read there and its tokens be made nowhere: callers were rejected while all decode engines were free.
suite("a trial of one role leaves the other role's engines to choose from", () => {
  const health = new serving.EndpointHealth();
  fail(health, "p1");
  const usable = health.selectUsable([...PREFILL, ...DECODE], true, 60_000);
  assert.equal(ids(usable), ["d1", "d2", "p1"]);
});

suite("a bad endpoint gets nothing until its trial, and then one request", () => {
  const health = new serving.EndpointHealth();
  fail(health, "d1");
  assert.equal(ids(health.selectUsable(DECODE, true, 1)), ["d2"]);
  assert.equal(ids(health.selectUsable(DECODE, true, 60_000)), ["d1"]);
  assert.equal(ids(health.selectUsable(DECODE, true, 60_001)), ["d2"]);
});

// A label print that is tried on a bad endpoint can't be taken elsewhere if it is lost there.
suite("what may run once is no trial", () => {
  const health = new serving.EndpointHealth();
  fail(health, "d1");
  assert.equal(ids(health.selectUsable(DECODE, false, 60_000)), ["d2"]);
});

suite("all are used if none is good", () => {
  const health = new serving.EndpointHealth();
  fail(health, "d1");
  fail(health, "d2");
  assert.equal(ids(health.selectUsable(DECODE, false, 1)), ["d1", "d2"]);
});

suite("a good result brings an endpoint back", () => {
  const health = new serving.EndpointHealth();
  fail(health, "d1");
  for (let count = 0; count < 3; count++) health.recordResult("d1", serving.SendResult.Good, 1);
  assert.not.ok(health.isUnhealthy("d1"));
});

suite.run();
