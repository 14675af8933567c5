import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const { OrganisationPart, Part, Request } = serving.SuspectScope;
const { None, Quarantined, Suspected } = serving.Suspicion;

/** Time between two moments at which endpoints crash, in milliseconds. */
const APART_MS = 500;

function createTable(): serving.SuspectTable {
  return new serving.SuspectTable({ isRefuted: () => false, onChange: () => undefined });
}

/** What ran on an endpoint when it crashed. */
function crash(table: serving.SuspectTable, incarnation: number, parts: readonly string[], at: number): void {
  for (const part of parts) table.noteCrash(part, incarnation, at, at, Part);
  table.noteCrash(`request-${incarnation}`, incarnation, at, at, Request);
}

/** Sends all that one daemon would publish to another. */
function publish(from: serving.SuspectTable, to: serving.SuspectTable, now: number): void {
  for (const record of from.recordsToPublish(now)) to.merge(record, now);
}

const suite = uvu.suite("parts of prompts that are to blame for crashes");

suite("the part that is in three crashes is rejected, and no other part that ran there", () => {
  const table = createTable();
  crash(table, 1, ["bad", "first", "rare-1"], 0);
  crash(table, 2, ["bad", "first", "rare-1", "rare-2"], APART_MS);
  table.noteSuccess("first", APART_MS + 1, Part);
  crash(table, 3, ["bad", "first", "rare-2"], 2 * APART_MS);
  assert.is(table.suspicionOf("bad", 2 * APART_MS), Quarantined);
  for (const part of ["first", "rare-1", "rare-2"]) assert.is(table.suspicionOf(part, 2 * APART_MS), Suspected);
});

// Guards against rejecting what ran everywhere when a rack fails.
suite("endpoints that crash at one moment convict no part", () => {
  const table = createTable();
  for (let incarnation = 1; incarnation <= 20; incarnation++) crash(table, incarnation, ["rare", "first"], incarnation);
  assert.is(table.suspicionOf("rare", 30), Suspected);
  assert.is(table.findHeld(["rare", "first"], 30), undefined);
});

suite("a part that has run well before is rejected after five crashes at three moments only", () => {
  const table = createTable();
  table.noteSuccess("proven", 0, Part);
  for (let index = 1; index <= 4; index++) crash(table, index, ["proven"], index * APART_MS);
  assert.is(table.suspicionOf("proven", 4 * APART_MS), Suspected);
  crash(table, 5, ["proven"], 5 * APART_MS);
  assert.is(table.suspicionOf("proven", 5 * APART_MS), Quarantined);
});

// Guards against the first part of all prompts hiding the one that crashes, as it is in all crashes too.
suite("a part that has run well before explains nothing", () => {
  const table = createTable();
  table.noteSuccess("first", 0, Part);
  for (let index = 1; index <= 4; index++) crash(table, index, ["first", "bad"], index * APART_MS);
  assert.is(table.suspicionOf("bad", 4 * APART_MS), Quarantined);
  assert.is(table.suspicionOf("first", 4 * APART_MS), Suspected);
});

// Guards against rejecting what ran beside the guilty part in crashes that are no longer kept of it.
suite("a part with more crashes than are kept explains the older ones too", () => {
  const table = createTable();
  for (let index = 1; index <= 12; index++)
    crash(table, index, index <= 3 ? ["bad", "rare"] : ["bad"], index * APART_MS);
  assert.is(table.suspicionOf("bad", 12 * APART_MS), Quarantined);
  assert.is(table.suspicionOf("rare", 12 * APART_MS), Suspected);
});

// Guards against rejecting a part for one request that is sent again and again.
suite("crashes under one request convict the request, not its parts", () => {
  const table = createTable();
  for (let index = 1; index <= 3; index++) {
    table.noteCrash("part", index, index * APART_MS, index * APART_MS, Part);
    table.noteCrash("request", index, index * APART_MS, index * APART_MS, Request);
  }
  assert.is(table.suspicionOf("request", 3 * APART_MS), Quarantined);
  assert.is(table.suspicionOf("part", 3 * APART_MS), Suspected);
});

// Guards against an organisation that gets another one's part rejected by naming it.
suite("crashes under one organisation's requests convict the part for that organisation alone", () => {
  const table = createTable();
  const crashUnder = (organisation: string, incarnation: number): void => {
    const at = incarnation * APART_MS;
    table.noteCrash("part", incarnation, at, at, Part);
    table.noteCrash(`${organisation}/part`, incarnation, at, at, OrganisationPart);
  };
  for (let index = 1; index <= 4; index++) crashUnder("a", index);
  assert.is(table.suspicionOf("a/part", 4 * APART_MS), Quarantined);
  assert.is(table.findHeld(["b/part", "part"], 4 * APART_MS), undefined);
  crashUnder("b", 5);
  assert.is(table.findHeld(["b/part", "part"], 5 * APART_MS), "part");
});

// Guards against rejecting all sound requests that share a part with the guilty ones, and were not seen before.
suite("of two parts that no crash tells apart, only requests that hold both are rejected", () => {
  const table = createTable();
  for (let index = 1; index <= 3; index++) crash(table, index, ["bad", "shared"], index * APART_MS);
  const now = 3 * APART_MS;
  assert.is(table.findHeld(["shared", "bad"], now), "shared");
  assert.is(table.findHeld(["shared", "other"], now), undefined);
  table.noteSuccess("shared", now + 1, Part);
  assert.is(table.findHeld(["bad", "other"], now + 1), "bad");
});

suite("a run that succeeds at a daemon that has not heard of the crashes acquits the part everywhere", () => {
  const [observer, other] = [createTable(), createTable()];
  crash(observer, 1, ["sound"], 0);
  crash(observer, 2, ["sound"], APART_MS);
  other.noteSuccess("sound", 2 * APART_MS, Part);
  publish(observer, other, 2 * APART_MS + 10);
  publish(other, observer, 2 * APART_MS + 20);
  crash(observer, 3, ["sound"], 3 * APART_MS);
  assert.is(observer.suspicionOf("sound", 3 * APART_MS), Suspected);
  assert.is(other.suspicionOf("sound", 3 * APART_MS), None);
});

suite("daemons that each saw one crash convict the part together", () => {
  const tables = [createTable(), createTable(), createTable()];
  for (const [index, table] of tables.entries()) crash(table, index + 1, ["bad", `own-${index}`], index * APART_MS);
  for (const from of tables) for (const to of tables) if (from !== to) publish(from, to, 3 * APART_MS);
  for (const table of tables) assert.is(table.suspicionOf("bad", 3 * APART_MS), Quarantined);
});

// Guards against more than three further crashes however long requests with the part go on coming.
suite("after seven crashes a part is rejected until an operator clears it", () => {
  const table = createTable();
  for (let index = 1; index <= 7; index++) crash(table, index, ["bad"], index * APART_MS);
  const yearLater = 365 * 24 * 3_600_000;
  assert.is(table.suspicionOf("bad", yearLater), Quarantined);
  table.noteSuccess("bad", yearLater, Part);
  assert.is(table.suspicionOf("bad", yearLater), None);
});

suite("names of parts leave out the last part, and hold the organisation where there is one", () => {
  const prompt = {
    model: "m",
    parts: ["a", "b", "own"].map((id) => ({ id, tokens: 1 })),
    promptTokens: 3,
    outputTokens: 1,
  };
  const names = serving.partNamesOf(prompt);
  assert.is(names.length, 2);
  const ofOrganisations = ["x", "y"].map((organisation) => serving.partNamesOf(prompt, organisation));
  for (const each of ofOrganisations) assert.equal(each.slice(2), names);
  assert.is(new Set(ofOrganisations.flat().map(({ fingerprint }) => fingerprint)).size, 6);
  assert.equal(serving.partNamesOf({ ...prompt, model: "other" }), names);
});

suite.run();
