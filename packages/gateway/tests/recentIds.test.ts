import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as recentIds from "../src/sends/recentIds.js";

/** Ids that are known for certain, and more than are kept. */
const KNOWN = 200;
const MANY = 10_000;

const suite = uvu.suite("recent ids of a connection");

// Guards against an id that is forgotten while an answer to its request may still come.
suite("the latest ids are known, also after many others", () => {
  const ids = new recentIds.RecentIds();
  assert.not.ok(ids.mayHave("r0"));
  for (let number = 0; number < MANY; number++) ids.add(`r${number}`);
  for (let number = MANY - KNOWN; number < MANY; number++) assert.ok(ids.mayHave(`r${number}`));
});

// Guards against connections that aren't reused as they count every id as carried.
suite("other ids are not known", () => {
  const ids = new recentIds.RecentIds();
  for (let number = 0; number < MANY; number++) ids.add(`r${number}`);
  const taken = Array.from({ length: KNOWN }, (_, number) => `other${number}`).filter((id) => ids.mayHave(id));
  assert.equal(taken, []);
});

suite.run();
