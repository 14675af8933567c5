import * as serving from "@camphorcourse/serving";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as publishedRecords from "../src/distance/publishedRecords.js";
import * as workDeltas from "../src/distance/workDeltas.js";

const suite = uvu.suite("records of suspects and limits for other regions");

const { Near, Distant } = workDeltas.Audience;

function limit(index: number, version = 1): serving.LimitRecord {
  const endpointId = `engine-${index}`;
  return { endpointId, bornAt: undefined, requestsPerSecond: 3, statedIn: serving.AnsweredCall.Run, version };
}

function recordsOf(publications: serving.LimitRecord[][], hasDistant: boolean): publishedRecords.PublishedRecords {
  const none = { recordsToPublish: () => [], recordOf: () => undefined };
  const limits = { recordsToPublish: () => publications.shift() ?? [] };
  return new publishedRecords.PublishedRecords({ suspects: none, limits }, hasDistant);
}

function idsOf({ limits }: publishedRecords.RecordFields): string[] {
  return limits.map(({ endpoint }) => endpoint);
}

// The tables publish in turn. With heartbeats of two kinds, one kind could get the same half of the records for ever, and
// a region would send an endpoint more than it takes.
suite("a record that was published in a heartbeat to one audience is sent to the other one, too", () => {
  const records = recordsOf([[limit(1)], [limit(2)], [limit(3), limit(1, 2)]], true);
  assert.equal(idsOf(records.take(Near, 0)), ["engine-1"]);
  assert.equal(idsOf(records.take(Near, 40)), ["engine-2"]);
  const distant = records.take(Distant, 80);
  assert.equal(idsOf(distant), ["engine-1", "engine-2", "engine-3"]);
  assert.is(distant.limits[0]?.version, 2n, "the newest statement");
  assert.equal(idsOf(records.take(Near, 120)), ["engine-3", "engine-1"]);
  assert.equal(idsOf(records.take(Distant, 500)), []);
});

suite("no heartbeat holds more records than fit beside the work, and those that wait are bounded", () => {
  const publications = Array.from({ length: 200 }, (_, round) =>
    Array.from({ length: 8 }, (_each, index) => limit(8 * round + index)),
  );
  const records = recordsOf(publications, true);
  for (let round = 0; round < 200; round++) assert.is(idsOf(records.take(Near, round)).length, 8);
  const sent: string[] = [];
  for (let round = 0; round < 200; round++) {
    const ids = idsOf(records.take(Distant, 1_000 + round));
    assert.ok(ids.length <= 16);
    sent.push(...ids);
  }
  assert.is(sent.length, 512);
  assert.is(new Set(sent).size, 512);
  assert.is(sent.at(-1), "engine-1599");
});

// A suspect is published once in some time: the region that missed it would run the request that crashes engines.
suite("a suspect reaches both audiences, with its age at the time of sending", () => {
  const table = new serving.SuspectTable({ isRefuted: () => false, onChange: () => undefined });
  const ends = [1, 2, 3, 4].map((life) => ({ life, agoMs: 100 * life }));
  const scope = serving.SuspectScope.Request;
  table.merge({ fingerprint: "00000000000000aa", scope, ends, clearedAgoMs: undefined }, 1_000);
  const parts = { suspects: table, limits: { recordsToPublish: () => [] } };
  const records = new publishedRecords.PublishedRecords(parts, true);
  const later = 100_000;
  records.take(Distant, later);
  records.take(Near, later);
  let at = later;
  while (records.take(Near, at).suspects.length === 0) at += 40;
  assert.is(table.recordsToPublish(at + 200).length, 0, "the table publishes it once in a while only");
  const [distant] = records.take(Distant, at + 200).suspects;
  assert.is(distant?.endedAgoMs[0], at + 200 - 900);
});

suite("with one region what is published is sent at once, in any number", () => {
  const twenty = Array.from({ length: 20 }, (_, index) => limit(index));
  const records = recordsOf([twenty], false);
  assert.is(idsOf(records.take(Near, 0)).length, 20);
  assert.is(idsOf(records.take(Near, 40)).length, 0);
});

suite.run();
