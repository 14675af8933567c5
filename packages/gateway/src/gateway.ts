import * as crypto from "node:crypto";
import type * as http from "node:http";
import * as common from "@camphorcourse/common";
import * as serving from "@camphorcourse/serving";
import type * as hono from "hono";
import * as beliefsModule from "./beliefs.js";
import * as busyShares from "./busyShare.js";
import * as callerListeners from "./callerListener.js";
import * as contexts from "./context.js";
import * as decisionLogs from "./decisionLog.js";
import * as endpointClients from "./endpointClient.js";
import type * as daemonEntries from "./daemonEntry.js";
import * as fleetViews from "./fleetView.js";
import * as loopWatches from "./loopWatch.js";
import * as metricsModule from "./metrics.js";
import * as orderAuthorities from "./orderAuthority.js";
import * as peerBooks from "./peerBook.js";
import * as peerLinks from "./peerLink.js";
import type * as ports from "./ports.js";
import * as registrations from "./registration.js";
import * as roleChangers from "./roleChanger.js";
import type * as settingsModule from "./settings.js";
import * as sideServers from "./sideServers.js";
import * as storeDuties from "./storeDuty.js";
import * as storeFollowers from "./storeFollower.js";
import * as crashProtections from "./suspects/crashProtection.js";

/** Interval at which a stopping daemon looks how far it is, in milliseconds; after a standstill one look is waited for. */
const STOP_CHECK_MS = 25;

/** Lateness from which the event loop counts as late, in milliseconds: callers with tight objectives feel it. */
const LOOP_LATE_MS = 100;

/** Time for the last answers to leave, in milliseconds: a third of what is left until the forced end. */
const LAST_ANSWERS_MS = 200;

/** Most addresses in one answer. */
const MOST_ADDRESSES = 64;

/** Daemons in a caller's own data centre from which it is sent nowhere else. */
const ENOUGH_NEAR = 2;

/** What the daemon that gives orders is chosen for, by hash. */
const ORDERS_KEY = "orders";

const SEED_BYTES = 4;

/** Changes after which nothing new may be sent to the endpoint. */
const DEPARTURES: ReadonlySet<serving.EndpointChange> = new Set([
  serving.EndpointChange.Leaving,
  serving.EndpointChange.Gone,
  serving.EndpointChange.SetAside,
]);

/** What the surroundings give a gateway. */
export interface Surroundings {
  readonly store: ports.DurableStore;
  readonly layout: ports.StoreLayout;
  readonly format: ports.MessageFormat;
  readonly sink: decisionLogs.LineSink;
}

/** One daemon: takes callers, follows the fleet, and forwards requests. */
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
  readonly #storeDuty: storeDuties.StoreDuty;
  readonly #protection: crashProtections.CrashProtection;
  readonly #authority: orderAuthorities.OrderAuthority;
  readonly #roles: roleChangers.RoleChanger;
  readonly #servers: http.Server[] = [];
  readonly #loopWatch = new loopWatches.LoopWatch(undefined, (lateMs) => this.#noteTurn(lateMs));
  #stopping = false;
  readonly #busy = new busyShares.BusyShare();

  /**
   * @param settings - checked settings
   * @param surroundings - the platform
   */
  constructor(settings: settingsModule.GatewaySettings, surroundings: Surroundings) {
    this.#settings = settings;
    this.#log = new decisionLogs.DecisionLog(settings.vm, settings.logLevel, surroundings.sink);
    const random = new common.SeededRandom(crypto.randomBytes(SEED_BYTES).readUInt32BE());
    this.#entry = {
      vm: settings.vm,
      incarnation: crypto.randomUUID(),
      dataCentre: settings.dataCentre,
      callers: `${settings.callers.host}:${settings.callers.port}`,
      peers: `${settings.peers.host}:${settings.peers.port}`,
      capacity: settings.capacity,
    };
    const client = new endpointClients.EndpointClient(
      (name) => this.#metrics.count(name),
      () => this.#loopWatch.lateMs >= LOOP_LATE_MS,
    );
    this.#protection = new crashProtections.CrashProtection({
      store: surroundings.store,
      prefix: surroundings.layout.suspectPrefix,
      log: this.#log,
      client,
      directory: this.#view.directory,
      onCrashed: () => this.#metrics.count("endpoints_ended"),
      onEscalated: () => this.#peers.sayNow(),
    });
    const { crashDetector: endDetector, gate: suspects } = this.#protection;
    this.#context = {
      settings,
      log: this.#log,
      metrics: this.#metrics,
      format: surroundings.format,
      view: this.#view,
      board: new serving.EngineBoard(),
      health: new serving.EndpointHealth(),
      speeds: new serving.ServiceSpeeds(),
      demand: new serving.Demand(),
      sizeShares: new serving.SizeShares(),
      client,
      crashDetector: endDetector,
      suspects,
      budgets: new contexts.RetryBudgets(settings.retryBounds, performance.now()),
      random,
      onMisdirected: (endpoint, answeredBy) => beliefs.takeMisdirected(endpoint, answeredBy),
      liveDaemons: () => this.#view.daemonsAtMost,
    };
    this.#listener = new callerListeners.CallerListener(this.#context);
    const beliefs = new beliefsModule.Beliefs({
      layout: surroundings.layout,
      view: this.#view,
      log: this.#log,
      onEndpoint: (news) => this.#onEndpoint(news),
      onSuspect: (record) => suspects.table.merge(record, performance.now()),
      onRoleChange: (service, role, agoMs) => this.#roles.noteRoleChange(service, role, agoMs),
      onConfiguration: () => {
        this.#listener.followLimits();
        this.#peers.noteConfiguration();
      },
    });
    this.#follower = new storeFollowers.StoreFollower({
      store: surroundings.store,
      layout: surroundings.layout,
      view: this.#view,
      beliefs,
      log: this.#log,
      metrics: this.#metrics,
      draw: () => random.next(),
      followsClosely: () => this.#storeDuty.followsClosely(performance.now()),
      isTold: () => this.#storeDuty.isTold(performance.now()),
      standsBy: () => !this.#peers.standing.active,
      peersMissStore: () => this.#peers.book.storeIsAway(performance.now()),
    });
    this.#peers = new peerLinks.PeerLink({
      settings,
      entry: this.#entry,
      view: this.#view,
      board: this.#context.board,
      demand: this.#context.demand,
      speeds: this.#context.speeds,
      sizeShares: this.#context.sizeShares,
      suspects: suspects.table,
      log: this.#log,
      ready: () => this.ready,
      storeSilentMs: () => this.#follower.silentMs,
      followsClosely: () => this.#storeDuty.followsClosely(performance.now()),
      busyCores: () => this.#busy.share * settings.capacity,
      onDaemon: (heard) => beliefs.takeHeardDaemon(heard),
      onConfiguration: (document, revision) => beliefs.takeConfiguration(document, revision, beliefsModule.Source.Peer),
      onEndpoint: (id, value, revision) => beliefs.takeEndpoint(id, value, revision, beliefsModule.Source.Peer),
      onDeparture: (id, departure) => beliefs.takeDeparture(id, departure, beliefsModule.Source.Peer),
    });
    this.#storeDuty = new storeDuties.StoreDuty({
      entry: this.#entry,
      view: this.#view,
      book: this.#peers.book,
      standing: this.#peers.standing,
      ready: () => this.ready,
    });
    this.#authority = new orderAuthorities.OrderAuthority({
      store: surroundings.store,
      key: surroundings.layout.authorityKey,
      vm: settings.vm,
      log: this.#log,
      leaseMs: settings.orderLeaseMs,
      eligible: () => this.#isFirst(),
    });
    this.#roles = new roleChangers.RoleChanger({
      context: this.#context,
      authority: this.#authority,
      store: surroundings.store,
      changeKey: surroundings.layout.roleChangeKey,
      prefillLoad: () =>
        this.#fromAll((peer) => peer.readingLoad) + this.#context.demand.readingLoad(performance.now()),
      eventsPerMs: () =>
        this.#fromAll((peer) => peer.eventsPerMs) + this.#context.demand.eventsPerMs(performance.now()),
    });
    const key = `${surroundings.layout.daemonPrefix}${settings.vm}`;
    this.#registration = new registrations.Registration(surroundings.store, key, this.#entry, this.#log);
  }

  /** @returns whether callers may be sent here */
  get ready(): boolean {
    return !this.#stopping && this.#view.table !== undefined;
  }

  /** @returns requests of callers that have no final answer yet */
  get openRequests(): number {
    return this.#listener.openRequests;
  }

  /** Begins to serve. */
  async start(): Promise<void> {
    this.#log.info("start", { incarnation: this.#entry.incarnation, dataCentre: this.#settings.dataCentre });
    void this.#follower.run();
    void this.#registration.run();
    await this.#listener.listen(this.#settings.callers);
    await this.#peers.start();
    void this.#authority.run();
    this.#roles.start();
    this.#loopWatch.start();
  }

  /**
   * Serves one of the small interfaces beside the callers'.
   *
   * @param app - what answers
   * @param address - where to listen
   */
  async serve(app: hono.Hono, address: settingsModule.SocketAddress): Promise<void> {
    this.#servers.push(await sideServers.listen(app, address));
  }

  /**
   * @param dataCentre - the caller's data centre
   * @returns addresses to which the caller may connect: near ones if there are enough
   */
  addressesFor(dataCentre: string): string[] {
    const now = performance.now();
    const others = [...this.#view.daemons.values()].filter(
      (daemon) => daemon.vm !== this.#entry.vm && daemon.callers !== "",
    );
    const { names } = this.#peers.standing;
    const able = others.filter(({ vm }) => names.includes(vm) || this.#peers.book.mayTakeCallers(vm, now));
    if (this.ready) able.push(this.#entry);
    const active = able.filter((daemon) => this.#isActive(daemon.vm, now));
    const choices = [active, able].map((daemons) => daemons.filter((daemon) => daemon.dataCentre === dataCentre));
    const chosen = choices.find((near) => near.length >= ENOUGH_NEAR) ?? able;
    return chosen.map((daemon) => daemon.callers).slice(0, MOST_ADDRESSES);
  }

  #isActive(vm: string, now: number): boolean {
    if (this.#peers.standing.names.includes(vm)) return true;
    return this.#peers.book.heard(vm, now)?.active ?? false;
  }

  /** @returns the metrics as text */
  metricsText(): string {
    return this.#metrics.text({
      requests_open: this.#listener.openRequests,
      configuration_revision: this.#view.configurationRevision,
      store_revision: this.#view.directory.revision,
      daemons_known: this.#view.daemons.size,
      daemons_heard: this.#peers.book.live(performance.now()).length,
      suspects: this.#context.suspects.table.count(performance.now()),
      takes_callers: Number(this.#peers.standing.active),
      busy_cores: this.#busy.share * this.#settings.capacity,
      heap_bytes: process.memoryUsage().heapUsed,
      event_loop_utilization: performance.eventLoopUtilization().utilization,
      unsent_bytes_to_callers: this.#listener.unsentBytes,
      unsent_bytes_to_endpoints: this.#context.client.unsentBytes,
    });
  }

  /**
   * Stops as planned: callers are sent elsewhere, what runs is finished, those
   * that still come are served until they have learnt of it.
   */
  async stop(): Promise<void> {
    if (this.#stopping) return;
    this.#stopping = true;
    const heardAt = performance.now();
    const earliestAt = this.#loopWatch.signalledFrom();
    const plannedStop = new serving.PlannedStop({ earliestAt, heardAt, graceMs: this.#settings.stopGraceMs });
    const heardLateMs = Math.round(heardAt - earliestAt);
    this.#log.info("stop", { open: this.#listener.openRequests, heardLateMs });
    this.#listener.beginStop(plannedStop);
    this.#peers.sayNow();
    void this.#registration.end();
    void this.#authority.end();
    this.#roles.stop();
    await this.#untilOver(plannedStop);
    this.#listener.endOpen();
    await this.#untilAnswered(performance.now() + LAST_ANSWERS_MS);
    this.#listener.close();
    this.#follower.stop();
    this.#protection.stop();
    this.#peers.stop();
    this.#loopWatch.stop();
    this.#log.info("stopped", { open: this.#listener.openRequests, tookMs: Math.round(performance.now() - heardAt) });
  }

  /**
   * A fault that nothing caught is about to end the process. Without this line only its last output tells of it, which
   * the bundled program's long lines crowd out.
   *
   * @param error - the fault
   */
  noteFatal(error: Error): void {
    this.#log.warn("daemon-failed", { detail: error.message, stack: error.stack });
  }

  /** @param detail - which settings changed */
  reloaded(detail: string): void {
    this.#log.info("reload", { detail });
  }

  /**
   * One daemon of those that live and reach the key-value service takes the
   * orders on; another follows when it falls silent or is cut off from the
   * service, as it can't renew its lease then and nobody would give orders.
   */
  #isFirst(): boolean {
    if (!this.ready || this.#follower.silentMs > peerBooks.STORE_SILENT_MS) return false;
    // One that stands by hears only a part of the fleet, and would take itself for the first of it.
    if (!this.#peers.standing.active) return false;
    const peers = this.#peers.book
      .live(performance.now())
      .filter((peer) => peer.ready && peer.active && peer.storeSilentMs <= peerBooks.STORE_SILENT_MS);
    const names = [this.#entry.vm, ...peers.map((peer) => peer.vm)];
    return common.rendezvousOrder(ORDERS_KEY, names)[0] === this.#entry.vm;
  }

  /**
   * A daemon short of processor time, a full link and a busy engine all look like answers that come late. Only this
   * line tells the first from the others.
   */
  #noteTurn(lateMs: number): void {
    this.#metrics.record(metricsModule.Duration.LoopLate, lateMs);
    const utilization = this.#busy.noteTurn();
    if (lateMs < LOOP_LATE_MS) return;
    this.#log.warn("loop-late", {
      lateMs: Math.round(lateMs),
      utilization: utilization.toFixed(2),
      open: this.#listener.openRequests,
      unsentToCallers: this.#listener.unsentBytes,
      unsentToEndpoints: this.#context.client.unsentBytes,
    });
  }

  #fromAll(told: (peer: peerBooks.PeerState) => number): number {
    return this.#peers.book.live(performance.now()).reduce((sum, peer) => sum + told(peer), 0);
  }

  async #untilOver(plannedStop: serving.PlannedStop): Promise<void> {
    while (!plannedStop.step(this.#listener, performance.now())) {
      await new Promise((resolve) => setTimeout(resolve, STOP_CHECK_MS));
    }
  }

  async #untilAnswered(lastAt: number): Promise<void> {
    while (this.#listener.openRequests > 0 && performance.now() < lastAt) {
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  #onEndpoint(news: serving.EndpointNews): void {
    // Peers are told no entry that can't be used: it may be long, and those of an older form would only log it.
    const setAside = news.change === serving.EndpointChange.SetAside;
    const { revision, leavingBornAt: bornAt } = news;
    if (DEPARTURES.has(news.change)) this.#peers.noteDeparture(news.id, { revision, bornAt, setAside });
    else this.#peers.noteEntry(news.id);
    if (news.endpoint !== undefined) this.#context.suspects.noteListed(news.endpoint);
    if (news.change === serving.EndpointChange.Gone) {
      this.#view.endpointDocuments.delete(news.id);
      this.#forget(news.id);
    }
    if (news.startedAgain !== true) return;
    this.#view.changing.delete(news.id);
    this.#forget(news.id);
  }

  /**
   * What was known of one life of an endpoint doesn't hold for the next. Kept,
   * callers would be kept from a sound endpoint by the failures before, and
   * prompts sent to an engine for parts that it no longer has.
   */
  #forget(endpointId: string): void {
    this.#context.client.forget(endpointId);
    this.#context.board.forget(endpointId);
    this.#context.health.forget(endpointId);
    this.#context.suspects.forget(endpointId);
    this.#roles.forget(endpointId);
  }
}
