import * as datagrams from "node:dgram";
import * as protobuf from "@bufbuild/protobuf";
import * as messages from "@camphorcourse/protocol/gateway";
import * as serving from "@camphorcourse/serving";
import * as decisionLogs from "../../src/decisionLog.js";
import * as trafficCounters from "../../src/distance/trafficCounter.js";
import * as fleetViews from "../../src/fleetView.js";
import * as metricsModule from "../../src/metrics.js";
import * as peerLinks from "../../src/peerLink.js";
import * as freePorts from "./freePort.js";
import * as limits from "./limits.js";
import * as fairnessHelper from "./fairness.js";
import * as pacing from "./pacing.js";
import * as paths from "./paths.js";

const HOST = "127.0.0.1";

/** A daemon whose heartbeats the link under test may receive. */
export interface PeerDescription {
  readonly vm: string;
  readonly dataCentre: string;
  /** Whether it forwards heartbeats of other regions. */
  readonly forwards?: boolean;
}

/** A socket in place of a daemon: it records the heartbeats that it receives, and can send some. */
export class Receiver {
  readonly pulses: messages.Pulse[] = [];
  readonly #socket = datagrams.createSocket("udp4");
  #address = "";

  /** @returns its IP:PORT */
  async listen(): Promise<string> {
    const port = await freePorts.freePort();
    this.#socket.on("message", (bytes) => this.pulses.push(protobuf.fromBinary(messages.PulseSchema, bytes)));
    await new Promise<void>((resolve) => this.#socket.bind(port, HOST, resolve));
    this.#address = `${HOST}:${port}`;
    return this.#address;
  }

  get address(): string {
    return this.#address;
  }

  /** Heartbeats with the state and the work. */
  get heartbeats(): messages.Pulse[] {
    return this.pulses.filter(({ changesOnly }) => !changesOnly);
  }

  get parts(): string[] {
    return this.pulses.flatMap(({ reads }) => reads.map(({ part }) => part));
  }

  /**
   * @param fields - the heartbeat
   * @param port - port of its receiver
   */
  send(fields: protobuf.MessageInitShape<typeof messages.PulseSchema>, port: number): void {
    const pulse = protobuf.create(messages.PulseSchema, fields);
    this.#socket.send(protobuf.toBinary(messages.PulseSchema, pulse), port, HOST);
  }

  close(): void {
    this.#socket.close();
  }
}

/** A link to other daemons, of which each is a {@link Receiver}. */
export interface LinkedDaemons {
  readonly link: peerLinks.PeerLink;
  readonly port: number;
  readonly view: fleetViews.FleetView;
  readonly loads: serving.EngineLoadTracker;
  readonly metrics: metricsModule.Metrics;
  readonly receivers: ReadonlyMap<string, Receiver>;
  close(): void;
}

/**
 * @param dataCentres - region of each data centre; the link's daemon is in `a1`
 * @param peers - the other daemons
 * @param lateMs - delay of the event loop, in milliseconds
 * @returns the link, which is not started yet
 */
export async function linkDaemons(
  dataCentres: Readonly<Record<string, string>>,
  peers: readonly PeerDescription[],
  lateMs = 0,
): Promise<LinkedDaemons> {
  const ignore = (): void => undefined;
  const view = new fleetViews.FleetView();
  const entry = { vm: "vm-1", incarnation: "i", dataCentre: "a1", callers: "", peers: "", capacity: 1 };
  const receivers = new Map<string, Receiver>();
  for (const { vm, dataCentre } of peers) {
    const receiver = new Receiver();
    receivers.set(vm, receiver);
    view.daemons.set(vm, { ...entry, vm, dataCentre, peers: await receiver.listen() });
  }
  const loads = new serving.EngineLoadTracker();
  const metrics = new metricsModule.Metrics();
  const distances = serving.distancesBetweenRegions({ dataCentre: "a1", dataCentres });
  const port = await freePorts.freePort();
  const link = new peerLinks.PeerLink({
    settings: { peers: { host: HOST, port } } as never,
    streams: { answer: () => undefined, merge: () => undefined, publishDue: () => undefined },
    entry,
    view,
    loads,
    distances,
    traffic: new trafficCounters.TrafficCounter(distances, metrics),
    demand: new serving.Demand(),
    pacing: pacing.createPacing(),
    fairness: fairnessHelper.createFairness(view),
    speeds: new serving.ServiceSpeeds(),
    suspects: new serving.SuspectTable({ isRefuted: () => false, onChange: () => undefined }),
    limits: limits.createLimits(),
    acceptance: new serving.AcceptanceTracker(),
    log: new decisionLogs.DecisionLog("vm-1", "fatal", { writableLength: 0, write: () => true }),
    ready: () => true,
    ...paths.REACHING_ALL,
    lateMs: () => lateMs,
    storeSilentMs: () => 0,
    dutyLeaseMs: () => undefined,
    followsClosely: () => false,
    busyCores: () => 0,
    onDaemon: (daemon) => view.daemons.set(daemon.vm, daemon),
    onConfiguration: ignore,
    onEndpoint: ignore,
    onDeparture: ignore,
  });
  for (const { vm, dataCentre, forwards = false } of peers) {
    link.peerTable.record({
      vm,
      incarnation: "i",
      dataCentre,
      active: true,
      dispatching: true,
      cutOff: false,
      linkLost: false,
      activeVms: [],
      capacity: 1,
      busyCores: 0,
      nextWithinMs: 60_000,
      ready: true,
      configurationRevision: 0,
      storeSilentMs: 0,
      followsClosely: false,
      readingLoad: 0,
      eventsPerMs: 0,
      forwards,
      lastReceivedAt: performance.now(),
    });
  }
  const close = (): void => {
    link.stop();
    for (const receiver of receivers.values()) receiver.close();
  };
  return { link, port, view, loads, metrics, receivers, close };
}
