import * as fc from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as common from "../src/index.js";

const SEED = 71;

/** Parts of a body: small ones, and some beyond the size of a block. */
const part = fc.oneof(fc.uint8Array({ maxLength: 5 }), fc.uint8Array({ minLength: 60_000, maxLength: 70_000 }));

const suite = uvu.suite("the buffer of a body");

suite("holds the bytes of all parts in their order, with and without a stated length", () => {
  fc.assert(
    fc.property(fc.array(part, { maxLength: 12 }), fc.boolean(), (arrays, isStated) => {
      const buffers = arrays.map((array) => Buffer.from(array));
      const whole = Buffer.concat(buffers);
      const body = new common.BodyBuffer(isStated ? whole.length : undefined);
      for (const buffer of buffers) body.append(buffer);
      assert.is(body.length, whole.length);
      assert.ok(body.join().equals(whole));
    }),
    { seed: SEED, numRuns: 40 },
  );
});

suite("a body that ends before its stated length is no longer than what came of it", () => {
  const body = new common.BodyBuffer(10);
  body.append(Buffer.from("abc"));
  assert.is(body.join().toString(), "abc");
});

// Guards against a daemon that keeps an object for each chunk of one byte.
suite("keeps no part of a body that comes in several parts", () => {
  for (const statedBytes of [undefined, 4]) {
    const body = new common.BodyBuffer(statedBytes);
    const first = Buffer.from("ab");
    body.append(first);
    first.fill("x");
    body.append(Buffer.from("cd"));
    assert.is(body.join().toString(), "abcd");
  }
});

suite.run();
