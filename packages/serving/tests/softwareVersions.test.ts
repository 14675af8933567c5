import * as fc from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const SEED = 49;
const TIMEOUT_MS = 10_000;

/** Time for which a version counts after it has gone: a timeout, and the pause before a stream is taken up. */
const WINDOW_MS = TIMEOUT_MS + 3_000;

/** Age of the list of endpoints from which on no version counts as the only one, in milliseconds. */
const TOO_OLD_MS = 2_501;

const suite = uvu.suite("the versions that may have begun a stream");

function endpoint(id: string, softwareVersion: string | undefined, role = serving.EngineRole.None): serving.Endpoint {
  return {
    id,
    service: "service",
    address: id,
    dataCentre: "a",
    slots: 1,
    role,
    leaving: false,
    softwareVersion,
  };
}

/** @returns what a daemon knows that has listed the entries at 0 and has read all changes until an instant */
function knowledge(untilMs: number, ...endpoints: readonly serving.Endpoint[]): serving.SoftwareVersions {
  const versions = new serving.SoftwareVersions();
  versions.noteTimeout(TIMEOUT_MS);
  for (const each of endpoints) versions.notePresent(each, 0);
  versions.noteListed(0);
  versions.noteFollowed(untilMs);
  return versions;
}

suite("the only version of a service is known once all entries of the time are", () => {
  assert.is(knowledge(WINDOW_MS, endpoint("e1", "v1")).soleVersion("service", WINDOW_MS), "v1");
  assert.is(knowledge(WINDOW_MS - 1, endpoint("e1", "v1")).soleVersion("service", WINDOW_MS), undefined);
  assert.is(knowledge(WINDOW_MS).soleVersion("service", WINDOW_MS), undefined);
});

// A daemon that hears late of a new version takes the other one for the only one.
suite("a list that is too old tells nothing", () => {
  const versions = knowledge(WINDOW_MS, endpoint("e1", "v1"));
  assert.is(versions.soleVersion("service", WINDOW_MS + TOO_OLD_MS), undefined);
});

suite("a version that has gone counts for as long as its streams may be taken up", () => {
  const versions = knowledge(WINDOW_MS, endpoint("e1", "v1"), endpoint("e2", "v2"));
  versions.noteGone("e2", WINDOW_MS);
  versions.noteFollowed(2 * WINDOW_MS);
  assert.is(versions.soleVersion("service", 2 * WINDOW_MS - 1), undefined);
  assert.is(versions.soleVersion("service", 2 * WINDOW_MS), "v1");
});

suite("an entry without a version is another version, and never the only one", () => {
  assert.is(knowledge(WINDOW_MS, endpoint("e1", undefined)).soleVersion("service", WINDOW_MS), undefined);
  const both = knowledge(WINDOW_MS, endpoint("e1", "v1"), endpoint("e2", undefined));
  assert.is(both.soleVersion("service", WINDOW_MS), undefined);
});

suite("an entry that changes its version counts as both", () => {
  const versions = knowledge(WINDOW_MS, endpoint("e1", "v1"));
  versions.notePresent(endpoint("e1", "v2"), WINDOW_MS);
  assert.is(versions.soleVersion("service", WINDOW_MS), undefined);
});

// An endpoint may have come and gone between two listings that lie far apart.
suite("a listing after a gap begins anew", () => {
  const versions = knowledge(WINDOW_MS, endpoint("e1", "v1"));
  versions.noteListed(WINDOW_MS + 3_001);
  assert.is(versions.soleVersion("service", WINDOW_MS + 3_001), undefined);
});

suite("a peer that knows the same versions confirms them, one that knows others doesn't", () => {
  const now = 5_000;
  const peer = knowledge(WINDOW_MS, endpoint("e1", "v1"));
  const fresh = (): serving.SoftwareVersions => knowledge(now, endpoint("e9", "v1"));
  const agreeing = fresh();
  agreeing.notePeer({ digest: peer.digest(now), at: now, windowMs: WINDOW_MS }, now);
  assert.is(agreeing.soleVersion("service", now), "v1");
  const other = fresh();
  const both = knowledge(now, endpoint("e1", "v1"), endpoint("e2", "v2"));
  other.notePeer({ digest: both.digest(now), at: now, windowMs: WINDOW_MS }, now);
  assert.is(other.soleVersion("service", now), undefined);
});

// A peer that is behind with the configuration may have forgotten a version whose streams may still be taken up.
suite("a peer that knows shorter timeouts confirms nothing", () => {
  const now = 5_000;
  const versions = knowledge(now, endpoint("e1", "v1"));
  versions.notePeer({ digest: versions.digest(now), at: now, windowMs: WINDOW_MS - 1 }, now);
  assert.is(versions.soleVersion("service", now), undefined);
});

suite("a peer confirms nothing to a daemon that has never listed the entries", () => {
  const versions = new serving.SoftwareVersions();
  versions.noteTimeout(TIMEOUT_MS);
  versions.notePresent(endpoint("e1", "v1"), 0);
  versions.notePeer({ digest: versions.digest(1), at: 1, windowMs: WINDOW_MS }, 1);
  assert.is(versions.soleVersion("service", 1), undefined);
});

suite("a version that has just appeared begins no stream while another can", () => {
  const versions = knowledge(0, endpoint("e1", "v1"));
  const [former, next] = [endpoint("e1", "v1"), endpoint("e2", "v2")];
  versions.notePresent(next, 10_000);
  assert.equal(versions.selectSettled([former, next], 12_499), [former]);
  assert.equal(versions.selectSettled([former, next], 12_500), [former, next]);
  assert.equal(versions.selectSettled([next], 10_000), [next]);
  // With prefill engines alone, no stream could begin.
  const prefill = endpoint("e1", "v1", serving.EngineRole.Prefill);
  assert.equal(versions.selectSettled([prefill, next], 10_000), [prefill, next]);
});

suite("the digest is the same in whichever order the versions were learnt, and changes with them", () => {
  const pairs = fc.array(fc.tuple(fc.string(), fc.constantFrom("v1", "v2", undefined)), { maxLength: 8 });
  fc.assert(
    fc.property(pairs, (entries) => {
      const endpoints = entries.map(([id, version], index) => endpoint(`${index}${id}`, version));
      const [forwards, backwards] = [knowledge(0, ...endpoints), knowledge(0, ...[...endpoints].reverse())];
      assert.is(forwards.digest(1), backwards.digest(1));
      const before = forwards.digest(1);
      forwards.notePresent(endpoint("new", "v3"), 1);
      assert.is.not(forwards.digest(1), before);
      forwards.noteGone("new", 1);
      assert.is(forwards.digest(1 + WINDOW_MS), before);
    }),
    { seed: SEED, numRuns: 200 },
  );
});

suite.run();
