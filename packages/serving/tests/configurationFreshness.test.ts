import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("the age of what is known of the configuration");

suite("nothing is known before a read has confirmed it", () => {
  const freshness = new serving.ConfigurationFreshness();
  freshness.noteInForce(3);
  assert.is(freshness.ageMs(100), Infinity);
  assert.not.ok(freshness.isEstablished);
  freshness.noteConfirmed(3, 40);
  assert.is(freshness.ageMs(100), 60);
  assert.ok(freshness.isEstablished);
});

// A daemon that returns gets the configuration of a peer that is behind, and learns from another that it is.
suite("a configuration that is known to be older than another is not current, however lately it came", () => {
  const freshness = new serving.ConfigurationFreshness();
  freshness.noteInForce(3);
  freshness.noteConfirmed(5, 90);
  assert.is(freshness.ageMs(100), Infinity);
  assert.not.ok(freshness.isEstablished);
  freshness.noteInForce(5);
  assert.is(freshness.ageMs(100), 10);
  assert.ok(freshness.isEstablished);
});

suite("a configuration from a peer is as current as what was known before it", () => {
  const freshness = new serving.ConfigurationFreshness();
  freshness.noteInForce(3);
  freshness.noteConfirmed(3, 40);
  freshness.noteInForce(5);
  assert.is(freshness.ageMs(100), 60);
});

suite("a peer that is behind confirms nothing", () => {
  const freshness = new serving.ConfigurationFreshness();
  freshness.noteInForce(5);
  freshness.noteConfirmed(5, 40);
  freshness.noteConfirmed(3, 90);
  assert.is(freshness.ageMs(100), 60);
});

// Changes are accepted, read and reported with any delay and in any order.
suite("nothing newer had been accepted at the instant that the age names", () => {
  const change = fastCheck.integer({ min: 1, max: 1_000 });
  const read = fastCheck.record({
    begunAt: fastCheck.integer({ min: 0, max: 1_000 }),
    delayMs: fastCheck.integer({ min: 0, max: 500 }),
    brings: fastCheck.boolean(),
  });
  fastCheck.assert(
    fastCheck.property(
      fastCheck.array(change, { maxLength: 8 }),
      fastCheck.array(read, { maxLength: 12 }),
      (at, reads) => {
        const acceptedAt = [0, ...at.sort((left, right) => left - right)];
        const newestAt = (instant: number): number => acceptedAt.filter((each) => each <= instant).length;
        const freshness = new serving.ConfigurationFreshness();
        let inForce = 0;
        for (const { begunAt, delayMs, brings } of [...reads].sort(
          (left, right) => left.begunAt + left.delayMs - right.begunAt - right.delayMs,
        )) {
          const now = begunAt + delayMs;
          const revision = newestAt(begunAt);
          if (brings && revision > inForce) freshness.noteInForce((inForce = revision));
          freshness.noteConfirmed(revision, begunAt);
          const ageMs = freshness.ageMs(now);
          if (Number.isFinite(ageMs)) assert.ok(inForce >= newestAt(now - ageMs));
        }
      },
    ),
    { seed: 46, numRuns: 1_000 },
  );
});

suite.run();
