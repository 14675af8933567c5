import * as fastCheck from "fast-check";
import * as serving from "@camphorcourse/serving";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as suspectCodec from "../src/suspects/suspectCodec.js";

const PART = "00000000000000aa";
const { Part } = serving.SuspectScope;

function createTable(): serving.SuspectTable {
  return new serving.SuspectTable({ isRefuted: () => false, onChange: () => undefined });
}

const suite = uvu.suite("verdicts on prompt parts at other daemons");

// Guards against a daemon that reads the record of a rejected part, and does not reject it.
suite("a daemon that reads a part's record reaches the same verdict, whatever its clock and the rounding", () => {
  const crashes = fastCheck.array(fastCheck.double({ min: 0, max: 400, noNaN: true }), { minLength: 3, maxLength: 6 });
  const borderline = fastCheck.double({ min: 0, max: 50, noNaN: true }).map((first) => [first, first + 1, first + 250]);
  const clocks = fastCheck.record({
    writtenAt: fastCheck.double({ min: 1.7e12, max: 1.8e12, noNaN: true }),
    readAfterMs: fastCheck.double({ min: 0, max: 5_000, noNaN: true }),
    readerNow: fastCheck.double({ min: 5_000, max: 1e7, noNaN: true }),
  });
  fastCheck.assert(
    fastCheck.property(fastCheck.oneof(crashes, borderline), clocks, (times, { writtenAt, readAfterMs, readerNow }) => {
      const [writer, reader] = [createTable(), createTable()];
      for (const [incarnation, at] of times.entries()) writer.noteCrash(PART, incarnation, at, at, Part);
      const verdict = writer.suspicionOf(PART, 500);
      const record = writer.recordOf(PART, 500);
      if (record === undefined) throw new Error("no record");
      const stored = suspectCodec.toStored(record, writtenAt);
      reader.merge(suspectCodec.fromStored(stored, writtenAt + readAfterMs)._unsafeUnwrap(), readerNow);
      if (verdict === serving.Suspicion.Quarantined) assert.is(reader.suspicionOf(PART, readerNow), verdict);
    }),
    { seed: 52, numRuns: 3_000 },
  );
});

suite.run();
