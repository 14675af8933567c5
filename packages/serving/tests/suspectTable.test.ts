import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const MINUTE_MS = 60_000;

function createTable(
  isRefuted: (incarnation: number, crashedAt: number) => boolean = () => false,
): serving.SuspectTable {
  return new serving.SuspectTable({ isRefuted, onChange: () => undefined });
}

function noteCrashes(table: serving.SuspectTable, fingerprint: string, incarnations: readonly number[], at = 0): void {
  for (const [index, each] of incarnations.entries()) table.noteCrash(fingerprint, each, at + index, at + index);
}

const suite = uvu.suite("requests suspected of crashing endpoints");

suite("the first crash makes a request suspected, the second isolates it, the third rejects it for minutes", () => {
  const table = createTable();
  assert.is(table.isEmpty, true);
  const suspicions = [1, 2, 3].map((incarnation) => {
    table.noteCrash("f", incarnation, incarnation, incarnation);
    return table.suspicionOf("f", incarnation);
  });
  assert.equal(suspicions, [serving.Suspicion.Suspected, serving.Suspicion.Isolated, serving.Suspicion.Quarantined]);
  assert.is(table.rejectedForMs("f", 3), 10 * MINUTE_MS);
});

suite("a crash that several daemons observed counts once", () => {
  const table = createTable();
  noteCrashes(table, "f", [7, 7, 7]);
  assert.is(table.suspicionOf("f", 10), serving.Suspicion.Suspected);
});

// Guards against rejecting a call that runs everywhere all the time, and so is present at every crash.
suite("a successful run clears the crashes before it, and none after it", () => {
  const table = createTable();
  noteCrashes(table, "f", [1, 2]);
  table.noteSuccess("f", 100);
  assert.is(table.suspicionOf("f", 100), serving.Suspicion.None);
  table.noteCrash("f", 3, 50, 101);
  assert.is(table.suspicionOf("f", 101), serving.Suspicion.None);
  table.noteCrash("f", 4, 120, 121);
  assert.is(table.suspicionOf("f", 121), serving.Suspicion.Suspected);
});

suite("crashes that a rejected request explains don't isolate the requests that ran beside it", () => {
  const table = createTable();
  noteCrashes(table, "innocent", [1, 2]);
  assert.is(table.suspicionOf("innocent", 5), serving.Suspicion.Isolated);
  noteCrashes(table, "guilty", [1, 2, 3]);
  assert.is(table.suspicionOf("innocent", 5), serving.Suspicion.None);
  table.noteSuccess("guilty", 10);
  assert.is(table.suspicionOf("innocent", 10), serving.Suspicion.Isolated);
});

suite("after its rejection a request runs isolated, and another crash rejects it for twice as long", () => {
  const table = createTable();
  noteCrashes(table, "f", [1, 2, 3]);
  const after = 10 * MINUTE_MS + 3;
  assert.is(table.suspicionOf("f", after), serving.Suspicion.Isolated);
  table.noteCrash("f", 4, after, after);
  assert.is(table.rejectedForMs("f", after), 20 * MINUTE_MS);
});

suite("one suspect is on trial at a time in the fleet", () => {
  const table = createTable();
  assert.is(table.beginTrial("f", 0), true);
  assert.is(table.beginTrial("g", 0), false);
  table.endTrial("f");
  table.notePeerTrial("vm-2", true, 0);
  assert.is(table.beginTrial("g", 500), false);
  assert.is(table.beginTrial("g", 1_500), true, "a peer without heartbeats does not block other trials");
  table.endTrial("g");
  table.notePeerTrial("vm-2", true, 1_500);
  table.notePeerTrial("vm-2", false, 1_600);
  assert.is(table.beginTrial("g", 1_600), true);
});

suite("an old record does not bring back crashes that have been cleared since", () => {
  const table = createTable();
  noteCrashes(table, "f", [1, 2, 3]);
  const old = table.recordsToPublish(10);
  table.noteSuccess("f", 100);
  for (const record of old) {
    table.merge({ ...record, ends: record.ends.map(({ life, agoMs }) => ({ life, agoMs: agoMs + 190 })) }, 200);
  }
  assert.is(table.suspicionOf("f", 200), serving.Suspicion.None);
});

// Guards against a forged record: an incarnation that still answers cannot have crashed.
suite("a record of refuted crashes has no effect", () => {
  const table = createTable((incarnation) => incarnation < 10);
  const scope = serving.SuspectScope.Request;
  const record = {
    fingerprint: "f",
    scope,
    ends: [1, 2, 3].map((life) => ({ life, agoMs: 5 })),
    clearedAgoMs: undefined,
  };
  table.merge(record, 100);
  assert.is(table.suspicionOf("f", 100), serving.Suspicion.None);
  assert.is(table.isEmpty, true);
});

suite("two daemons that exchange their records reach the same suspicions, whatever they observed", () => {
  const events = fastCheck.array(
    fastCheck.record({
      daemon: fastCheck.integer({ min: 0, max: 1 }),
      fingerprint: fastCheck.constantFrom("f", "g"),
      incarnation: fastCheck.integer({ min: 1, max: 6 }),
      isSuccess: fastCheck.boolean(),
    }),
    { maxLength: 20 },
  );
  fastCheck.assert(
    fastCheck.property(events, (drawn) => {
      const daemons = [createTable(), createTable()];
      let now = 0;
      for (const { daemon, fingerprint, incarnation, isSuccess } of drawn) {
        now += 10;
        // An incarnation crashes once, at one instant, whichever daemon observes it.
        if (isSuccess) daemons[daemon]?.noteSuccess(fingerprint, now);
        else daemons[daemon]?.noteCrash(fingerprint, incarnation, incarnation * 25, now);
      }
      for (let round = 0; round < 3; round++) {
        now += 10;
        const records = daemons.map((table) => table.recordsToPublish(now));
        for (const [index, table] of daemons.entries())
          for (const record of records[1 - index] ?? []) table.merge(record, now);
      }
      const suspicions = daemons.map((table) => ["f", "g"].map((each) => table.suspicionOf(each, now)));
      assert.equal(suspicions[0], suspicions[1]);
    }),
    { seed: 31, numRuns: 500 },
  );
});

suite("isolated suspects are published repeatedly, slightly suspected ones are not", () => {
  const table = createTable();
  noteCrashes(table, "slight", [1]);
  noteCrashes(table, "grave", [1, 2]);
  assert.is(table.recordsToPublish(100).length, 2);
  table.recordsToPublish(3_900);
  assert.equal(
    table.recordsToPublish(5_000).map(({ fingerprint }) => fingerprint),
    ["grave"],
  );
  assert.equal(table.recordsToPublish(5_100), []);
  assert.equal(
    table.snapshotRecords(5_100).map(({ fingerprint }) => fingerprint),
    ["grave"],
  );
});

suite("the table and its messages are bounded, and the most suspected requests are kept", () => {
  const table = createTable();
  noteCrashes(table, "grave", [1, 2, 3]);
  for (let index = 0; index < 5_000; index++) table.noteCrash(`f${index}`, index, index, index);
  assert.ok(table.count(5_000) <= 2_048);
  assert.is(table.suspicionOf("grave", 5_000), serving.Suspicion.Quarantined);
  const records = table.recordsToPublish(5_000);
  assert.ok(records.length <= 24);
  assert.is(records[0]?.fingerprint, "grave");
});

suite.run();
