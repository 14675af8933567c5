import * as datagrams from "node:dgram";
import * as protobuf from "@bufbuild/protobuf";
import * as messages from "@camphorcourse/protocol/gateway";
import * as serving from "@camphorcourse/serving";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as decisionLogs from "../src/decisionLog.js";
import * as fleetViews from "../src/fleetView.js";
import * as peerLinks from "../src/peerLink.js";
import * as peerCalls from "../src/peers/peerCalls.js";
import * as freePorts from "./helpers/freePort.js";
import * as limits from "./helpers/limits.js";
import * as pacing from "./helpers/pacing.js";
import * as paths from "./helpers/paths.js";
import * as fairnessHelper from "./helpers/fairness.js";

const HOST = "127.0.0.1";

/** Size of a fleet in which a daemon sends one heartbeat per second. */
const FLEET_SIZE = 150;

/** Well within the second until the next heartbeat, in milliseconds. */
const PROMPT_SEND_MS = 600;

const CONFIGURATION: serving.Configuration = {
  version: 1,
  routes: [],
  services: [],
  limits: { headerBytes: 1_000, bodyBytes: 1_000, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 },
};

const suite = uvu.suite("peer link");

async function within(holds: () => boolean, what: string): Promise<void> {
  const until = performance.now() + PROMPT_SEND_MS;
  while (!holds()) {
    if (performance.now() > until) throw new Error(`not in time: ${what}`);
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

const OWN_ENTRY = { vm: "vm-1", incarnation: "i", dataCentre: "a", callers: "", peers: "", capacity: 1 };

async function createLink(view: fleetViews.FleetView): Promise<peerLinks.PeerLink> {
  const ignore = (): void => undefined;
  return new peerLinks.PeerLink({
    dutyLeaseMs: () => undefined,
    settings: { peers: { host: HOST, port: await freePorts.freePort() } } as never,
    streams: { answer: () => undefined, merge: () => undefined, publishDue: () => undefined },
    entry: OWN_ENTRY,
    view,
    loads: new serving.EngineLoadTracker(),
    demand: new serving.Demand(),
    speeds: new serving.ServiceSpeeds(),
    suspects: new serving.SuspectTable({ isRefuted: () => false, onChange: () => undefined }),
    limits: limits.createLimits(),
    pacing: pacing.createPacing(),
    acceptance: new serving.AcceptanceTracker(),
    fairness: fairnessHelper.createFairness(view),
    log: new decisionLogs.DecisionLog("vm-1", "fatal", { writableLength: 0, write: () => true }),
    ready: () => true,
    ...paths.REACHING_ALL,
    lateMs: () => 0,
    storeSilentMs: () => 0,
    followsClosely: () => true,
    busyCores: () => 0,
    onDaemon: ignore,
    onConfiguration: ignore,
    onEndpoint: ignore,
    onDeparture: ignore,
  });
}

// A configuration is accepted, and the daemons that read it send it to those that rarely read. If they waited for their
// next heartbeat and check, a second later each in a large fleet, callers would get 404 on an added route for longer
// than the limit.
suite("a new configuration is reported in heartbeats, and sent to daemons that rarely read, at once", async () => {
  const peer = datagrams.createSocket("udp4");
  const port = await freePorts.freePort();
  await new Promise<void>((resolve) => peer.bind(port, HOST, resolve));
  const heartbeatRevisions: bigint[] = [];
  peer.on("message", (bytes) =>
    heartbeatRevisions.push(protobuf.fromBinary(messages.PulseSchema, bytes).configurationRevision),
  );
  const sentRevisions: bigint[] = [];
  let sentEndpoints = 0;
  const server = await peerCalls.servePeers(
    { host: HOST, port },
    {
      ...paths.REACHING_ALL.pathCalls,
      onStreamQuery: () => undefined,
      onNews: (news) => {
        sentEndpoints += news.endpoints.length;
        sentRevisions.push(news.configurationRevision);
        return Number(news.configurationRevision);
      },
    },
    paths.REACHING_ALL.peerServer,
  );

  const view = new fleetViews.FleetView();
  const others = Array.from({ length: FLEET_SIZE }, (_, index) => `vm-${index + 2}`);
  // Nothing listens on the other addresses; only vm-2 exists.
  for (const vm of others) view.daemons.set(vm, { ...OWN_ENTRY, vm, peers: `${HOST}:${vm === "vm-2" ? port : 9}` });
  view.configure(CONFIGURATION, new Uint8Array([1]), 1);
  view.endpointDocuments.set("e1", { value: new Uint8Array([1]), revision: 1 });
  const link = await createLink(view);
  try {
    await link.start();
    await within(() => heartbeatRevisions.length === 1, "the first heartbeat");
    link.peerTable.record({
      vm: "vm-2",
      incarnation: "i",
      dataCentre: "a",
      active: true,
      dispatching: true,
      cutOff: false,
      linkLost: false,
      activeVms: [],
      capacity: 1,
      busyCores: 0,
      nextWithinMs: 1_000,
      ready: true,
      configurationRevision: 1,
      storeSilentMs: 0,
      followsClosely: false,
      readingLoad: 0,
      eventsPerMs: 0,
      lastReceivedAt: performance.now(),
    });
    view.configure(CONFIGURATION, new Uint8Array([2]), 2);
    link.noteConfiguration();
    await within(() => heartbeatRevisions.includes(2n), "a heartbeat with the new revision");
    await within(() => sentRevisions.length > 0, "the news with the configuration");
    assert.equal(sentRevisions, [2n]);
    assert.is(sentEndpoints, 0, "a daemon that the key-value service answers needs no list of endpoints");
  } finally {
    link.stop();
    peer.close();
    server.close();
    server.closeAllConnections();
  }
});

// Guards against an error that ends the daemon: the paths to endpoints change before its sockets are open or after they are closed.
suite("nothing is sent before its sockets are open and after they are closed", async () => {
  const view = new fleetViews.FleetView();
  view.daemons.set("vm-2", { ...OWN_ENTRY, vm: "vm-2", peers: `${HOST}:9` });
  view.configure(CONFIGURATION, new Uint8Array([1]), 1);
  const link = await createLink(view);
  const change = (): void => {
    link.noteConfiguration();
    link.sendHeartbeatsNow();
  };
  try {
    change();
    await link.start();
    change();
  } finally {
    link.stop();
  }
  change();
});

suite.run();
