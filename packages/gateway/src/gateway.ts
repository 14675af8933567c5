import * as crypto from "node:crypto";
import type * as http from "node:http";
import * as common from "@camphorcourse/common";
import * as serving from "@camphorcourse/serving";
import * as fleetViewUpdaters from "./fleetViewUpdater.js";
import * as callControls from "./calls/callControl.js";
import * as callerListeners from "./callerListener.js";
import * as callerAddresses from "./callers/callerAddresses.js";
import * as configurationGates from "./configuration/configurationGate.js";
import * as contexts from "./context.js";
import * as decisionLogs from "./decisionLog.js";
import * as trafficCounters from "./distance/trafficCounter.js";
import * as endpointClients from "./endpointClient.js";
import type * as daemonEntries from "./daemonEntry.js";
import * as fairnessModule from "./fairness/fairness.js";
import * as fleetViews from "./fleetView.js";
import * as endpointLimits from "./limits/endpointLimits.js";
import * as loopUtilizations from "./loopUtilization.js";
import * as loopWatches from "./loopWatch.js";
import * as memoryGuards from "./memory/memoryGuard.js";
import * as metricsModule from "./metrics.js";
import * as usageCodecs from "./duties/usageCodec.js";
import * as pacings from "./pacing/pacing.js";
import * as dutyCandidates from "./duties/dutyCandidate.js";
import * as dutiesModule from "./duties/duties.js";
import * as reachabilities from "./paths/reachability.js";
import * as relayServers from "./paths/relayServer.js";
import * as peerLinks from "./peerLink.js";
import * as trueClocks from "./peers/trueClock.js";
import type * as ports from "./ports.js";
import * as registrations from "./registration.js";
import * as runMovers from "./runs/runMover.js";
import type * as settingsModule from "./settings.js";
import * as sideServers from "./sideServers.js";
import * as endpointStatements from "./statements/endpointStatements.js";
import * as streamOrigins from "./streams/streamOrigins.js";
import * as storeReadingModes from "./storeReadingMode.js";
import * as countedStores from "./store/countedStore.js";
import * as storeFollowers from "./storeFollower.js";
import * as crashProtections from "./suspects/crashProtection.js";

/**
 * Interval at which a stopping daemon checks its progress, in milliseconds. After a pause of the process it waits for
 * one check.
 */
const STOP_CHECK_MS = 25;

/**
 * Delay from which the event loop counts as lagging, in milliseconds; it affects callers with tight latency objectives.
 */
const LOOP_LATE_MS = 100;

/** Time for sending the last answers, in milliseconds: a third of the time that remains until the process is killed. */
const LAST_ANSWERS_MS = 200;

const SEED_BYTES = 4;

/** Changes after which no new request may be sent to the endpoint. */
const DEPARTURES: ReadonlySet<serving.EndpointChange> = new Set([
  serving.EndpointChange.Leaving,
  serving.EndpointChange.Gone,
  serving.EndpointChange.SetAside,
]);

/** What the platform provides to a gateway. */
export interface GatewayDependencies {
  readonly store: ports.DurableStore;
  readonly layout: ports.StoreLayout;
  readonly format: ports.MessageFormat;
  readonly sink: decisionLogs.LineSink;
  /** Calls to the platform that are the duty of one daemon at a time; absent if there are none. */
  readonly dutyCalls?: ports.DutyCalls;
}

/** One daemon: accepts callers' requests, follows the state of the fleet, and forwards the requests to endpoints. */
export class Gateway {
  readonly #settings: settingsModule.GatewaySettings;
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
  readonly #protection: crashProtections.CrashProtection;
  readonly #duties: dutiesModule.Duties;
  readonly #reachability: reachabilities.Reachability;
  readonly #relayServer: relayServers.RelayServer;
  readonly #servers: http.Server[] = [];
  readonly #loopWatch = new loopWatches.LoopWatch(undefined, (lateMs) => this.#onHeartbeat(lateMs));
  #stopping = false;
  readonly #utilization = new loopUtilizations.LoopUtilization();

  /**
   * @param settings - validated settings
   * @param dependencies - what the platform provides
   */
  constructor(settings: settingsModule.GatewaySettings, dependencies: GatewayDependencies) {
    this.#settings = settings;
    this.#log = new decisionLogs.DecisionLog(settings.vm, settings.logLevel, dependencies.sink);
    const stores = countedStores.countedStores(dependencies.store, this.#metrics);
    const random = new common.SeededRandom(crypto.randomBytes(SEED_BYTES).readUInt32BE());
    this.#entry = {
      vm: settings.vm,
      incarnation: crypto.randomUUID(),
      dataCentre: settings.dataCentre,
      callers: `${settings.callers.host}:${settings.callers.port}`,
      peers: `${settings.peers.host}:${settings.peers.port}`,
      capacity: settings.capacity,
    };
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
    const isLoopLagging = (): boolean => this.#loopWatch.lateMs >= LOOP_LATE_MS;
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
    const client = new endpointClients.EndpointClient(
      (name) => this.#metrics.count(name),
      isLoopLagging,
      statements,
      this.#reachability,
    );
    this.#protection = new crashProtections.CrashProtection({
      store: stores.suspects,
      prefix: dependencies.layout.suspectPrefix,
      log: this.#log,
      client,
      directory: this.#view.directory,
      probe: (endpoint) => monitor.probe(endpoint),
      onCrashed: () => this.#metrics.count("endpoints_ended"),
      onEscalated: () => this.#peers.sendHeartbeatsNow(),
    });
    const { crashDetector, gate: suspects } = this.#protection;
    const usageCounter = new serving.UsageCounter(settings.usage?.windowMs ?? Infinity);
    const fleetViewUpdater = new fleetViewUpdaters.FleetViewUpdater({
      layout: dependencies.layout,
      view: this.#view,
      log: this.#log,
      lateMs: () => this.#loopWatch.lateMs,
      onEndpoint: (update) => this.#onEndpoint(update),
      onSuspect: (record) => suspects.table.merge(record, performance.now()),
      onRoleChange: (service, role, agoMs) => this.#duties.noteRoleChange(service, role, agoMs),
      onUsageReport: (value) => {
        const report = usageCodecs.decodeReport(value);
        if (report.isOk()) usageCounter.markReported(report.value.window);
      },
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
    const loads = new serving.EngineLoadTracker();
    const speeds = new serving.ServiceSpeeds();
    const learned = {
      speeds,
      demand: new serving.Demand(),
      acceptance: new serving.AcceptanceTracker(),
    };
    const shared = { log: this.#log, metrics: this.#metrics, view: this.#view };
    this.#context = {
      ...shared,
      ...learned,
      settings,
      format: dependencies.format,
      fairness: new fairnessModule.Fairness({ ...shared, ...learned, distances }),
      loads,
      calls: new callControls.CallControl({
        ...shared,
        loads,
        dataCentre: settings.dataCentre,
        distances,
        senders: () => this.#peers.senders.length,
        isLimited: (endpoint) => limits.enforcer.isLimited(endpoint),
        draw: () => random.next(),
      }),
      answerTimes: new serving.AnswerTimes(),
      pacing: new pacings.Pacing({
        loads,
        speeds,
        lateMs: () => this.#loopWatch.lateMs,
        senders: () => this.#peers.senders.length,
      }),
      health: new serving.EndpointHealth(),
      client,
      limits,
      statements,
      streams,
      crashDetector,
      suspects,
      memory: new memoryGuards.MemoryGuard({
        memoryBytes: settings.memoryBytes,
        log: this.#log,
        metrics: this.#metrics,
      }),
      runs: new runMovers.RunMover(() => this.#context),
      budgets: new contexts.RetryBudgets(settings.retryBounds, performance.now()),
      countUsage: (organisation) => {
        if (settings.usage !== undefined) usageCounter.count(organisation, clock.unixMs());
      },
      distances,
      hotParts: distances && new serving.HotParts(),
      traffic,
      random,
      onMisdirected: (endpoint, answeredBy) => fleetViewUpdater.applyMisdirection(endpoint, answeredBy),
      configuration: configurationGate,
      liveDaemons: () => this.#view.daemonsUpperBound,
    };
    this.#listener = new callerListeners.CallerListener(this.#context);
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
    this.#relayServer = new relayServers.RelayServer({
      log: this.#log,
      view: this.#view,
      client,
      monitor,
      format: dependencies.format,
      isStopping: () => this.#stopping,
      liveDaemons: () => this.#view.daemonsUpperBound,
    });
    this.#peers = new peerLinks.PeerLink({
      settings,
      entry: this.#entry,
      view: this.#view,
      loads: this.#context.loads,
      demand: this.#context.demand,
      speeds: this.#context.speeds,
      pacing: this.#context.pacing,
      acceptance: this.#context.acceptance,
      fairness: this.#context.fairness,
      suspects: suspects.table,
      limits,
      log: this.#log,
      distances,
      traffic,
      ready: () => this.ready,
      isCutOff: () => this.#reachability.monitor.isCutOff,
      isLinkLost: () => this.#reachability.monitor.isLinkLost,
      pathCalls: {
        onProbe: (endpointId) => this.#relayServer.probe(endpointId),
        onRelay: (incoming, response) => void this.#relayServer.handle(incoming, response),
      },
      streams,
      onNeighbourCutOff: () => this.#reachability.monitor.checkOwnLink(),
      storeSilentMs: () => this.#follower.silentMs,
      dutyLeaseMs: () => this.#duties.leaseMs,
      lateMs: () => this.#loopWatch.lateMs,
      followsClosely: () => this.#storeReadingMode.followsClosely(performance.now()),
      busyCores: () => this.#utilization.share * settings.capacity,
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
    await this.#listener.listen(this.#settings.callers);
    await this.#peers.start();
    this.#duties.start();
    this.#loopWatch.start();
  }

  /**
   * Starts an additional HTTP server beside the callers' one, such as for readiness, addresses or metrics.
   *
   * @param handlers - what answers each path
   * @param address - where to listen
   */
  async serve(
    handlers: Readonly<Record<string, sideServers.SideHandler>>,
    address: settingsModule.SocketAddress,
  ): Promise<void> {
    this.#servers.push(await sideServers.listen(handlers, address));
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
    return this.#metrics.text({
      requests_open: this.#listener.openRequests,
      configuration_revision: this.#view.configurationRevision,
      store_revision: this.#view.directory.revision,
      daemons_known: this.#view.daemons.size,
      daemons_heard: this.#peers.peerTable.live(performance.now()).length,
      suspects: this.#context.suspects.table.count(performance.now()),
      acceptance_counts_refused: this.#context.acceptance.refusedCounts,
      organisations_over_share: this.#context.fairness.overShare(performance.now()),
      takes_callers: Number(this.#peers.activeSet.active),
      cut_off: Number(this.#reachability.monitor.isCutOff),
      requests_relayed_open: this.#relayServer.open,
      stream_records: this.#context.streams.count,
      calls_waiting: this.#context.calls.waiting,
      endpoints_resting: this.#context.statements.rests.count,
      endpoints_limited: this.#context.limits.table.limits().length,
      busy_cores: this.#utilization.share * this.#settings.capacity,
      held_bytes: this.#context.memory.heldBytes,
      runs_moving: this.#context.runs.underWay,
      heap_bytes: process.memoryUsage().heapUsed,
      event_loop_utilization: performance.eventLoopUtilization().utilization,
      unsent_bytes_to_callers: this.#listener.unsentBytes,
      unsent_bytes_to_endpoints: this.#context.client.unsentBytes,
    });
  }

  /**
   * Shuts down gracefully: callers are directed to other daemons, running requests are finished, and callers that still
   * connect are served until they have learnt of the shutdown.
   */
  async stop(): Promise<void> {
    if (this.#stopping) return;
    this.#stopping = true;
    const receivedAt = performance.now();
    const earliestSignalAt = this.#loopWatch.earliestSignalAt();
    const shutdown = new serving.GracefulShutdown({
      earliestSignalAt,
      receivedAt,
      graceMs: this.#settings.stopGraceMs,
    });
    const heardLateMs = Math.round(receivedAt - earliestSignalAt);
    this.#log.info("stop", { open: this.#listener.openRequests, heardLateMs });
    this.#listener.beginShutdown(shutdown);
    this.#peers.sendHeartbeatsNow();
    void this.#registration.end();
    this.#duties.release();
    await this.#runShutdown(shutdown);
    // Callers whose streams break now take them up elsewhere.
    this.#context.streams.handOn();
    this.#listener.endOpen();
    const recorded = this.#duties.recordUsage();
    await this.#waitForAnswers(performance.now() + LAST_ANSWERS_MS);
    await Promise.race([recorded, new Promise((resolve) => setTimeout(resolve, LAST_ANSWERS_MS))]);
    this.#listener.close();
    this.#follower.stop();
    this.#protection.stop();
    this.#reachability.monitor.stop();
    this.#peers.stop();
    this.#loopWatch.stop();
    this.#log.info("stopped", {
      open: this.#listener.openRequests,
      tookMs: Math.round(performance.now() - receivedAt),
    });
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

  /**
   * Logs a lagging event loop. A daemon short of processor time, a saturated link and a busy engine all show as late
   * answers; only this log line tells the first from the others.
   */
  #onHeartbeat(lateMs: number): void {
    this.#metrics.record(metricsModule.Duration.LoopLate, lateMs);
    const utilization = this.#utilization.sample();
    if (lateMs < LOOP_LATE_MS) return;
    this.#log.warn("loop-late", {
      lateMs: Math.round(lateMs),
      utilization: utilization.toFixed(2),
      open: this.#listener.openRequests,
      unsentToCallers: this.#listener.unsentBytes,
      unsentToEndpoints: this.#context.client.unsentBytes,
    });
  }

  async #runShutdown(shutdown: serving.GracefulShutdown): Promise<void> {
    const isDone = (): boolean => {
      const now = performance.now();
      const isServed = shutdown.step(this.#listener, now);
      return isServed && (this.#relayServer.open === 0 || shutdown.isTimeUp(now));
    };
    while (!isDone()) {
      await new Promise((resolve) => setTimeout(resolve, STOP_CHECK_MS));
    }
  }

  async #waitForAnswers(latestAt: number): Promise<void> {
    while (this.#listener.openRequests > 0 && performance.now() < latestAt) {
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  #onEndpoint(update: serving.EndpointUpdate): void {
    // An entry that cannot be used is not sent to peers: it may be long, and peers with an older format would only log
    // it.
    const setAside = update.change === serving.EndpointChange.SetAside;
    const { revision, leavingBornAt: bornAt, isStatedLeaving: isStated = false } = update;
    if (DEPARTURES.has(update.change)) this.#peers.noteDeparture(update.id, { revision, bornAt, setAside, isStated });
    else this.#peers.noteEntry(update.id);
    this.#context.runs.noteChange(update);
    if (update.endpoint !== undefined) this.#context.suspects.noteListed(update.endpoint);
    if (update.change === serving.EndpointChange.Gone) {
      this.#view.endpointDocuments.delete(update.id);
      this.#forgetEndpoint(update.id);
    }
    if (update.startedAgain !== true) return;
    this.#view.pendingRoleChanges.delete(update.id);
    this.#forgetEndpoint(update.id);
  }

  /**
   * Discards what is known of an endpoint, as it does not hold for its next incarnation. Otherwise earlier failures
   * would keep requests from a healthy endpoint, and prompts would be sent to an engine for cached parts that it no
   * longer has.
   */
  #forgetEndpoint(endpointId: string): void {
    this.#context.client.forget(endpointId);
    this.#context.loads.forget(endpointId);
    this.#context.pacing.forget(endpointId);
    this.#context.health.forget(endpointId);
    this.#context.answerTimes.forget(endpointId);
    this.#context.calls.forget(endpointId);
    this.#context.suspects.forget(endpointId);
    this.#duties.forget(endpointId);
  }
}
