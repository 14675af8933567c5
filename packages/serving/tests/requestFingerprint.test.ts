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

suite("are equal for a retry", () => {
  assert.equal(serving.fingerprintsOf(REQUEST), serving.fingerprintsOf({ ...REQUEST, body: Buffer.from("body") }));
});

suite("tell requests apart by each word, and callers by the second alone", () => {
  const own = serving.fingerprintsOf(REQUEST);
  const others: Partial<serving.FingerprintInputs>[] = [
    { method: "GET" },
    { host: "desk2" },
    { target: "/ask/x" },
    { body: Buffer.from("bodY") },
    { body: undefined },
  ];
  for (const other of others) assert.is.not(serving.fingerprintsOf({ ...REQUEST, ...other }).content, own.content);
  const ofOther = serving.fingerprintsOf({ ...REQUEST, callerAddress: "10.0.0.2" });
  assert.is(ofOther.content, own.content);
  assert.is.not(ofOther.contentAndCaller, own.contentAndCaller);
});

suite("differ where the same text is split elsewhere", () => {
  fastCheck.assert(
    fastCheck.property(
      fastCheck.string(),
      fastCheck.string(),
      fastCheck.integer({ min: 1, max: 9 }),
      (host, target, by) => {
        const moved = { ...REQUEST, host: host + target.slice(0, by), target: target.slice(by) };
        if (moved.host === host) return true;
        const own = serving.fingerprintsOf({ ...REQUEST, host, target });
        return serving.fingerprintsOf(moved).content !== own.content;
      },
    ),
    { seed: 31, numRuns: 200 },
  );
});

suite.run();
