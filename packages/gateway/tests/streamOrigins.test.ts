import * as serving from "@camphorcourse/serving";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as decisionLogs from "../src/decisionLog.js";
import * as fleetViews from "../src/fleetView.js";
import * as metricsModule from "../src/metrics.js";
import type * as servedRequests from "../src/servedRequest.js";
import * as streamOrigins from "../src/streams/streamOrigins.js";

const ORIGIN: serving.StreamOrigin = { service: "service", softwareVersion: "v1" };

const OTHERS = ["vm-2", "vm-3", "vm-4", "vm-5", "vm-6", "vm-7"].map((vm, index) => ({
  vm,
  dataCentre: index % 2 === 0 ? "a" : "b",
}));

const ROUTE: serving.Route = {
  name: "route",
  host: "desk",
  pathPrefix: "/",
  requestClass: serving.RequestClass.Stream,
  resumable: true,
  carriesPrompt: false,
  timeoutMs: 5_000,
  objectiveMs: 100,
  pauseMs: 100,
  priority: 0,
  attempts: 2,
  isPublic: false,
  shares: [{ service: "service", weight: 1 }],
};

const LIMITS = { headerBytes: 16_384, bodyBytes: 100_000, headerTimeoutMs: 1_000, idleTimeoutMs: 5_000 };

const suite = uvu.suite("what began the streams that callers take up");

/** One daemon, and what the others answer to it. */
class Harness implements streamOrigins.RecordPeers {
  readonly origins: streamOrigins.StreamOrigins;
  readonly sent: { readonly vm: string; readonly record: serving.StreamRecord }[] = [];
  readonly asked: string[] = [];
  readonly lines: string[] = [];
  answerOf: (vm: string) => Promise<serving.StreamOrigin | undefined> = () => Promise.resolve(undefined);

  constructor() {
    const view = new fleetViews.FleetView();
    view.configure({ version: 1, routes: [ROUTE], services: [], limits: LIMITS }, new Uint8Array(), 1);
    const sink = { writableLength: 0, write: (line: string) => this.lines.push(line) > 0 };
    this.origins = new streamOrigins.StreamOrigins({
      log: new decisionLogs.DecisionLog("vm-1", "info", sink),
      metrics: new metricsModule.Metrics(),
      view,
      peers: () => this,
    });
  }

  holders(): readonly serving.PossibleHolder[] {
    return OTHERS;
  }

  sendRecords(vm: string, records: readonly serving.StreamRecord[]): void {
    for (const record of records) this.sent.push({ vm, record });
  }

  findStream(vm: string): Promise<serving.StreamOrigin | undefined> {
    this.asked.push(vm);
    return this.answerOf(vm);
  }
}

/** A request as far as its stream is concerned. */
function request(id: string, organisation?: string): servedRequests.ServedRequest {
  return {
    id,
    origin: ORIGIN,
    route: ROUTE,
    caller: { host: "desk", path: "/x" },
    access: {
      restricted: organisation !== undefined,
      organisation: organisation === undefined ? undefined : { name: organisation },
    },
  } as unknown as servedRequests.ServedRequest;
}

function find(
  { origins }: Harness,
  attemptId: string | undefined,
  organisation?: string,
): Promise<streamOrigins.OriginFinding> {
  return origins.find(request("later", organisation), { attemptId, lastEventId: "3" });
}

suite("a record is sent to two daemons of two data centres with the first event", () => {
  const harness = new Harness();
  harness.origins.noteBegun(request("first"));
  assert.is(harness.sent.length, 2);
  const centres = harness.sent.map(({ vm }) => OTHERS.find((other) => other.vm === vm)?.dataCentre);
  assert.is(new Set(centres).size, 2);
  harness.origins.publishDue();
  assert.is(harness.sent.length, 2, "once");
});

suite("the daemon that began a stream knows it, until its answer is complete", async () => {
  const harness = new Harness();
  harness.origins.noteBegun(request("first"));
  const finding = await find(harness, "first");
  assert.equal([finding.origin, finding.source], [ORIGIN, streamOrigins.OriginSource.Record]);
  harness.origins.noteComplete(request("first"));
  assert.is((await find(harness, "first")).origin, undefined);
});

suite("the daemons that keep the record are asked first, others only if these don't know", async () => {
  const harness = new Harness();
  harness.origins.noteBegun(request("first"));
  const holders = harness.sent.map(({ vm }) => vm);
  harness.origins.noteComplete(request("first"));
  harness.answerOf = (vm) => Promise.resolve(holders.includes(vm) ? ORIGIN : undefined);
  const finding = await find(harness, "first");
  assert.equal([finding.origin, finding.source], [ORIGIN, streamOrigins.OriginSource.Peer]);
  assert.equal([...harness.asked].sort(), [...holders].sort());
  harness.answerOf = () => Promise.resolve(undefined);
  harness.asked.length = 0;
  assert.equal(await find(harness, "first"), {
    origin: undefined,
    source: streamOrigins.OriginSource.Unknown,
    isFinal: true,
  });
  assert.is(new Set(harness.asked).size, 5);
});

suite("a daemon that gives no answer may know: the caller may try again", async () => {
  const harness = new Harness();
  harness.answerOf = () => Promise.reject(new Error("timeout"));
  const { origin, isFinal } = await find(harness, "first");
  assert.equal([origin, isFinal], [undefined, false]);
});

// Nobody learns whether an attempt of another organisation exists.
suite("a stream of another organisation is unknown", async () => {
  const harness = new Harness();
  harness.origins.noteBegun(request("first", "hall"));
  assert.equal((await find(harness, "first", "hall")).origin, ORIGIN);
  assert.is((await find(harness, "first", "yard")).origin, undefined);
  assert.is((await find(harness, "first")).origin, undefined);
});

suite("an attempt that isn't named is unknown", async () => {
  const harness = new Harness();
  harness.origins.noteBegun(request("first"));
  assert.is((await find(harness, undefined)).origin, undefined);
});

// Without these fields, a version that was taken for the only one too early can't be told from one that was for long.
suite("the line of a stream that is taken up says by which length it was decided", async () => {
  const harness = new Harness();
  await find(harness, "first");
  const line = harness.lines.find((each) => each.includes("event=stream-taken-up"));
  assert.match(line ?? "", / versionsKnownMs=0 confirmedByPeer=false windowMs=8000 configurationAgeMs=/);
});

suite("records that contradict each other are logged, and neither is used", async () => {
  const harness = new Harness();
  harness.origins.noteBegun(request("first"));
  const record = harness.sent[0]?.record;
  assert.ok(record);
  harness.origins.merge({ ...record, origin: { ...ORIGIN, softwareVersion: "v2" } });
  assert.is((await find(harness, "first")).origin, undefined);
  assert.ok(harness.lines.some((line) => line.includes("event=stream-record-disputed")));
});

suite("a daemon that stops hands on its own records and those of others", () => {
  const harness = new Harness();
  harness.origins.noteBegun(request("first"));
  const record = harness.sent[0]?.record;
  assert.ok(record);
  harness.origins.merge({ ...record, attempt: "00000000000000ab" });
  harness.sent.length = 0;
  harness.origins.handOn();
  assert.is(new Set(harness.sent.map((each) => each.record.attempt)).size, 2);
  assert.is(harness.sent.length, 4);
});

suite.run();
