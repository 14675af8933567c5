// Loads Node's assertion module when an assertion of a library fails: nothing else of the module is needed.
const load = require;

/** Fails as the module's own function does. */
function assert(value, ...details) {
  if (!value) load("node:assert")(value, ...details);
}

/** @returns a function that calls the named one of the assertion module if the two values are not the same */
function comparing(name) {
  return (actual, expected, ...details) => {
    if (!Object.is(actual, expected)) load("node:assert")[name](actual, expected, ...details);
  };
}

module.exports = Object.assign(assert, {
  ok: assert,
  equal: comparing("equal"),
  strictEqual: comparing("strictEqual"),
  notStrictEqual: (...values) => load("node:assert").notStrictEqual(...values),
  fail: (...details) => load("node:assert").fail(...details),
});
