import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as core from "../src/index.js";

const pieces = fastCheck.array(fastCheck.string({ minLength: 1, maxLength: 3 }), { minLength: 1, maxLength: 20 });
/** Short answers of few pieces, so that one is often the beginning of another. */
const similar = fastCheck.array(fastCheck.constantFrom("a", "b"), { minLength: 1, maxLength: 5 });
const breaks = fastCheck.array(fastCheck.integer({ min: 0, max: 20 }), { maxLength: 5 });

/** Feeds an answer whose connection breaks at the given places; resumes as told. */
function readThrough(answer: readonly string[], breakAt: number[], sent: string[]): core.StreamStep {
  const assembly = new core.StreamAssembly(sent.slice());
  for (;;) {
    const stop = breakAt.shift();
    for (let index = Math.max(0, assembly.nextIndex - 1); index < answer.length; index++) {
      if (index === stop) break;
      const content = answer[index] ?? "";
      const step = assembly.onPiece(index, content);
      if (step === core.StreamStep.Forward) sent.push(content);
      if (step === core.StreamStep.Fail) return step;
    }
    if (stop === undefined || stop >= answer.length) return assembly.onEnd();
    if (assembly.onBroken() === core.StreamStep.Fail) return core.StreamStep.Fail;
  }
}

const assemblySuite = uvu.suite("stream assembly");

/*
 * A stream breaks off at any places and is resumed, with pieces repeated. The
 * caller gets each piece once and in order, or no end marker.
 */
assemblySuite("what the caller has is the whole answer, or it is told that it is not", () => {
  fastCheck.assert(
    fastCheck.property(pieces, breaks, (answer, breakAt) => {
      const sent: string[] = [];
      const end = readThrough(answer, [...breakAt], sent);
      if (end === core.StreamStep.Complete) assert.equal(sent, answer);
      else assert.equal(sent, answer.slice(0, sent.length));
    }),
    { numRuns: 500, seed: 3 },
  );
});

/*
 * The engine dies after a part was sent, and another runs the request again.
 * Its answer differs. The caller never gets the one's beginning with the
 * other's end.
 */
assemblySuite("two attempts' answers are never joined unless they agree", () => {
  fastCheck.assert(
    fastCheck.property(similar, similar, fastCheck.integer({ min: 0, max: 5 }), (first, second, cutAt) => {
      const sent = first.slice(0, cutAt);
      const end = readThrough(second, [], sent);
      if (end === core.StreamStep.Complete) assert.equal(sent, second);
    }),
    { numRuns: 500, seed: 4 },
  );
});

assemblySuite("a missing piece asks for a resume", () => {
  const assembly = new core.StreamAssembly();
  assert.is(assembly.onPiece(0, "a"), core.StreamStep.Forward);
  assert.is(assembly.onPiece(2, "c"), core.StreamStep.Resume);
  assert.is(assembly.nextIndex, 1);
});

assemblySuite.run();
