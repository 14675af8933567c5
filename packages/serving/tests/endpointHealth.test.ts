import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("endpoint health");

function engine(id: string, role: serving.EngineRole): serving.Endpoint {
  return { id, service: "s", address: `${id}:1`, dataCentre: "a", slots: 64, role, leaving: false };
}

const PREFILL = [engine("p1", serving.EngineRole.Prefill), engine("p2", serving.EngineRole.Prefill)];
const DECODE = [engine("d1", serving.EngineRole.Decode), engine("d2", serving.EngineRole.Decode)];

function recordFailures(health: serving.EndpointHealth, id: string, times = 4): void {
  for (let count = 0; count < times; count++) health.recordResult(id, serving.SendResult.Failed, 0);
}

const idsOf = (endpoints: readonly serving.Endpoint[]): string[] => endpoints.map((endpoint) => endpoint.id).sort();

// A prefill engine has failed and is due for a probe. If it were the only choice for a request, the prompt could be
// prefilled there but no engine could generate tokens: callers were rejected while all decode engines were free.
suite("a probe of one role leaves the engines of the other role to choose from", () => {
  const health = new serving.EndpointHealth();
  recordFailures(health, "p1");
  const usable = health.selectUsable([...PREFILL, ...DECODE], true, 60_000);
  assert.equal(idsOf(usable), ["d1", "d2", "p1"]);
});

suite("an unhealthy endpoint gets no request until its probe, and then one", () => {
  const health = new serving.EndpointHealth();
  recordFailures(health, "d1");
  assert.equal(idsOf(health.selectUsable(DECODE, true, 1)), ["d2"]);
  assert.equal(idsOf(health.selectUsable(DECODE, true, 60_000)), ["d1"]);
  assert.equal(idsOf(health.selectUsable(DECODE, true, 60_001)), ["d2"]);
});

// A label print that is used as a probe can't be retried elsewhere if it is lost there.
suite("a request that may run only once is no probe", () => {
  const health = new serving.EndpointHealth();
  recordFailures(health, "d1");
  assert.equal(idsOf(health.selectUsable(DECODE, false, 60_000)), ["d2"]);
});

// An endpoint that was full for a moment would get nothing more while only requests come that may run only once.
suite("a request that may run only once probes an endpoint that has merely declined", () => {
  const health = new serving.EndpointHealth();
  for (let count = 0; count < 6; count++) health.recordResult("d1", serving.SendResult.Declined, 0);
  assert.ok(health.isUnhealthy("d1"));
  assert.equal(idsOf(health.selectUsable(DECODE, false, 60_000)), ["d1"]);
  recordFailures(health, "d1", 1);
  assert.equal(idsOf(health.selectUsable(DECODE, false, 120_000)), ["d2"]);
});

suite("all endpoints are usable if none is healthy", () => {
  const health = new serving.EndpointHealth();
  recordFailures(health, "d1");
  recordFailures(health, "d2");
  assert.equal(idsOf(health.selectUsable(DECODE, false, 1)), ["d1", "d2"]);
});

suite("good results make an endpoint healthy again", () => {
  const health = new serving.EndpointHealth();
  recordFailures(health, "d1");
  for (let count = 0; count < 3; count++) health.recordResult("d1", serving.SendResult.Good, 1);
  assert.not.ok(health.isUnhealthy("d1"));
});

suite.run();
