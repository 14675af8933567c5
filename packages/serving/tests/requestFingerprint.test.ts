import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const REQUEST: serving.FingerprintInputs = {
  method: "POST",
  host: "desk",
  target: "/ask/x?y",
  body: Buffer.from("body"),
  callerAddress: "10.0.0.1",
};

const suite = uvu.suite("fingerprints of requests");

suite("are the same for a retry", () => {
  assert.equal(serving.fingerprintsOf(REQUEST), serving.fingerprintsOf({ ...REQUEST, body: Buffer.from("body") }));
});

suite("differ for each part of the content, and only the second one for another caller", () => {
  const original = serving.fingerprintsOf(REQUEST);
  const changes: Partial<serving.FingerprintInputs>[] = [
    { method: "GET" },
    { host: "desk2" },
    { target: "/ask/x" },
    { body: Buffer.from("bodY") },
    { body: undefined },
    { organisation: "hall" },
  ];
  for (const change of changes)
    assert.is.not(serving.fingerprintsOf({ ...REQUEST, ...change }).content, original.content);
  const ofOtherCaller = serving.fingerprintsOf({ ...REQUEST, callerAddress: "10.0.0.2" });
  assert.is(ofOtherCaller.content, original.content);
  assert.is.not(ofOtherCaller.contentAndCaller, original.contentAndCaller);
});

suite("differ if the same text is split differently between host and target", () => {
  fastCheck.assert(
    fastCheck.property(
      fastCheck.string(),
      fastCheck.string(),
      fastCheck.integer({ min: 1, max: 9 }),
      (host, target, by) => {
        const moved = { ...REQUEST, host: host + target.slice(0, by), target: target.slice(by) };
        if (moved.host === host) return true;
        const original = serving.fingerprintsOf({ ...REQUEST, host, target });
        return serving.fingerprintsOf(moved).content !== original.content;
      },
    ),
    { seed: 31, numRuns: 200 },
  );
});

suite.run();
