import * as fc from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const SEED = 49;

const suite = uvu.suite("records of what began streams");

function record(attempt: string, softwareVersion: string, begunAt = 0): serving.StreamRecord {
  return { attempt, origin: { service: "service", softwareVersion }, begunAt };
}

suite("a record is found until it expires", () => {
  const table = new serving.StreamTable();
  assert.not.ok(table.put(record("a1", "v1", 100)));
  assert.equal(table.find("a1", 100), { service: "service", softwareVersion: "v1" });
  assert.is(table.find("a1", 101), undefined);
  assert.is(table.find("a2", 0), undefined);
});

suite("records that contradict each other tell nothing, whatever comes later", () => {
  const table = new serving.StreamTable();
  table.put(record("a1", "v1"));
  assert.ok(table.put(record("a1", "v2")));
  assert.ok(table.put(record("a1", "v1")));
  assert.is(table.find("a1", 0), undefined);
  assert.equal(table.current(0), []);
});

suite("the oldest records are dropped first, and no more than 20,000 are kept", () => {
  const table = new serving.StreamTable();
  for (let index = 0; index < 20_100; index++) table.put(record(`a${index}`, "v1", index));
  assert.is(table.size, 20_000);
  assert.is(table.find("a99", 0), undefined);
  assert.ok(table.find("a100", 0));
});

const daemons = fc.uniqueArray(
  fc.record({ vm: fc.string({ minLength: 1 }), dataCentre: fc.constantFrom("a", "b", "c") }),
  { selector: ({ vm }) => vm, maxLength: 12 },
);

suite("two daemons keep a record, of two data centres if there are two, and they are asked first", () => {
  fc.assert(
    fc.property(fc.string(), daemons, (attempt, others) => {
      const holders = serving.holdersOf(attempt, others);
      assert.is(holders.length, Math.min(2, others.length));
      assert.is(new Set(holders).size, holders.length);
      const centresOf = (vms: readonly string[]): number =>
        new Set(others.filter(({ vm }) => vms.includes(vm)).map(({ dataCentre }) => dataCentre)).size;
      assert.is(centresOf(holders), Math.min(2, centresOf(others.map(({ vm }) => vm))));
      const [first, rest] = serving.askedFor(attempt, others);
      assert.equal(first, holders);
      assert.is(new Set([...first, ...rest]).size, Math.min(5, others.length));
    }),
    { seed: SEED },
  );
});

// Daemons differ for seconds in whom they hear.
suite("a record is found among those that are asked after another daemon has come or gone", () => {
  const fleet = fc.uniqueArray(fc.string({ minLength: 1 }), { minLength: 6, maxLength: 12 });
  fc.assert(
    fc.property(fc.string(), fleet, (attempt, [changed = "", ...vms]) => {
      const others = vms.map((vm) => ({ vm, dataCentre: "a" }));
      const withChanged = [...others, { vm: changed, dataCentre: "a" }];
      const asked = (daemonsAsked: readonly serving.PossibleHolder[]): string[] =>
        serving.askedFor(attempt, daemonsAsked).flat();
      assert.ok(serving.holdersOf(attempt, others).every((vm) => asked(withChanged).includes(vm)));
      const kept = serving.holdersOf(attempt, withChanged).filter((vm) => vm !== changed);
      assert.ok(kept.every((vm) => asked(others).includes(vm)));
    }),
    { seed: SEED },
  );
});

function tableOf(...routes: readonly [string, readonly string[]][]): serving.RouteTable {
  return new serving.RouteTable({
    version: 1,
    services: [],
    limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    routes: routes.map(([pathPrefix, services]) => ({
      name: pathPrefix,
      host: "host",
      pathPrefix,
      requestClass: serving.RequestClass.Stream,
      resumable: true,
      carriesPrompt: false,
      timeoutMs: 1,
      objectiveMs: 1,
      pauseMs: 1,
      priority: 0,
      attempts: 1,
      isPublic: false,
      shares: services.map((service) => ({ service, weight: 1 })),
    })),
  });
}

// A stream may have begun before its route moved to another service.
suite("the services of a route are those of all configurations of the time", () => {
  const history = new serving.RouteHistory();
  assert.is(history.servicesSince("host", "/a/x", 0), undefined);
  history.noteInForce(tableOf(["/a/", ["s1"]], ["/b/", ["s1", "s2"]]), 0);
  assert.equal(history.servicesSince("host", "/a/x", 0), new Set(["s1"]));
  assert.is(history.servicesSince("host", "/a/x", -1), undefined);
  history.noteInForce(tableOf(["/a/", ["s2"]], ["/b/", ["s1", "s2"]]), 100);
  assert.equal(history.servicesSince("host", "/a/x", 100), new Set(["s2", "s1"]));
  assert.equal(history.servicesSince("host", "/a/x", 101), new Set(["s2"]));
  assert.equal(history.servicesSince("host", "/b/x", 101), new Set(["s1", "s2"]));
});

suite("a route that is added inside another one led to that one's service before", () => {
  const history = new serving.RouteHistory();
  history.noteInForce(tableOf(["/a/", ["s1"]]), 0);
  history.noteInForce(tableOf(["/a/", ["s1"]], ["/a/b/", ["s2"]]), 100);
  assert.equal(history.servicesSince("host", "/a/b/x", 50), new Set(["s2", "s1"]));
});

// A daemon that has just started knows no former routes; its peers do.
suite("a peer with the same configuration tells since when no route has changed", () => {
  const history = new serving.RouteHistory();
  history.noteInForce(tableOf(["/a/", ["s1"]]), 100);
  assert.is(history.unchangedMs(150), 50);
  history.noteUnchanged(20);
  assert.equal(history.servicesSince("host", "/a/x", 20), new Set(["s1"]));
  assert.is(history.servicesSince("host", "/a/x", 19), undefined);
  assert.is(history.unchangedMs(150), 130);
  history.noteInForce(tableOf(["/a/", ["s2"]]), 200);
  assert.is(history.unchangedMs(250), 50);
  assert.equal(history.servicesSince("host", "/a/x", 150), new Set(["s2", "s1"]));
});

const ROUTE_PATH = { host: "host", path: "/a/x" };

function originKnowledge(services: readonly string[], configurationAgeMs = 0): serving.OriginKnowledge {
  const versions = new serving.SoftwareVersions();
  versions.noteTimeout(5_000);
  versions.notePresent({ id: "e1", service: "s1", softwareVersion: "v1" }, 0);
  versions.noteListed(0);
  versions.noteFollowed(10_000);
  const routes = new serving.RouteHistory();
  routes.noteInForce(tableOf(["/a/", services]), 0);
  return new serving.OriginKnowledge({ versions, routes, freshness: { ageMs: () => configurationAgeMs } });
}

suite("the only version of a route is known unless the route leads to two services or is old", () => {
  const origin = { service: "s1", softwareVersion: "v1" };
  assert.equal(originKnowledge(["s1"]).onlyOrigin(ROUTE_PATH, 10_000), origin);
  assert.is(originKnowledge(["s1", "s2"]).onlyOrigin(ROUTE_PATH, 10_000), undefined);
  assert.is(originKnowledge(["s1"], 2_501).onlyOrigin(ROUTE_PATH, 10_000), undefined);
});

suite("own streams are published once another version may have begun them, 64 at a time", () => {
  const knowledge = originKnowledge(["s1"]);
  for (let index = 0; index < 100; index++) knowledge.noteBegun(record(`a${index}`, "v1", 10_000), ROUTE_PATH);
  knowledge.noteComplete("a0");
  assert.equal(knowledge.due(10_000), []);
  const later = 12_600;
  const due = knowledge.due(later);
  assert.is(due.length, 64);
  assert.is(due[0]?.attempt, "a1");
  for (const { attempt } of due) knowledge.notePublished(attempt);
  assert.is(knowledge.due(later).length, 35);
});

suite.run();
