import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as core from "../src/index.js";

const chunks = fastCheck.array(fastCheck.string({ minLength: 1, maxLength: 3 }), { minLength: 1, maxLength: 20 });
/** Short answers over a small alphabet, so that one is often a prefix of another. */
const similarAnswers = fastCheck.array(fastCheck.constantFrom("a", "b"), { minLength: 1, maxLength: 5 });
const breakPoints = fastCheck.array(fastCheck.integer({ min: 0, max: 20 }), { maxLength: 5 });

/** Reads an answer whose connection breaks at the given indices and resumes when the assembly says so. */
function readWithBreaks(answer: readonly string[], breakAt: number[], sent: string[]): core.StreamStep {
  const assembly = new core.StreamAssembly(sent.slice());
  for (;;) {
    const stop = breakAt.shift();
    for (let index = Math.max(0, assembly.nextIndex - 1); index < answer.length; index++) {
      if (index === stop) break;
      const content = answer[index] ?? "";
      const step = assembly.onChunk(index, content);
      if (step === core.StreamStep.Forward) sent.push(content);
      if (step === core.StreamStep.Fail) return step;
    }
    if (stop === undefined || stop >= answer.length) return assembly.onEnd();
    if (assembly.onBroken() === core.StreamStep.Fail) return core.StreamStep.Fail;
  }
}

const assemblySuite = uvu.suite("stream assembly");

/*
 * A stream breaks at arbitrary points and is resumed with repeated chunks. The
 * caller must get each chunk once and in order, or no end marker.
 */
assemblySuite("the caller gets the complete answer, or learns that it is incomplete", () => {
  fastCheck.assert(
    fastCheck.property(chunks, breakPoints, (answer, breakAt) => {
      const sent: string[] = [];
      const end = readWithBreaks(answer, [...breakAt], sent);
      if (end === core.StreamStep.Complete) assert.equal(sent, answer);
      else assert.equal(sent, answer.slice(0, sent.length));
    }),
    { numRuns: 500, seed: 3 },
  );
});

/*
 * An engine crashes after a part of its answer was sent, and another engine runs
 * the request again with a different answer. The caller must never get the start
 * of one answer with the end of the other.
 */
assemblySuite("two attempts' answers are never combined unless they agree", () => {
  fastCheck.assert(
    fastCheck.property(
      similarAnswers,
      similarAnswers,
      fastCheck.integer({ min: 0, max: 5 }),
      (first, second, cutAt) => {
        const sent = first.slice(0, cutAt);
        const end = readWithBreaks(second, [], sent);
        if (end === core.StreamStep.Complete) assert.equal(sent, second);
      },
    ),
    { numRuns: 500, seed: 4 },
  );
});

assemblySuite("a missing chunk asks for a resume", () => {
  const assembly = new core.StreamAssembly();
  assert.is(assembly.onChunk(0, "a"), core.StreamStep.Forward);
  assert.is(assembly.onChunk(2, "c"), core.StreamStep.Resume);
  assert.is(assembly.nextIndex, 1);
});

assemblySuite.run();
