import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serving from "../src/index.js";

const suite = uvu.suite("limits by the latest statement of each endpoint");
const { None, Stated, Unreadable } = serving.LimitStatement;
const { Run, Prefill } = serving.AnsweredCall;
const ENGINE = { id: "e1", bornAt: 1 };

function stating(requestsPerSecond: number | undefined, versionAtSend = 0, call = Run): serving.LimitAnswer {
  const stated =
    requestsPerSecond === undefined
      ? ({ statement: None } as const)
      : ({ statement: Stated, requestsPerSecond } as const);
  return { call, stated, isSuccess: true, versionAtSend };
}

suite("an answer states a limit, and a later one withdraws it", () => {
  const table = new serving.LimitTable();
  assert.is(table.noteAnswer(ENGINE, stating(undefined), 0, 100), undefined);
  assert.is(table.noteAnswer(ENGINE, stating(3), 0, 100)?.after.requestsPerSecond, 3);
  assert.is(table.noteAnswer(ENGINE, stating(3), 0, 200), undefined);
  assert.is(table.limitOf(ENGINE)?.version, 200);
  const change = table.noteAnswer(ENGINE, stating(undefined, 200), 0, 300);
  assert.is(change?.before?.requestsPerSecond, 3);
  assert.ok(table.isEmpty);
});

// Answers on different connections overtake each other: one that was made before the limit must not withdraw it.
suite("an answer to a request sent before the limit was known doesn't withdraw it", () => {
  const table = new serving.LimitTable();
  table.noteAnswer(ENGINE, stating(3), 0, 100);
  table.noteAnswer(ENGINE, stating(undefined, 0), 0, 101);
  assert.is(table.limitOf(ENGINE)?.requestsPerSecond, 3);
});

suite("failures, unreadable values and answers to other calls don't withdraw a limit", () => {
  const table = new serving.LimitTable();
  table.noteAnswer(ENGINE, stating(3), 0, 100);
  table.noteAnswer(ENGINE, { ...stating(undefined, 100), isSuccess: false }, 0, 101);
  table.noteAnswer(ENGINE, { ...stating(1, 100), stated: { statement: Unreadable, text: "x" } }, 0, 102);
  table.noteAnswer(ENGINE, stating(undefined, 100, Prefill), 0, 103);
  assert.is(table.limitOf(ENGINE)?.requestsPerSecond, 3);
});

suite("a limit ends with its incarnation", () => {
  const table = new serving.LimitTable();
  table.noteAnswer(ENGINE, stating(3), 0, 100);
  assert.is(table.limitOf({ id: "e1", bornAt: 2 }), undefined);
  table.noteAnswer({ id: "e1", bornAt: 2 }, stating(9), 0, 200);
  assert.is(table.limitOf(ENGINE), undefined);
});

suite("records of peers apply only if they are newer, in whichever order they arrive", () => {
  const first = new serving.LimitTable();
  first.noteAnswer(ENGINE, stating(3), 0, 100);
  const early = first.recordsToPublish(0, () => false);
  first.noteAnswer(ENGINE, stating(undefined, 100), 0, 100);
  const late = first.recordsToPublish(0, () => false);
  for (const order of [
    [early, late],
    [late, early],
  ]) {
    const second = new serving.LimitTable();
    for (const record of order.flat()) second.merge(record);
    assert.ok(second.isEmpty);
  }
});

// The clock of one VM may be seconds ahead. What it has observed must not outweigh the later observations of others.
suite("an observation supersedes every record known at the time, whatever the clocks show", () => {
  const ahead = new serving.LimitTable();
  ahead.noteAnswer(ENGINE, stating(3), 0, 9_000);
  const table = new serving.LimitTable();
  for (const record of ahead.recordsToPublish(0, () => false)) table.merge(record);
  table.noteAnswer(ENGINE, stating(undefined, table.versionOf(ENGINE)), 0, 1_000);
  assert.ok(table.isEmpty);
  for (const record of table.recordsToPublish(0, () => false)) ahead.merge(record);
  assert.ok(ahead.isEmpty);
});

suite("of two records with one version the lower limit counts", () => {
  const record = { endpointId: "e1", bornAt: 1, statedIn: Run, version: 5 };
  for (const order of [
    [4, 2, undefined],
    [undefined, 2, 4],
  ]) {
    const table = new serving.LimitTable();
    for (const requestsPerSecond of order) table.merge({ ...record, requestsPerSecond });
    assert.is(table.limitOf(ENGINE)?.requestsPerSecond, 2);
  }
});

suite("a peer's record of an earlier incarnation does nothing", () => {
  const table = new serving.LimitTable();
  table.noteAnswer({ id: "e1", bornAt: 2 }, stating(9), 0, 100);
  table.merge({ endpointId: "e1", bornAt: 1, requestsPerSecond: 1, statedIn: Run, version: 900 });
  assert.is(table.limitOf({ id: "e1", bornAt: 2 })?.requestsPerSecond, 9);
});

// Entries lapse in an outage of the key-value service although their endpoints live, so that some time has to pass.
suite("the limit of an endpoint that is gone is removed after a minute, that of a listed one is kept", () => {
  const table = new serving.LimitTable();
  table.noteAnswer(ENGINE, stating(3), 0, 0);
  table.removeUnlisted(() => false, 59_000);
  assert.not.ok(table.isEmpty);
  table.removeUnlisted(() => true, 61_000);
  assert.not.ok(table.isEmpty);
  table.removeUnlisted(() => false, 61_000);
  assert.ok(table.isEmpty);
});

suite("a heartbeat has a bounded number of records, each in its turn", () => {
  const table = new serving.LimitTable();
  for (let index = 0; index < 20; index++) table.noteAnswer({ id: `e${index}`, bornAt: 1 }, stating(3), 0, 100);
  const rounds = [1, 2, 3].map(() => table.recordsToPublish(0, () => false));
  for (const records of rounds) assert.is(records.length, 8);
  assert.is(new Set(rounds.flat().map(({ endpointId }) => endpointId)).size, 20);
});

suite.run();
