import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("endpoint directory");

function endpoint(id: string, options: Partial<serving.Endpoint> = {}): serving.Endpoint {
  return {
    id,
    service: "labels",
    address: "10.0.0.1:80",
    dataCentre: "a",
    slots: 6,
    role: serving.EngineRole.None,
    leaving: false,
    ...options,
  };
}

// A daemon learns from the key-value service that an endpoint is leaving; then a lagging peer sends the entry from
// before. Callers would be sent to an endpoint that is about to end.
suite("an older entry never brings a leaving endpoint back", () => {
  const entry = fastCheck.record({ revision: fastCheck.integer({ min: 1, max: 20 }), leaving: fastCheck.boolean() });
  fastCheck.assert(
    fastCheck.property(fastCheck.array(entry, { maxLength: 20 }), (entries) => {
      const directory = new serving.EndpointDirectory();
      for (const { revision, leaving } of entries) directory.put(endpoint("e1", { leaving }), revision);
      const newest = entries.reduce<{ revision: number; leaving: boolean } | undefined>(
        (best, each) => (best === undefined || each.revision > best.revision ? each : best),
        undefined,
      );
      if (newest === undefined) return;
      // Entries of one revision are the same entry.
      const same = entries.filter((each) => each.revision === newest.revision);
      if (same.some((each) => each.leaving !== newest.leaving)) return;
      assert.is(directory.isAvailable("e1"), !newest.leaving);
    }),
    { seed: 4 },
  );
});

suite("a removed endpoint is unavailable, also if an older entry arrives after the removal", () => {
  const directory = new serving.EndpointDirectory();
  directory.put(endpoint("e1"), 5);
  directory.remove("e1", 9);
  directory.put(endpoint("e1"), 7);
  assert.not.ok(directory.isAvailable("e1"));
});

// The key-value service was unreachable and entries expired meanwhile, though their endpoints are alive and serve. If
// they were removed at once, every call would be rejected until the entries are written again.
suite("entries that expired in an outage are kept until the endpoints had time to register again", () => {
  const directory = new serving.EndpointDirectory();
  directory.put(endpoint("e1"), 5);
  directory.noteStoreRecovered(1_000);
  directory.applyListing([], 12, 1_100);
  assert.ok(directory.isAvailable("e1"));
  directory.applyListing([], 13, 1_000 + serving.REREGISTRATION_GRACE_MS);
  assert.not.ok(directory.isAvailable("e1"));
});

// An endpoint is removed when its entry expires, and its entry is written again: it is alive after all.
suite("an endpoint whose entry is written again is available again", () => {
  const directory = new serving.EndpointDirectory();
  directory.put(endpoint("e1"), 5);
  directory.remove("e1", 9);
  assert.is(directory.put(endpoint("e1"), 11)?.change, serving.EndpointChange.Returned);
  assert.ok(directory.isAvailable("e1"));
});

// An endpoint says in its answers that it leaves while its entry says ready, in any order with other writes.
suite("an endpoint that said that it leaves is available only in a new incarnation", () => {
  const entry = fastCheck.record({
    revision: fastCheck.integer({ min: 6, max: 30 }),
    bornAt: fastCheck.constantFrom(1, 2),
  });
  const step = fastCheck.oneof(
    entry.map((written) => ({ written, removed: undefined })),
    fastCheck.integer({ min: 6, max: 30 }).map((removed) => ({ written: undefined, removed })),
  );
  fastCheck.assert(
    fastCheck.property(fastCheck.array(step, { maxLength: 20 }), (steps) => {
      const directory = new serving.EndpointDirectory();
      directory.put(endpoint("e1", { bornAt: 1 }), 5);
      assert.is(directory.markLeaving(endpoint("e1", { bornAt: 1 }))?.change, serving.EndpointChange.Leaving);
      for (const { written, removed } of steps) {
        if (written === undefined) directory.remove("e1", removed);
        else directory.put(endpoint("e1", { bornAt: written.bornAt }), written.revision);
        if (directory.isAvailable("e1")) assert.is(directory.bornAtOf("e1"), 2);
      }
    }),
    { seed: 46 },
  );
});

suite("what a former incarnation said doesn't count against the next one", () => {
  const directory = new serving.EndpointDirectory();
  directory.put(endpoint("e1", { bornAt: 2 }), 5);
  assert.is(directory.markLeaving(endpoint("e1", { bornAt: 1 })), undefined);
  assert.is(directory.markReportedLeaving("e1", 1), undefined);
  assert.ok(directory.isAvailable("e1"));
  assert.is(directory.markReportedLeaving("e1", 2)?.isStatedLeaving, true);
  assert.not.ok(directory.isAvailable("e1"));
});

suite("a statement is kept while the entry has expired, and counts once", () => {
  const directory = new serving.EndpointDirectory();
  directory.put(endpoint("e1"), 5);
  directory.remove("e1", 6);
  assert.is(directory.markLeaving(endpoint("e1")), undefined);
  directory.put(endpoint("e1"), 8);
  assert.not.ok(directory.isAvailable("e1"));
  assert.is(directory.markLeaving(endpoint("e1")), undefined);
});

suite.run();
