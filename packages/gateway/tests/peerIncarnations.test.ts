import * as datagrams from "node:dgram";
import * as protobuf from "@bufbuild/protobuf";
import * as messages from "@camphorcourse/protocol/gateway";
import * as serving from "@camphorcourse/serving";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import type * as fleetViewUpdaters from "../src/fleetViewUpdater.js";
import * as decisionLogs from "../src/decisionLog.js";
import * as fleetViews from "../src/fleetView.js";
import * as peerLinks from "../src/peerLink.js";
import * as freePorts from "./helpers/freePort.js";
import * as limits from "./helpers/limits.js";
import * as pacing from "./helpers/pacing.js";
import * as paths from "./helpers/paths.js";
import * as fairnessHelper from "./helpers/fairness.js";

/** Start times of two incarnations of one endpoint, in Unix milliseconds. */
const FIRST = 1_790_000_000_000;
const SECOND = FIRST + 40_000;

/** Size of an entry far larger than an endpoint's own. */
const LONG_BYTES = 70_000;

const CHECK_MS = 10;
const MAX_CHECKS = 500;
const MEMORY_TOKENS = 10_000;

const suite = uvu.suite("peer reports on restarted endpoints");

type PulseFields = Exclude<protobuf.MessageInitShape<typeof messages.PulseSchema>, messages.Pulse>;

/** One daemon's peer link, and a bare socket as its peer. */
class LinkFixture {
  readonly view = new fleetViews.FleetView();
  readonly loads = new serving.EngineLoadTracker();
  readonly departures: [id: string, departure: fleetViewUpdaters.Departure][] = [];
  readonly received: messages.Pulse[] = [];
  readonly lines: string[] = [];
  #link: peerLinks.PeerLink | undefined;
  #port = 0;
  readonly #peer = datagrams.createSocket("udp4");

  get link(): peerLinks.PeerLink {
    if (this.#link === undefined) throw new Error("not started");
    return this.#link;
  }

  async start(): Promise<void> {
    this.#port = await freePorts.freePort();
    const address = { host: "127.0.0.1", port: this.#port };
    await new Promise<void>((resolve) => this.#peer.bind(0, "127.0.0.1", resolve));
    this.#peer.on("message", (bytes) => this.received.push(protobuf.fromBinary(messages.PulseSchema, bytes)));
    const peers = `127.0.0.1:${this.#peer.address().port}`;
    const other = { vm: "vm-2", incarnation: "i", dataCentre: "a", callers: "127.0.0.1:1", peers, capacity: 1 };
    this.view.daemons.set("vm-2", other);
    const sink = { writableLength: 0, write: (line: string) => this.lines.push(line) > 0 };
    this.#link = new peerLinks.PeerLink({
      dutyLeaseMs: () => undefined,
      settings: { peers: address } as never,
      entry: { ...other, vm: "vm-1", peers: `127.0.0.1:${this.#port}` },
      streams: { answer: () => undefined, merge: () => undefined, publishDue: () => undefined },
      view: this.view,
      loads: this.loads,
      demand: new serving.Demand(),
      speeds: new serving.ServiceSpeeds(),
      suspects: new serving.SuspectTable({ isRefuted: () => false, onChange: () => undefined }),
      limits: limits.createLimits(),
      pacing: pacing.createPacing(),
      acceptance: new serving.AcceptanceTracker(),
      fairness: fairnessHelper.createFairness(this.view),
      log: new decisionLogs.DecisionLog("vm-1", "info", sink),
      ready: () => true,
      ...paths.REACHING_ALL,
      lateMs: () => 0,
      storeSilentMs: () => 0,
      followsClosely: () => true,
      busyCores: () => 0,
      onDaemon: () => undefined,
      onConfiguration: () => undefined,
      onEndpoint: () => undefined,
      onDeparture: (id, departure) => this.departures.push([id, departure]),
    });
    await this.#link.start();
  }

  /** The peer sends a heartbeat with a marker departure, which shows that the heartbeat was applied. */
  async receive(fields: PulseFields): Promise<void> {
    const marker = { endpoint: `marker-${this.departures.length}`, revision: 1n };
    const pulse = { vm: "vm-2", ready: true, ...fields, departures: [...(fields.departures ?? []), marker] };
    const bytes = protobuf.toBinary(messages.PulseSchema, protobuf.create(messages.PulseSchema, pulse));
    this.#peer.send(bytes, this.#port, "127.0.0.1");
    await until(() => this.departures.some(([id]) => id === marker.endpoint));
  }

  stop(): void {
    this.link.stop();
    this.#peer.close();
  }
}

async function until(holds: () => boolean): Promise<void> {
  for (let check = 0; check < MAX_CHECKS; check++) {
    if (holds()) return;
    await new Promise((resolve) => setTimeout(resolve, CHECK_MS));
  }
  throw new Error("condition not reached");
}

function engine(bornAt: number | undefined): serving.Endpoint {
  const place = { service: "s", address: "10.0.0.1:80", dataCentre: "a", slots: 6 };
  return { id: "e1", ...place, role: serving.EngineRole.Decode, leaving: false, bornAt };
}

let fixture: LinkFixture;
suite.before.each(async () => {
  fixture = new LinkFixture();
  await fixture.start();
});
suite.after.each(() => {
  fixture.stop();
});

const PROMPT: serving.Prompt = {
  model: "m",
  parts: [
    { id: "shared", tokens: 500 },
    { id: "own", tokens: 100 },
  ],
  promptTokens: 600,
  outputTokens: 10,
};

// A daemon learns that an incarnation of an endpoint is leaving, that an entry is gone, and that a key holds another
// writer's entry. If these were not distinguished, the first would remove the endpoint's next incarnation, the second
// would let it be used, and with the third peers would drop what they know of an endpoint that returns in a moment.
suite(
  "a departure is sent with the incarnation that is leaving, a removal without, another writer's entry as set aside",
  async () => {
    const departures: [string, fleetViewUpdaters.Departure][] = [
      ["e1", { revision: 12, bornAt: FIRST, setAside: false, isStated: false }],
      ["e2", { revision: 13, bornAt: undefined, setAside: false, isStated: false }],
      ["e3", { revision: 14, bornAt: undefined, setAside: true, isStated: false }],
    ];
    for (const [id, departure] of departures) fixture.link.noteDeparture(id, departure);
    await until(() => fixture.received.some((pulse) => pulse.departures.length === departures.length));
    const sent = fixture.received.find((pulse) => pulse.departures.length === departures.length);
    await fixture.receive({ departures: sent?.departures ?? [] });
    assert.equal(
      fixture.departures.filter(([id]) => id.startsWith("e")),
      departures,
    );
  },
);

// A peer that doesn't know of the restart still reports that the engine is changing its role. The new incarnation never
// received the order; if it counted as changing, it would get no work for 12 s.
suite("an order to the previous incarnation doesn't keep the new one from work", async () => {
  fixture.view.directory.put(engine(SECOND), 5);
  const change = { endpoint: "e1", role: "prefill", forMs: 12_000 };
  await fixture.receive({ changing: [{ ...change, startedAtMs: BigInt(FIRST) }] });
  assert.not.ok(fixture.view.pendingRoleChanges.has("e1"));
  await fixture.receive({ changing: [{ ...change, startedAtMs: BigInt(SECOND) }] });
  assert.ok(fixture.view.isChangingRole(engine(SECOND), performance.now()));
});

suite("an order that was recorded for the previous incarnation ends with it", () => {
  const until = performance.now() + 12_000;
  fixture.view.pendingRoleChanges.set("e1", { until, role: serving.EngineRole.Prefill, bornAt: FIRST });
  assert.ok(fixture.view.isChangingRole(engine(FIRST), performance.now()));
  assert.not.ok(fixture.view.isChangingRole(engine(SECOND), performance.now()));
});

// Older daemons send no start time, and older endpoints have none. Their reports are accepted.
suite("an order that is sent without a start time is accepted", async () => {
  const change = { endpoint: "e1", role: "prefill", forMs: 12_000 };
  fixture.view.directory.put(engine(SECOND), 5);
  await fixture.receive({ changing: [change] });
  assert.ok(fixture.view.isChangingRole(engine(SECOND), performance.now()));
});

// Parts that the previous incarnation read are reported late. If they counted as cached, prompts would be sent there
// for them.
suite("parts that the previous incarnation has read don't count as cached", async () => {
  fixture.view.directory.put(engine(SECOND), 5);
  const cached = (): number => fixture.loads.cache("e1", MEMORY_TOKENS).cachedTokens(PROMPT);
  assert.is(cached(), 0);
  const read = { endpoint: "e1", model: "m", part: "shared", tokens: 500 };
  await fixture.receive({ reads: [{ ...read, startedAtMs: BigInt(FIRST) }] });
  assert.is(cached(), 0);
  await fixture.receive({ reads: [{ ...read, startedAtMs: BigInt(SECOND) }] });
  assert.is(cached(), 500);
});

// Another writer leaves a usable entry of many kilobytes. A heartbeat with it could not be sent, and this daemon would
// appear dead to all others while it includes the entry.
suite("an entry that is too long for a heartbeat doesn't keep it from being sent", async () => {
  fixture.view.endpointDocuments.set("long", { value: new Uint8Array(LONG_BYTES), revision: 5 });
  fixture.view.endpointDocuments.set("short", { value: new Uint8Array(200), revision: 6 });
  fixture.link.noteEntry("long");
  fixture.link.noteEntry("short");
  fixture.link.sendHeartbeatsNow();
  const isSent = (id: string): boolean =>
    fixture.received.some((pulse) => pulse.entries.some((entry) => entry.id === id));
  await until(() => isSent("short"));
  assert.not.ok(isSent("long"));
});

suite.run();
