import * as datagrams from "node:dgram";
import * as protobuf from "@bufbuild/protobuf";
import * as messages from "@camphorcourse/protocol/gateway";
import * as serving from "@camphorcourse/serving";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import type * as beliefs from "../src/fleetViewUpdater.js";
import * as decisionLogs from "../src/decisionLog.js";
import * as fleetViews from "../src/fleetView.js";
import * as peerLinks from "../src/peerLink.js";
import * as freePorts from "./helpers/freePort.js";

/** Starts of one endpoint, in Unix milliseconds. */
const FIRST = 1_790_000_000_000;
const SECOND = FIRST + 40_000;

/** An entry far longer than an endpoint's own. */
const LONG_BYTES = 70_000;

const CHECK_MS = 10;
const MOST_CHECKS = 500;
const MEMORY_TOKENS = 10_000;

const suite = uvu.suite("what daemons tell each other of endpoints that start again");

type PulseFields = Exclude<protobuf.MessageInitShape<typeof messages.PulseSchema>, messages.Pulse>;

/** One daemon's link, and a peer of it that is a bare socket. */
class Pair {
  readonly view = new fleetViews.FleetView();
  readonly board = new serving.EngineLoadTracker();
  readonly departures: [id: string, departure: beliefs.Departure][] = [];
  readonly heard: messages.Pulse[] = [];
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
    this.#peer.on("message", (bytes) => this.heard.push(protobuf.fromBinary(messages.PulseSchema, bytes)));
    const peers = `127.0.0.1:${this.#peer.address().port}`;
    const other = { vm: "vm-2", incarnation: "i", dataCentre: "a", callers: "127.0.0.1:1", peers, capacity: 1 };
    this.view.daemons.set("vm-2", other);
    const sink = { writableLength: 0, write: (line: string) => this.lines.push(line) > 0 };
    this.#link = new peerLinks.PeerLink({
      settings: { peers: address } as never,
      entry: { ...other, vm: "vm-1", peers: `127.0.0.1:${this.#port}` },
      view: this.view,
      board: this.board,
      demand: new serving.Demand(),
      speeds: new serving.ServiceSpeeds(),
      suspects: new serving.SuspectTable({ isRefuted: () => false, onChange: () => undefined }),
      sizeShares: new serving.AcceptanceTracker(),
      log: new decisionLogs.DecisionLog("vm-1", "info", sink),
      ready: () => true,
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

  /** The peer says something, and a word that shows that it was taken. */
  async hear(fields: PulseFields): Promise<void> {
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
  for (let check = 0; check < MOST_CHECKS; check++) {
    if (holds()) return;
    await new Promise((resolve) => setTimeout(resolve, CHECK_MS));
  }
  throw new Error("not reached");
}

function engine(bornAt: number | undefined): serving.Endpoint {
  const place = { service: "s", address: "10.0.0.1:80", dataCentre: "a", slots: 6 };
  return { id: "e1", ...place, role: serving.EngineRole.Decode, leaving: false, bornAt };
}

let pair: Pair;
suite.before.each(async () => {
  pair = new Pair();
  await pair.start();
});
suite.after.each(() => {
  pair.stop();
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

// A daemon hears that a life of an endpoint is leaving, that an entry is gone, and that another writer's entry stands.
// Told without the difference, the first would take out the endpoint's next life, the second would let it be believed
// in, and with the third peers would drop what they know of an endpoint that is back in a moment.
suite(
  "a departure is told with the life that is leaving, a removal without, another writer's entry as such",
  async () => {
    const departures: [string, beliefs.Departure][] = [
      ["e1", { revision: 12, bornAt: FIRST, setAside: false }],
      ["e2", { revision: 13, bornAt: undefined, setAside: false }],
      ["e3", { revision: 14, bornAt: undefined, setAside: true }],
    ];
    for (const [id, departure] of departures) pair.link.noteDeparture(id, departure);
    await until(() => pair.heard.some((pulse) => pulse.departures.length === departures.length));
    const told = pair.heard.find((pulse) => pulse.departures.length === departures.length);
    await pair.hear({ departures: told?.departures ?? [] });
    assert.equal(
      pair.departures.filter(([id]) => id.startsWith("e")),
      departures,
    );
  },
);

// A peer that hasn't heard of the start goes on telling that the engine is on the way to another role. The new life
// knows of no order: taken for changing, it would get nothing for 12 s.
suite("an order to the former life doesn't keep the new one from work", async () => {
  pair.view.directory.put(engine(SECOND), 5);
  const change = { endpoint: "e1", role: "prefill", forMs: 12_000 };
  await pair.hear({ changing: [{ ...change, startedAtMs: BigInt(FIRST) }] });
  assert.not.ok(pair.view.pendingRoleChanges.has("e1"));
  await pair.hear({ changing: [{ ...change, startedAtMs: BigInt(SECOND) }] });
  assert.ok(pair.view.isChangingRole(engine(SECOND), performance.now()));
});

suite("an order that was noted for the former life ends with it", () => {
  const until = performance.now() + 12_000;
  pair.view.pendingRoleChanges.set("e1", { until, role: serving.EngineRole.Prefill, bornAt: FIRST });
  assert.ok(pair.view.isChangingRole(engine(FIRST), performance.now()));
  assert.not.ok(pair.view.isChangingRole(engine(SECOND), performance.now()));
});

// Daemons of the older form tell no start, and endpoints of the older form say none. Both are believed as before.
suite("an order that is told without a start is believed", async () => {
  const change = { endpoint: "e1", role: "prefill", forMs: 12_000 };
  pair.view.directory.put(engine(SECOND), 5);
  await pair.hear({ changing: [change] });
  assert.ok(pair.view.isChangingRole(engine(SECOND), performance.now()));
});

// Parts that the former life read are told late. Taken for kept, prompts would go there as to their home.
suite("parts that the former life has read aren't taken for kept", async () => {
  pair.view.directory.put(engine(SECOND), 5);
  const cached = (): number => pair.board.cache("e1", MEMORY_TOKENS).cachedTokens(PROMPT);
  assert.is(cached(), 0);
  const read = { endpoint: "e1", model: "m", part: "shared", tokens: 500 };
  await pair.hear({ reads: [{ ...read, startedAtMs: BigInt(FIRST) }] });
  assert.is(cached(), 0);
  await pair.hear({ reads: [{ ...read, startedAtMs: BigInt(SECOND) }] });
  assert.is(cached(), 500);
});

// Another writer leaves an entry of many kilobytes that can be used. A pulse with it could not be sent, and this daemon
// would look dead to all others for as long as it tells it.
suite("an entry that is too long for a pulse doesn't silence the daemon", async () => {
  pair.view.endpointDocuments.set("long", { value: new Uint8Array(LONG_BYTES), revision: 5 });
  pair.view.endpointDocuments.set("short", { value: new Uint8Array(200), revision: 6 });
  pair.link.noteEntry("long");
  pair.link.noteEntry("short");
  pair.link.sendHeartbeatsNow();
  const told = (id: string): boolean => pair.heard.some((pulse) => pulse.entries.some((entry) => entry.id === id));
  await until(() => told("short"));
  assert.not.ok(told("long"));
});

suite.run();
