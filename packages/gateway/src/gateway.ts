import * as crypto from "node:crypto";
import type * as http from "node:http";
import * as v8 from "node:v8";
import * as common from "@camphorcourse/common";
import * as serving from "@camphorcourse/serving";
import * as fleetViewUpdaters from "./fleetViewUpdater.js";
import * as callerListeners from "./callerListener.js";
import * as callerAddresses from "./callers/callerAddresses.js";
import * as configurationGates from "./configuration/configurationGate.js";
import * as contexts from "./context.js";
import * as decisionLogs from "./decisionLog.js";
import * as trafficCounters from "./distance/trafficCounter.js";
import * as endpointClients from "./endpointClient.js";
import * as daemonEntries from "./daemonEntry.js";
import * as endpointChangesModule from "./endpoints/endpointChanges.js";
import * as fleetViews from "./fleetView.js";
import * as endpointLimits from "./limits/endpointLimits.js";
import type * as gatewayDependencies from "./lifecycle/gatewayDependencies.js";
import * as loopMonitors from "./lifecycle/loopMonitor.js";
import * as shutdownSequences from "./lifecycle/shutdownSequence.js";
import * as memoryGuards from "./memory/memoryGuard.js";
import * as gauges from "./metrics/gauges.js";
import * as metricsModule from "./metrics.js";
import * as usageCodecs from "./duties/usageCodec.js";
import * as dutyCandidates from "./duties/dutyCandidate.js";
import * as dutiesModule from "./duties/duties.js";
import * as reachabilities from "./paths/reachability.js";
import * as relayServers from "./paths/relayServer.js";
import * as peerLinks from "./peerLink.js";
import * as trueClocks from "./peers/trueClock.js";
import * as registrations from "./registration.js";
import * as servingContexts from "./requests/servingContext.js";
import type * as settingsModule from "./settings.js";
import * as sideServers from "./sideServers.js";
import * as endpointStatements from "./statements/endpointStatements.js";
import * as streamOrigins from "./streams/streamOrigins.js";
import * as timeoutKeepers from "./streams/timeoutKeeper.js";
import * as storeReadingModes from "./storeReadingMode.js";
import * as countedStores from "./store/countedStore.js";
import * as storeFollowers from "./storeFollower.js";
import * as crashProtections from "./suspects/crashProtection.js";

const SEED_BYTES = 4;

/** Descriptors of a process whose settings don't state them. */
const DEFAULT_MAX_DESCRIPTORS = 4_096;

/** One daemon: accepts callers' requests, follows the state of the fleet, and forwards the requests to endpoints. */
export class Gateway {
  readonly #settings: settingsModule.GatewaySettings;
  readonly #bounds: serving.ServerBounds;
  readonly #log: decisionLogs.DecisionLog;
  readonly #metrics = new metricsModule.Metrics();
  readonly #view = new fleetViews.FleetView();
  readonly #context: contexts.ServingContext;
  readonly #listener: callerListeners.CallerListener;
  readonly #follower: storeFollowers.StoreFollower;
  readonly #registration: registrations.Registration;
  readonly #entry: daemonEntries.DaemonEntry;
  readonly #peers: peerLinks.PeerLink;
  readonly #addresses: callerAddresses.CallerAddresses;
  readonly #storeReadingMode: storeReadingModes.StoreReadingMode;
  readonly #duties: dutiesModule.Duties;
  readonly #reachability: reachabilities.Reachability;
  readonly #servers: http.Server[] = [];
  readonly #loop: loopMonitors.LoopMonitor;
  readonly #gaugeSources: gauges.GaugeSources;
  readonly #timeoutKeeper: timeoutKeepers.TimeoutKeeper;
  readonly #shutdown: shutdownSequences.ShutdownSequence;
  #stopping = false;

  /**
   * @param settings - validated settings
   * @param dependencies - what the platform provides
   */
  constructor(settings: settingsModule.GatewaySettings, dependencies: gatewayDependencies.GatewayDependencies) {
    this.#settings = settings;
    this.#log = new decisionLogs.DecisionLog(settings.vm, settings.logLevel, dependencies.sink);
    this.#loop = new loopMonitors.LoopMonitor({
      log: this.#log,
      metrics: this.#metrics,
      openWork: () => ({
        open: this.#listener.openRequests,
        unsentToCallers: this.#listener.unsentBytes,
        unsentToEndpoints: this.#context.client.unsentBytes,
      }),
    });
    const stores = countedStores.countedStores(dependencies.store, this.#metrics);
    const random = new common.SeededRandom(crypto.randomBytes(SEED_BYTES).readUInt32BE());
    this.#entry = daemonEntries.createEntry(settings);
    const clock = new trueClocks.TrueClock(() =>
      this.#peers.peerTable.live(performance.now()).flatMap((peer) => peer.clockOffsetMs ?? []),
    );
    const limits = new endpointLimits.EndpointLimits({
      log: this.#log,
      metrics: this.#metrics,
      unixMs: () => clock.unixMs(),
      directory: this.#view.directory,
      vm: settings.vm,
      senders: () => this.#peers.senders,
      // Callers are spread evenly over the daemons that serve them.
      promptsPerMs: (now) => this.#context.demand.promptsPerMs(now) * this.#peers.senders.length,
    });
    const statements = new endpointStatements.EndpointStatements({
      log: this.#log,
      metrics: this.#metrics,
      format: dependencies.format,
      limits,
      directory: this.#view.directory,
      draw: () => random.next(),
      onLeaving: (endpoint) => fleetViewUpdater.applyLeaving(endpoint),
    });
    const isLoopLagging = (): boolean => this.#loop.isLagging;
    this.#reachability = new reachabilities.Reachability({
      settings,
      log: this.#log,
      directory: this.#view.directory,
      peers: () => this.#peers,
      random,
      isLoopLagging,
      onReturned: (endpointId, lostSince) => client.dropStale(endpointId, lostSince),
      onReachedByPeer: (endpointId) => this.#context.health.forgive(endpointId),
    });
    const { monitor } = this.#reachability;
    this.#bounds = serving.serverBounds({
      memoryBytes: settings.vmMemoryBytes ?? memoryGuards.DEFAULT_MEMORY_BYTES,
      heapBytes: v8.getHeapStatistics().heap_size_limit,
      maxDescriptors: settings.maxDescriptors ?? DEFAULT_MAX_DESCRIPTORS,
    });
    const client = new endpointClients.EndpointClient(
      (name) => this.#metrics.count(name),
      isLoopLagging,
      statements,
      this.#reachability,
      this.#bounds.maxOutgoing,
    );
    const protection = new crashProtections.CrashProtection({
      store: stores.suspects,
      prefix: dependencies.layout.suspectPrefix,
      log: this.#log,
      client,
      directory: this.#view.directory,
      probe: (endpoint) => monitor.probe(endpoint),
      onCrashed: (endpoint) => {
        this.#metrics.count("endpoints_ended");
        this.#context.backups.noteUnreliable(endpoint);
      },
      onEscalated: () => this.#peers.sendHeartbeatsNow(),
    });
    const { crashDetector, gate: suspects } = protection;
    const usageCounter = new serving.UsageCounter(settings.usage?.windowMs ?? Infinity);
    const fleetViewUpdater = new fleetViewUpdaters.FleetViewUpdater({
      layout: dependencies.layout,
      view: this.#view,
      log: this.#log,
      lateMs: () => this.#loop.lateMs,
      onEndpoint: (update) => endpointChanges.apply(update),
      onSuspect: (record) => suspects.table.merge(record, performance.now()),
      onRoleChange: (service, role, agoMs) => this.#duties.noteRoleChange(service, role, agoMs),
      onUsageReport: (value) =>
        void usageCodecs.decodeReport(value).map(({ window }) => usageCounter.markReported(window)),
      onConfiguration: () => {
        this.#listener.applyLimits();
        this.#peers.noteConfiguration();
      },
    });
    const configurationGate = new configurationGates.ConfigurationGate({
      store: stores.configuration,
      layout: dependencies.layout,
      view: this.#view,
      fleetViewUpdater,
      log: this.#log,
      metrics: this.#metrics,
      isStoreUnreachable: () => this.#follower.isUnreachable,
    });
    const distances = serving.distancesBetweenRegions(settings);
    const traffic = new trafficCounters.TrafficCounter(distances, this.#metrics);
    const streams = new streamOrigins.StreamOrigins({
      log: this.#log,
      metrics: this.#metrics,
      view: this.#view,
      peers: () => this.#peers.records,
    });
    this.#context = servingContexts.createServingContext({
      settings,
      log: this.#log,
      metrics: this.#metrics,
      view: this.#view,
      format: dependencies.format,
      client,
      limits,
      statements,
      streams,
      crashDetector,
      suspects,
      countUsage: (organisation) => {
        if (settings.usage !== undefined) usageCounter.count(organisation, clock.unixMs());
      },
      distances,
      traffic,
      random,
      onMisdirected: (endpoint, answeredBy) => fleetViewUpdater.applyMisdirection(endpoint, answeredBy),
      configuration: configurationGate,
      lateMs: () => this.#loop.lateMs,
      senders: () => this.#peers.senders.length,
    });
    this.#listener = new callerListeners.CallerListener(this.#context, this.#bounds.callers);
    this.#follower = new storeFollowers.StoreFollower({
      store: stores.follower,
      layout: dependencies.layout,
      view: this.#view,
      fleetViewUpdater,
      log: this.#log,
      metrics: this.#metrics,
      draw: () => random.next(),
      followsClosely: () => this.#storeReadingMode.followsClosely(performance.now()),
      isUpdatedByPeers: () => this.#storeReadingMode.isUpdatedByPeers(performance.now()),
      isStandby: () => !this.#peers.activeSet.active,
      isStoreUnreachableForPeers: () => this.#peers.peerTable.isStoreUnreachable(performance.now()),
    });
    const relayServer = new relayServers.RelayServer({
      log: this.#log,
      bodies: this.#context.memory.bodies,
      view: this.#view,
      client,
      monitor,
      isStopping: () => this.#stopping,
      liveDaemons: () => this.#view.daemonsUpperBound,
    });
    this.#peers = new peerLinks.PeerLink({
      ...this.#context,
      entry: this.#entry,
      suspects: suspects.table,
      ready: () => this.ready,
      isCutOff: () => this.#reachability.monitor.isCutOff,
      isLinkLost: () => this.#reachability.monitor.isLinkLost,
      pathCalls: {
        onProbe: (endpointId) => relayServer.probe(endpointId),
        onRelay: (incoming, response) => void relayServer.handle(incoming, response),
      },
      peerServer: { bodies: this.#context.memory.bodies, bounds: this.#bounds.peers },
      onNeighbourCutOff: () => this.#reachability.monitor.checkOwnLink(),
      storeSilentMs: () => this.#follower.silentMs,
      dutyLeaseMs: () => this.#duties.leaseMs,
      lateMs: () => this.#loop.lateMs,
      followsClosely: () => this.#storeReadingMode.followsClosely(performance.now()),
      busyCores: () => this.#loop.busyShare * settings.capacity,
      onDaemon: (daemon) => fleetViewUpdater.addDiscoveredDaemon(daemon),
      onConfiguration: (document, revision) =>
        fleetViewUpdater.applyConfiguration(document, revision, fleetViewUpdaters.Source.Peer),
      onEndpoint: (id, value, revision) =>
        fleetViewUpdater.applyEndpoint(id, value, revision, fleetViewUpdaters.Source.Peer),
      onDeparture: (id, departure) => fleetViewUpdater.applyDeparture(id, departure, fleetViewUpdaters.Source.Peer),
    });
    this.#addresses = new callerAddresses.CallerAddresses({
      entry: this.#entry,
      view: this.#view,
      peers: this.#peers,
      distances,
      ready: () => this.ready,
      isCutOff: () => this.#reachability.monitor.isCutOff,
    });
    this.#storeReadingMode = new storeReadingModes.StoreReadingMode({
      entry: this.#entry,
      view: this.#view,
      peerTable: this.#peers.peerTable,
      activeSet: this.#peers.activeSet,
      ready: () => this.ready,
    });
    this.#duties = new dutiesModule.Duties({
      context: this.#context,
      store: stores.duties,
      usageStore: stores.usage,
      layout: dependencies.layout,
      calls: dependencies.dutyCalls,
      incarnation: this.#entry.incarnation,
      usageCounter,
      eligible: () => this.#isDutyCandidate(),
      livePeers: () => this.#peers.peerTable.live(performance.now()),
      onReleased: () => this.#peers.sendHeartbeatsNow(),
      storeSilentMs: () => this.#follower.silentMs,
      unixMs: () => clock.unixMs(),
    });
    const key = `${dependencies.layout.daemonPrefix}${settings.vm}`;
    this.#registration = new registrations.Registration(
      stores.registration,
      key,
      this.#entry,
      this.#log,
      () => this.#peers.activeSet.active || this.#storeReadingMode.followsClosely(performance.now()),
    );
    this.#timeoutKeeper = new timeoutKeepers.TimeoutKeeper({
      store: stores.streamTimeout,
      key: dependencies.layout.streamTimeoutKey,
      view: this.#view,
      log: this.#log,
      followsClosely: () => this.#storeReadingMode.followsClosely(performance.now()),
    });
    const endpointChanges = new endpointChangesModule.EndpointChanges({
      context: this.#context,
      peers: this.#peers,
      duties: this.#duties,
    });
    const parts = {
      listener: this.#listener,
      peers: this.#peers,
      monitor,
      relayServer,
      loop: this.#loop,
    };
    this.#gaugeSources = { ...parts, context: this.#context };
    this.#shutdown = new shutdownSequences.ShutdownSequence({
      ...parts,
      log: this.#log,
      graceMs: settings.stopGraceMs,
      registration: this.#registration,
      duties: this.#duties,
      streams,
      follower: this.#follower,
      protection,
    });
  }

  /**
   * A daemon that starts may get an older configuration from a peer that is behind itself. So callers are directed to it
   * once a read has confirmed its configuration, or where none can.
   *
   * @returns whether callers may be directed to this daemon
   */
  get ready(): boolean {
    if (this.#stopping || this.#view.table === undefined) return false;
    return this.#view.freshness.isEstablished || this.#follower.isUnreachable;
  }

  /** @returns number of callers' requests that have no final answer yet */
  get openRequests(): number {
    return this.#listener.openRequests;
  }

  /** Starts serving. */
  async start(): Promise<void> {
    this.#log.info("start", { incarnation: this.#entry.incarnation, dataCentre: this.#settings.dataCentre });
    void this.#follower.run();
    void this.#registration.run();
    void this.#timeoutKeeper.run();
    await this.#listener.listen(this.#settings.callers);
    await this.#peers.start();
    this.#duties.start();
    this.#loop.start();
  }

  /**
   * Starts an additional HTTP server beside the callers' one, such as for readiness, addresses or metrics.
   *
   * @param handlers - what answers each path
   * @param server - which server it is
   */
  async serve(
    handlers: Readonly<Record<string, sideServers.SideHandler>>,
    server: sideServers.SideServer,
  ): Promise<void> {
    this.#servers.push(await sideServers.listen(handlers, this.#settings[server], this.#bounds[server]));
  }

  /**
   * @param dataCentre - the caller's data centre
   * @returns addresses to which the caller may connect: only those in its data centre if there are enough
   */
  addressesFor(dataCentre: string): string[] {
    return this.#addresses.choose(dataCentre, performance.now());
  }

  /** @returns all metrics in the text format */
  metricsText(): string {
    return this.#metrics.text(gauges.readGauges(this.#gaugeSources));
  }

  /**
   * Shuts down gracefully: callers are directed to other daemons, running requests are finished, and callers that still
   * connect are served until they have learnt of the shutdown.
   */
  async stop(): Promise<void> {
    if (this.#stopping) return;
    this.#stopping = true;
    this.#timeoutKeeper.stop();
    await this.#shutdown.run();
  }

  /**
   * Logs an uncaught error that is about to end the process. Without this line only the last output of the process
   * shows the error, where the long source lines of the bundled program crowd it out.
   *
   * @param error - the uncaught error
   */
  logFatal(error: Error): void {
    this.#log.warn("daemon-failed", { detail: error.message, stack: error.stack });
  }

  /** @param detail - which settings changed */
  logReload(detail: string): void {
    this.#log.info("reload", { detail });
  }

  #isDutyCandidate(): boolean {
    const { activeSet, peerTable } = this.#peers;
    const own = {
      vm: this.#entry.vm,
      ready: this.ready,
      active: activeSet.active,
      cutOff: this.#reachability.monitor.isCutOff,
      storeSilentMs: this.#follower.silentMs,
    };
    return dutyCandidates.isDutyCandidate(own, peerTable.live(performance.now()));
  }
}
