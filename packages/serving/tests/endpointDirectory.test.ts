import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("what is believed of endpoints");

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

// A daemon hears from the key-value service that an endpoint leaves; then a peer that lags tells the entry from
// before. Callers would be sent to an endpoint that is about to end.
suite("an older word never brings a leaving endpoint back", () => {
  const word = fastCheck.record({ revision: fastCheck.integer({ min: 1, max: 20 }), leaving: fastCheck.boolean() });
  fastCheck.assert(
    fastCheck.property(fastCheck.array(word, { maxLength: 20 }), (words) => {
      const directory = new serving.EndpointDirectory();
      for (const { revision, leaving } of words) directory.put(endpoint("e1", { leaving }), revision);
      const newest = words.reduce<{ revision: number; leaving: boolean } | undefined>(
        (best, each) => (best === undefined || each.revision > best.revision ? each : best),
        undefined,
      );
      if (newest === undefined) return;
      // Words of one revision are the same word.
      const same = words.filter((each) => each.revision === newest.revision);
      if (same.some((each) => each.leaving !== newest.leaving)) return;
      assert.is(directory.isAvailable("e1"), !newest.leaving);
    }),
    { seed: 4 },
  );
});

suite("a removed endpoint gets nothing, also if an older entry is told after it", () => {
  const directory = new serving.EndpointDirectory();
  directory.put(endpoint("e1"), 5);
  directory.remove("e1", 9);
  directory.put(endpoint("e1"), 7);
  assert.not.ok(directory.isAvailable("e1"));
});

// The key-value service was away and entries lapsed meanwhile, though their endpoints live and serve. Taken for
// gone at once, every call would be rejected until the entries are written again.
suite("entries that lapsed in an outage are kept until the endpoints had time to return", () => {
  const directory = new serving.EndpointDirectory();
  directory.put(endpoint("e1"), 5);
  directory.noteStoreRecovered(1_000);
  directory.applyListing([], 12, 1_100);
  assert.ok(directory.isAvailable("e1"));
  directory.applyListing([], 13, 1_000 + serving.REREGISTRATION_GRACE_MS);
  assert.not.ok(directory.isAvailable("e1"));
});

// An endpoint is taken for gone when its entry lapses, and its entry comes back: it lives after all.
suite("an endpoint whose entry comes back is used again", () => {
  const directory = new serving.EndpointDirectory();
  directory.put(endpoint("e1"), 5);
  directory.remove("e1", 9);
  assert.is(directory.put(endpoint("e1"), 11)?.change, serving.EndpointChange.Returned);
  assert.ok(directory.isAvailable("e1"));
});

suite.run();
