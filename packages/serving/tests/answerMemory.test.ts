import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const MEBIBYTE = 1_048_576;

/** Bytes that a read of a socket brings at most. */
const READ_BYTES = 65_536;

const suite = uvu.suite("what is buffered of incomplete answers");

// Guards against a daemon whose memory answers without end take, with all its callers.
suite(
  "replay: hundreds of answers without end stay within the bound, and sound answers beside them are buffered",
  () => {
    const memory = new serving.AnswerMemory();
    let endless = Array.from({ length: 300 }, () => memory.open());
    let most = 0;
    let refused = 0;
    for (let round = 0; round < 200; round++) {
      const still: serving.AnswerHolding[] = [];
      for (const holding of endless) {
        if (memory.hold(holding, holding.bytes + READ_BYTES, serving.UNSTATED_ANSWER)) still.push(holding);
        else {
          memory.close(holding);
          refused++;
        }
        most = Math.max(most, memory.total);
      }
      endless = still;
      const sound = memory.open();
      assert.ok(memory.hold(sound, 800, serving.UNSTATED_ANSWER));
      memory.close(sound);
    }
    assert.is(refused, 300);
    assert.is(memory.total, 0);
    assert.ok(most <= 33 * MEBIBYTE, `${most} bytes`);
  },
);

suite("one answer alone may be as large as its limit", () => {
  const memory = new serving.AnswerMemory();
  const holding = memory.open();
  for (const limits of [serving.UNSTATED_ANSWER, serving.statedAnswer(serving.MAX_STATED_BYTES)]) {
    assert.ok(memory.hold(holding, limits.maxBytes, limits));
    assert.not.ok(memory.hold(holding, limits.maxBytes + 1, limits));
  }
  assert.is(serving.statedAnswer(serving.MAX_STATED_BYTES + 1).maxBytes, 0);
  memory.close(holding);
  memory.close(holding);
  assert.is(memory.total, 0);
  assert.not.ok(memory.hold(holding, 1, serving.UNSTATED_ANSWER));
});

// Guards against ending a long stream, or one whose engine writes each byte in a chunk of its own.
suite("the framing of any body passes, and bytes without a body don't", () => {
  fastCheck.assert(
    fastCheck.property(
      fastCheck.array(fastCheck.integer({ min: 1, max: 100_000 }), { minLength: 1, maxLength: 500 }),
      (chunks) => {
        const framing = new serving.AnswerFraming();
        let received = 500;
        for (const size of chunks) {
          // A read may bring what the HTTP client hands on afterwards.
          received += size + size.toString(16).length + 4;
          assert.ok(framing.noteReceived(received));
          framing.noteBody(size);
        }
      },
    ),
    { seed: 58 },
  );
  const framing = new serving.AnswerFraming();
  let received = 0;
  while (framing.noteReceived(received)) received += READ_BYTES;
  assert.ok(received <= MEBIBYTE / 2);
});

suite.run();
