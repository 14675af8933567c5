import * as fc from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as common from "../src/index.js";

const SEED = 71;

const suite = uvu.suite("the limit on connections");

function createLimit(maxConnections: number, maxRequests = 1_000): common.ConnectionLimit<string> {
  return new common.ConnectionLimit<string>({ maxConnections, maxRequests });
}

// Guards against connections that only stay and keep others out.
suite("replay: ordinary callers come while a crowd holds all connections, idle or with unfinished requests", () => {
  const limit = createLimit(100);
  for (let index = 0; index < 100; index++) {
    limit.open(`crowd-${index}`);
    if (index % 2 === 0) limit.beginRequest(`crowd-${index}`);
  }
  for (let index = 0; index < 1_000; index++) {
    const caller = `caller-${index}`;
    assert.ok(!limit.open(caller)?.startsWith("caller"));
    assert.ok(limit.beginRequest(caller)?.isRejected === false);
    limit.noteRunning(caller);
    limit.endRequest(caller, true);
    limit.close(caller);
  }
  assert.is(limit.connections, 99);
});

suite("the connection is closed on which nothing has happened for the longest", () => {
  const limit = createLimit(3);
  for (const name of ["a", "b", "c"]) limit.open(name);
  limit.beginRequest("a");
  limit.endRequest("a", false);
  assert.is(limit.open("d"), "b");
  assert.is(limit.open("e"), "c");
  assert.is(limit.open("f"), "a");
});

// Guards against requests that are cut off for a connection that does nothing yet.
suite("a connection whose request runs is never closed for a new one, which is closed itself", () => {
  const limit = createLimit(2);
  for (const name of ["a", "b"]) {
    limit.open(name);
    limit.beginRequest(name);
    limit.noteRunning(name);
  }
  assert.is(limit.open("c"), "c");
  limit.endRequest("a", true);
  assert.is(limit.open("d"), "a");
});

// Guards against requests that wait on one connection without a bound.
suite("replay: 60 connections send 500 requests each at once, and ordinary callers one", () => {
  const limit = createLimit(1_000, 2_000);
  const closed = new Set<string>();
  for (let index = 0; index < 60; index++) {
    const name = `crowd-${index}`;
    limit.open(name);
    for (let request = 0; request < 500; request++) {
      const verdict = limit.beginRequest(name);
      if (verdict?.closed !== undefined) closed.add(verdict.closed);
      assert.ok(limit.requests <= 2_000);
    }
    const caller = `caller-${index}`;
    limit.open(caller);
    const verdict = limit.beginRequest(caller);
    assert.is(verdict?.isRejected, false);
    if (verdict?.closed !== undefined) closed.add(verdict.closed);
  }
  assert.ok([...closed].every((name) => name.startsWith("crowd")));
  assert.ok(closed.size > 50);
});

suite("where each connection has one request, a further one is rejected", () => {
  const limit = createLimit(10, 2);
  for (const name of ["a", "b", "c"]) limit.open(name);
  limit.beginRequest("a");
  limit.beginRequest("b");
  assert.equal(limit.beginRequest("c"), { openOnConnection: 1, isRejected: true, closed: undefined });
  limit.endRequest("c", false);
  limit.endRequest("a", false);
  assert.is(limit.beginRequest("c")?.isRejected, false);
});

suite("requests on a connection that has been closed are unknown", () => {
  const limit = createLimit(10, 2);
  limit.open("a");
  for (let request = 0; request < 3; request++) limit.beginRequest("a");
  assert.is(limit.beginRequest("a"), undefined);
  assert.is(limit.endRequest("a", false), 0);
  assert.is(limit.requests, 0);
});

const event = fc.record({ kind: fc.constantFrom("open", "begin", "run", "end", "close"), index: fc.nat(8) });

suite("the bounds and counts hold in any order of events", () => {
  fc.assert(
    fc.property(fc.array(event, { maxLength: 150 }), (events) => {
      const limit = createLimit(4, 6);
      const open = new Map<string, { requests: number; running: number }>();
      for (const [number, { kind, index }] of events.entries()) {
        const name = [...open.keys()][index % Math.max(1, open.size)] ?? "";
        const own = open.get(name);
        if (kind === "open") {
          open.set(`${number}`, { requests: 0, running: 0 });
          const closed = limit.open(`${number}`);
          if (closed !== undefined) {
            assert.is(open.get(closed)?.running, 0);
            open.delete(closed);
          }
        } else if (own === undefined) continue;
        else if (kind === "begin") {
          own.requests++;
          const closed = limit.beginRequest(name)?.closed;
          if (closed !== undefined) open.delete(closed);
        } else if (kind === "run" && own.running < own.requests) {
          own.running++;
          limit.noteRunning(name);
        } else if (kind === "end" && own.requests > 0) {
          const wasRunning = own.running > 0;
          own.requests--;
          if (wasRunning) own.running--;
          assert.is(limit.endRequest(name, wasRunning), own.requests);
        } else if (kind === "close") {
          limit.close(name);
          open.delete(name);
        }
        assert.is(limit.connections, open.size);
        assert.is(
          limit.requests,
          [...open.values()].reduce((sum, { requests }) => sum + requests, 0),
        );
        assert.ok(limit.connections <= 4);
      }
    }),
    { seed: SEED, numRuns: 500 },
  );
});

suite.run();
