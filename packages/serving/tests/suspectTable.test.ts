import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const MINUTE_MS = 60_000;

function tableOf(isRefuted: (life: number, endedAt: number) => boolean = () => false): serving.SuspectTable {
  return new serving.SuspectTable({ isRefuted, onChange: () => undefined });
}

function ended(table: serving.SuspectTable, fingerprint: string, lives: readonly number[], at = 0): void {
  for (const [index, life] of lives.entries()) table.noteCrash(fingerprint, life, at + index, at + index);
}

const suite = uvu.suite("requests under which endpoints ended");

suite("the first end says little, the second isolates, the third rejects for minutes", () => {
  const table = tableOf();
  assert.is(table.isEmpty, true);
  const seen = [1, 2, 3].map((life) => {
    table.noteCrash("f", life, life, life);
    return table.suspicionOf("f", life);
  });
  assert.equal(seen, [serving.Suspicion.Suspected, serving.Suspicion.Isolated, serving.Suspicion.Quarantined]);
  assert.is(table.rejectedForMs("f", 3), 10 * MINUTE_MS);
});

suite("one end that several daemons saw counts once", () => {
  const table = tableOf();
  ended(table, "f", [7, 7, 7]);
  assert.is(table.suspicionOf("f", 10), serving.Suspicion.Suspected);
});

// Guards against turning a call away that runs everywhere at any time, and so is there whenever an endpoint ends.
suite("a run that ended well clears what was before, and nothing after", () => {
  const table = tableOf();
  ended(table, "f", [1, 2]);
  table.noteSuccess("f", 100);
  assert.is(table.suspicionOf("f", 100), serving.Suspicion.None);
  table.noteCrash("f", 3, 50, 101);
  assert.is(table.suspicionOf("f", 101), serving.Suspicion.None);
  table.noteCrash("f", 4, 120, 121);
  assert.is(table.suspicionOf("f", 121), serving.Suspicion.Suspected);
});

suite("ends that a rejected request accounts for don't isolate those that ran beside it", () => {
  const table = tableOf();
  ended(table, "innocent", [1, 2]);
  assert.is(table.suspicionOf("innocent", 5), serving.Suspicion.Isolated);
  ended(table, "guilty", [1, 2, 3]);
  assert.is(table.suspicionOf("innocent", 5), serving.Suspicion.None);
  table.noteSuccess("guilty", 10);
  assert.is(table.suspicionOf("innocent", 10), serving.Suspicion.Isolated);
});

suite("after its term it is tried alone, and one more end rejects it for twice as long", () => {
  const table = tableOf();
  ended(table, "f", [1, 2, 3]);
  const after = 10 * MINUTE_MS + 3;
  assert.is(table.suspicionOf("f", after), serving.Suspicion.Isolated);
  table.noteCrash("f", 4, after, after);
  assert.is(table.rejectedForMs("f", after), 20 * MINUTE_MS);
});

suite("one suspect is tried at a time in the fleet", () => {
  const table = tableOf();
  assert.is(table.beginTrial("f", 0), true);
  assert.is(table.beginTrial("g", 0), false);
  table.endTrial("f");
  table.notePeerTrial("vm-2", true, 0);
  assert.is(table.beginTrial("g", 500), false);
  assert.is(table.beginTrial("g", 1_500), true, "a peer that fell silent does not hold the others up");
  table.endTrial("g");
  table.notePeerTrial("vm-2", true, 1_500);
  table.notePeerTrial("vm-2", false, 1_600);
  assert.is(table.beginTrial("g", 1_600), true);
});

suite("an old record does not bring back what has been cleared since", () => {
  const table = tableOf();
  ended(table, "f", [1, 2, 3]);
  const old = table.recordsToPublish(10);
  table.noteSuccess("f", 100);
  for (const record of old) {
    table.merge({ ...record, ends: record.ends.map(({ life, agoMs }) => ({ life, agoMs: agoMs + 190 })) }, 200);
  }
  assert.is(table.suspicionOf("f", 200), serving.Suspicion.None);
});

// Guards against a forged record: a life that goes on answering cannot have ended.
suite("a record of ends that are refuted does nothing", () => {
  const table = tableOf((life) => life < 10);
  const record = { fingerprint: "f", ends: [1, 2, 3].map((life) => ({ life, agoMs: 5 })), clearedAgoMs: undefined };
  table.merge(record, 100);
  assert.is(table.suspicionOf("f", 100), serving.Suspicion.None);
  assert.is(table.isEmpty, true);
});

suite("whatever is told, two daemons that hear each other agree in the end", () => {
  const events = fastCheck.array(
    fastCheck.record({
      daemon: fastCheck.integer({ min: 0, max: 1 }),
      fingerprint: fastCheck.constantFrom("f", "g"),
      life: fastCheck.integer({ min: 1, max: 6 }),
      isClean: fastCheck.boolean(),
    }),
    { maxLength: 20 },
  );
  fastCheck.assert(
    fastCheck.property(events, (happened) => {
      const daemons = [tableOf(), tableOf()];
      let now = 0;
      for (const { daemon, fingerprint, life, isClean } of happened) {
        now += 10;
        // A life ends once, at one instant, whoever sees it.
        if (isClean) daemons[daemon]?.noteSuccess(fingerprint, now);
        else daemons[daemon]?.noteCrash(fingerprint, life, life * 25, now);
      }
      for (let round = 0; round < 3; round++) {
        now += 10;
        const records = daemons.map((table) => table.recordsToPublish(now));
        for (const [index, table] of daemons.entries())
          for (const record of records[1 - index] ?? []) table.merge(record, now);
      }
      const seen = daemons.map((table) => ["f", "g"].map((each) => table.suspicionOf(each, now)));
      assert.equal(seen[0], seen[1]);
    }),
    { seed: 31, numRuns: 500 },
  );
});

suite("what lasts is told again, what is slight is not", () => {
  const table = tableOf();
  ended(table, "slight", [1]);
  ended(table, "grave", [1, 2]);
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

suite("the table and its messages are bounded, and the gravest stay", () => {
  const table = tableOf();
  ended(table, "grave", [1, 2, 3]);
  for (let index = 0; index < 5_000; index++) table.noteCrash(`f${index}`, index, index, index);
  assert.ok(table.count(5_000) <= 1_024);
  assert.is(table.suspicionOf("grave", 5_000), serving.Suspicion.Quarantined);
  const records = table.recordsToPublish(5_000);
  assert.ok(records.length <= 10);
  assert.is(records[0]?.fingerprint, "grave");
});

suite.run();
