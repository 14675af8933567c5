import type * as http from "node:http";
import * as protobuf from "@bufbuild/protobuf";
import * as messages from "@camphorcourse/protocol/gateway";
import * as serving from "@camphorcourse/serving";
import type * as fleetViewUpdaters from "./fleetViewUpdater.js";
import * as daemonEntries from "./daemonEntry.js";
import * as distantHeartbeats from "./distance/distantHeartbeats.js";
import * as heartbeatDistances from "./distance/heartbeatDistances.js";
import * as publishedRecords from "./distance/publishedRecords.js";
import * as trafficCounters from "./distance/trafficCounter.js";
import * as workDeltas from "./distance/workDeltas.js";
import type * as decisionLogs from "./decisionLog.js";
import type * as fairnessModule from "./fairness/fairness.js";
import type * as fleetViews from "./fleetView.js";
import type * as pathMonitors from "./paths/pathMonitor.js";
import * as peerTables from "./peerTable.js";
import * as peerCalls from "./peers/peerCalls.js";
import * as heartbeatSockets from "./heartbeatSocket.js";
import * as peerWorks from "./peerWork.js";
import * as peerReceivers from "./peers/peerReceiver.js";
import type * as endpointLimits from "./limits/endpointLimits.js";
import * as recipientsModule from "./peers/recipients.js";
import * as sendersModule from "./peers/senders.js";
import * as activeSetTrackers from "./peers/activeSetTracker.js";
import type * as pacings from "./pacing/pacing.js";
import * as recordExchanges from "./streams/recordExchange.js";
import type * as streamOrigins from "./streams/streamOrigins.js";
import * as suspectCodec from "./suspects/suspectCodec.js";
import * as recentChangesModule from "./peers/recentChanges.js";
import type * as settingsModule from "./settings.js";
import * as endpointIncarnations from "./endpointIncarnation.js";

/** Longest interval between two heartbeats when nothing has changed, in milliseconds. */
const MAX_HEARTBEAT_INTERVAL_MS = 350;

/**
 * Interval of the heartbeats to daemons that need no work data, by the state of their sender, in milliseconds.
 * Dispatching daemons send more often, because callers wait until the standby daemons notice that the active ones are
 * dead.
 */
const OCCASIONAL_HEARTBEAT_MS = { dispatching: 450, standby: 1_000 };

/** Interval at which a standby daemon evaluates what it has received, in milliseconds. */
const STANDBY_CHECK_MS = 300;

/** Messages carry capacity in whole thousandths of a core. */
const THOUSANDTHS = 1_000;

/** The fields of a heartbeat. */
type PulseFields = protobuf.MessageInitShape<typeof messages.PulseSchema>;

/** Dependencies of {@link PeerLink}. */
export interface PeerLinkParts {
  readonly settings: settingsModule.GatewaySettings;
  readonly entry: daemonEntries.DaemonEntry;
  readonly view: fleetViews.FleetView;
  readonly loads: serving.EngineLoadTracker;
  readonly demand: serving.Demand;
  readonly speeds: serving.ServiceSpeeds;
  readonly pacing: pacings.Pacing;
  readonly acceptance: serving.AcceptanceTracker;
  readonly fairness: fairnessModule.Fairness;
  readonly suspects: serving.SuspectTable;
  readonly limits: endpointLimits.EndpointLimits;
  readonly log: decisionLogs.DecisionLog;
  /** Distances between the data centres; undefined in a deployment of one region. */
  readonly distances?: serving.DistanceModel | undefined;
  /** Counts the bytes that are sent, by distance. */
  readonly traffic?: trafficCounters.TrafficCounter;
  readonly ready: () => boolean;
  /** Whether this daemon is cut off from endpoints that its peers reach. */
  readonly isCutOff: () => boolean;
  /** Whether this daemon can connect to no endpoint of some service, whatever its peers can. */
  readonly isLinkLost: () => boolean;
  /** Handles the calls of peers that don't reach an endpoint. */
  readonly pathCalls: Pick<peerCalls.PeerCallHandler, "onProbe" | "onRelay">;
  /** Keeps what began the streams of other daemons. */
  readonly streams: Pick<streamOrigins.StreamOrigins, "answer" | "merge" | "publishDue">;
  /** Called when a daemon of this data centre reports that it is cut off from endpoints. */
  readonly onNeighbourCutOff: () => void;
  /** Milliseconds for which the key-value service has not answered. */
  readonly storeSilentMs: () => number;
  /** @returns time for which this daemon relies on the lease on the fleet's duties, in milliseconds, if it holds it */
  readonly dutyLeaseMs: () => number | undefined;
  /** @returns delay of the event loop, in milliseconds */
  readonly lateMs: () => number;
  /** Whether this daemon follows the key-value service closely and informs others. */
  readonly followsClosely: () => boolean;
  /** Busy part of the VM's capacity, in cores. */
  readonly busyCores: () => number;
  /** Called with a daemon that sent a heartbeat, or that a peer reported. */
  readonly onDaemon: (daemon: daemonEntries.DaemonEntry) => void;
  /** Called with a configuration document and its revision. */
  readonly onConfiguration: (document: Uint8Array, revision: number) => void;
  /** Called with an endpoint's entry and its revision. */
  readonly onEndpoint: (id: string, value: Uint8Array, revision: number) => void;
  /** Called with an endpoint that is leaving, gone or set aside. */
  readonly onDeparture: (id: string, departure: fleetViewUpdaters.Departure) => void;
}

/**
 * Exchanges state with the other daemons: heartbeats with work and departures over UDP, and news over RPC for daemons
 * that are behind or that the key-value service doesn't answer.
 */
export class PeerLink {
  readonly peerTable: peerTables.PeerTable;
  /** Whether this daemon is active, and which daemons of its data centre are. */
  readonly activeSet: activeSetTrackers.ActiveSetTracker;
  /** Records of streams at other daemons. */
  readonly records: recordExchanges.RecordExchange;
  readonly #parts: PeerLinkParts;
  readonly #heartbeatSocket: heartbeatSockets.HeartbeatSocket;
  readonly #peerClient = new peerCalls.PeerClient();
  readonly #work: peerWorks.PeerWork;
  readonly #receiver: peerReceivers.PeerReceiver;
  readonly #recentChanges: recentChangesModule.RecentChanges;
  readonly #distant: distantHeartbeats.DistantHeartbeats;
  readonly #records: publishedRecords.PublishedRecords;
  readonly #distances: heartbeatDistances.HeartbeatDistances;
  #server: http.Server | undefined;
  #timer: NodeJS.Timeout | undefined;
  /**
   * Whether the sockets are open. The key-value service may be read before they are opened and shortly after they are
   * closed.
   */
  #socketsOpen = false;
  /** Times of the last heartbeats, by kind of recipient. */
  #lastSentAt = { frequent: 0, occasional: 0 };
  #dataCentresOfPeers: ReadonlyMap<string, string> = new Map();
  #lastSentWork = "";
  #round = 0;
  #senders: readonly string[] = [];

  /** @param parts - dependencies */
  constructor(parts: PeerLinkParts) {
    this.#parts = parts;
    this.peerTable = new peerTables.PeerTable(parts.entry.vm);
    this.activeSet = new activeSetTrackers.ActiveSetTracker({ ...parts, peerTable: this.peerTable });
    this.#work = new peerWorks.PeerWork(parts);
    this.#records = new publishedRecords.PublishedRecords(parts, parts.distances !== undefined);
    this.#distances = new heartbeatDistances.HeartbeatDistances(parts.entry.vm, parts.distances, parts.log);
    this.#receiver = new peerReceivers.PeerReceiver({
      ...parts,
      peerTable: this.peerTable,
      work: this.#work,
      heartbeatDistances: this.#distances,
    });
    this.#recentChanges = new recentChangesModule.RecentChanges(parts.view);
    this.#distant = new distantHeartbeats.DistantHeartbeats({
      ...parts,
      work: this.#work,
      records: this.#records,
      heartbeatDistances: this.#distances,
    });
    this.#heartbeatSocket = new heartbeatSockets.HeartbeatSocket(
      (pulse, sender) => this.#receiver.applyHeartbeat(pulse, sender),
      (detail) => parts.log.warn("peer-datagram-failed", { detail }),
      (address, bytes) => this.#countSent(address, bytes),
    );
    this.records = new recordExchanges.RecordExchange({
      entry: parts.entry,
      peerTable: this.peerTable,
      heartbeatSocket: this.#heartbeatSocket,
      peerClient: this.#peerClient,
      otherDaemons: () => this.#otherDaemons(),
    });
  }

  /** Opens the sockets and starts sending and receiving. */
  async start(): Promise<void> {
    await this.#heartbeatSocket.listen(this.#parts.settings.peers);
    this.#server = await peerCalls.servePeers(this.#parts.settings.peers, {
      ...this.#parts.pathCalls,
      onNews: (news) => this.#receiver.applyNews(news),
      onStreamQuery: (query) => this.#parts.streams.answer(query),
    });
    this.#socketsOpen = true;
    this.#tick();
  }

  /** Stops sending and closes the sockets. */
  stop(): void {
    this.#socketsOpen = false;
    clearTimeout(this.#timer);
    this.#heartbeatSocket.close();
    this.#server?.close();
  }

  /**
   * Announces a departure in the next heartbeats.
   *
   * @param id - an endpoint that is leaving, gone or set aside
   * @param departure - which of these, and since when
   */
  noteDeparture(id: string, departure: fleetViewUpdaters.Departure): void {
    this.#recentChanges.noteDeparture(id, departure, performance.now());
    this.#distant.noteDeparture(id, departure, performance.now());
  }

  /**
   * Announces a changed entry in the next heartbeats, if this daemon is a close follower or a standby contact.
   *
   * @param id - the endpoint whose entry has changed
   */
  noteEntry(id: string): void {
    if (!this.#parts.followsClosely() && !this.activeSet.isStandbyContact) return;
    this.#recentChanges.noteEntry(id, performance.now());
    this.#distant.noteEntry(id, performance.now());
  }

  /**
   * Announces a configuration that has come into force. Peers learn at once who has it, so that few daemons send it and
   * no peer gets it twice. A close follower also sends it at once to the daemons that rarely read the key-value
   * service; the next check would come up to a second later each time.
   */
  noteConfiguration(): void {
    if (!this.#socketsOpen) return;
    this.sendHeartbeatsNow();
    if (this.#parts.followsClosely()) this.#sendNews(performance.now());
  }

  /**
   * Asks a peer whether it reaches an endpoint.
   *
   * @param vm - VM of the peer
   * @param endpointId - the endpoint
   * @returns what it finds; undefined if it gives no answer
   */
  async probeThrough(vm: string, endpointId: string): Promise<pathMonitors.PeerFinding | undefined> {
    const address = this.addressOf(vm);
    if (address === undefined) return undefined;
    try {
      return await this.#peerClient.probe(address, endpointId);
    } catch (error) {
      this.#parts.log.warn("peer-probe-failed", { peer: vm, endpoint: endpointId, detail: String(error) });
      return undefined;
    }
  }

  /**
   * @param vm - VM of a peer
   * @returns its IP:PORT for the other daemons, if it is known
   */
  addressOf(vm: string): string | undefined {
    return this.#otherDaemons().find((daemon) => daemon.vm === vm)?.peers;
  }

  /** Sends heartbeats to all recipients at once, for example when this daemon begins to leave. */
  sendHeartbeatsNow(): void {
    const now = performance.now();
    this.activeSet.update(now);
    this.#sendHeartbeats(now, this.#recipients(now), { frequent: true, distant: true, occasional: true });
  }

  /**
   * @returns VMs of all daemons that may send requests to endpoints, this one included, as of the last check; the same
   *   array while they don't change
   */
  get senders(): readonly string[] {
    return this.#senders;
  }

  /** @returns whether this daemon is active or still has callers' requests in progress */
  get #dispatching(): boolean {
    return this.activeSet.active || this.#parts.loads.ownWork().size > 0;
  }

  #tick(): void {
    const now = performance.now();
    const hasChanged = this.activeSet.update(now);
    const recipients = this.#recipients(now);
    const hasNewWork = this.#work.hasUnsentReads || this.#serializedWork() !== this.#lastSentWork;
    this.#sendHeartbeats(now, recipients, {
      frequent: hasChanged || hasNewWork || now - this.#lastSentAt.frequent >= MAX_HEARTBEAT_INTERVAL_MS,
      distant: hasChanged || this.#distant.isDue(now),
      occasional: hasChanged || now - this.#lastSentAt.occasional >= this.#occasionalIntervalMs,
    });
    if (this.#sendsNews(now)) this.#sendNews(now);
    this.#parts.streams.publishDue();
    this.#timer = setTimeout(() => this.#tick(), this.#updateInterval(recipients));
  }

  get #occasionalIntervalMs(): number {
    return this.#dispatching ? OCCASIONAL_HEARTBEAT_MS.dispatching : OCCASIONAL_HEARTBEAT_MS.standby;
  }

  #updateInterval(recipients: recipientsModule.Recipients): number {
    const intervalMs = this.#dispatching ? intervalFor(recipients) : STANDBY_CHECK_MS;
    const isDistant = recipients.distant.length > 0;
    this.peerTable.setHeartbeatInterval(isDistant ? distantHeartbeats.distantIntervalMs(intervalMs) : intervalMs);
    return intervalMs;
  }

  /** Standby daemons don't receive each other's heartbeats, and leave sending news to dispatching daemons. */
  #sendsNews(now: number): boolean {
    return this.#dispatching || !this.peerTable.live(now).some((peer) => peer.active);
  }

  #recipients(now: number): recipientsModule.Recipients {
    const knownDaemons = this.#knownDaemons(now);
    this.#updateSenders(knownDaemons);
    if (this.#parts.distances !== undefined)
      this.#dataCentresOfPeers = new Map(knownDaemons.map(({ entry }) => [entry.peers, entry.dataCentre]));
    const { dataCentre } = this.#parts.entry;
    const own = {
      dataCentre,
      dispatching: this.#dispatching,
      isStandbyContact: this.activeSet.isStandbyContact,
      isDistant: (dataCentre: string) => this.#distances.isDistant(dataCentre),
    };
    return recipientsModule.chooseRecipients(own, knownDaemons, this.#round);
  }

  #knownDaemons(now: number): recipientsModule.KnownDaemon[] {
    const reportedActive = new Set(this.peerTable.live(now).flatMap((peer) => peer.activeVms));
    return this.#otherDaemons().map((entry) => {
      const state = this.peerTable.liveState(entry.vm, now);
      return {
        entry,
        live: state !== undefined,
        dispatching: state?.dispatching ?? false,
        reportedActive: reportedActive.has(entry.vm),
      };
    });
  }

  #updateSenders(knownDaemons: readonly recipientsModule.KnownDaemon[]): void {
    const senders = sendersModule.chooseSenders(this.#parts.entry, knownDaemons);
    if (senders.join() !== this.#senders.join()) this.#senders = senders;
  }

  #otherDaemons(): daemonEntries.DaemonEntry[] {
    return [...this.#parts.view.daemons.values()].filter((daemon) => daemon.vm !== this.#parts.entry.vm);
  }

  #serializedWork(): string {
    return JSON.stringify([...this.#parts.loads.ownWork()]);
  }

  /**
   * Addresses of daemons that have left. They get an occasional heartbeat, so that one that restarts receives it and
   * answers.
   */
  #formerAddresses(now: number): string[] {
    const { entry, view, ready } = this.#parts;
    if (!ready() || !this.#dispatching) return [];
    const candidates = this.peerTable
      .live(now)
      .filter((peer) => peer.ready && peer.dispatching && peer.vm !== entry.vm);
    const former = view.former.assignedTo(
      entry.vm,
      candidates.map((peer) => peer.vm),
      now,
    );
    return former.map((daemon) => daemon.peers);
  }

  #sendHeartbeats(
    now: number,
    recipients: recipientsModule.Recipients,
    due: { readonly frequent: boolean; readonly distant: boolean; readonly occasional: boolean },
  ): void {
    if (!due.frequent && !due.distant && !due.occasional) return;
    const unixMs = Date.now();
    this.#distances.noteSent(unixMs, now);
    if (due.distant) {
      const stateFields = (changes: recentChangesModule.RecentChanges): PulseFields =>
        this.#stateFields(now, unixMs, changes);
      const addresses = recipients.distant.map(({ peers }) => peers);
      for (const pulse of this.#distant.create(now, intervalFor(recipients), stateFields))
        this.#heartbeatSocket.send(pulse, addresses);
    }
    if (!due.frequent && !due.occasional) return;
    const state = {
      ...this.#stateFields(now, unixMs, this.#recentChanges),
      ...this.#records.take(workDeltas.Audience.Near, now),
    };
    if (due.frequent) {
      this.#lastSentAt.frequent = now;
      this.#lastSentWork = this.#serializedWork();
      const nextMs = Math.max(MAX_HEARTBEAT_INTERVAL_MS, intervalFor(recipients));
      const nextWithinMs = peerWorks.toUint32(nextMs);
      const pulse = protobuf.create(messages.PulseSchema, {
        ...state,
        ...this.#work.createFields(workDeltas.Audience.Near, now),
        ...this.#work.takeDeltas(workDeltas.Audience.Near),
        echoes: this.#distances.takeEchoes(false, now),
        nextWithinMs,
      });
      this.#heartbeatSocket.send(
        pulse,
        recipients.frequent.map(({ peers }) => peers),
      );
    }
    if (!due.occasional) return;
    this.#lastSentAt.occasional = now;
    this.#round++;
    const pulse = protobuf.create(messages.PulseSchema, { ...state, nextWithinMs: this.#occasionalIntervalMs });
    this.#heartbeatSocket.send(pulse, [
      ...recipients.occasional.map(({ peers }) => peers),
      ...this.#formerAddresses(now),
    ]);
  }

  #countSent(address: string, bytes: number): void {
    const { traffic } = this.#parts;
    if (traffic === undefined) return;
    const dataCentre = this.#dataCentresOfPeers.get(address);
    if (dataCentre !== undefined) traffic.add(trafficCounters.Traffic.Heartbeats, dataCentre, bytes);
  }

  #stateFields(now: number, unixMs: number, changes: recentChangesModule.RecentChanges): PulseFields {
    const { entry, view } = this.#parts;
    return {
      vm: entry.vm,
      incarnation: entry.incarnation,
      dataCentre: entry.dataCentre,
      callers: entry.callers,
      capacityThousandths: peerWorks.toUint32(entry.capacity * THOUSANDTHS),
      busyThousandths: peerWorks.toUint32(this.#parts.busyCores() * THOUSANDTHS),
      active: this.activeSet.active,
      activeVms: [...this.activeSet.activeVms],
      ready: this.#parts.ready(),
      cutOff: this.#parts.isCutOff(),
      linkLost: this.#parts.isLinkLost(),
      configurationRevision: BigInt(view.configurationRevision),
      ...this.#configurationAge(now),
      ...recordExchanges.versionFields(view, now),
      storeSilentMs: Math.round(this.#parts.storeSilentMs()),
      unixMs: BigInt(unixMs),
      ...this.#dutyLease,
      departures: changes.nextDepartures(now),
      followsClosely: this.#parts.followsClosely(),
      entries: changes.entries(now),
      tryingSuspect: this.#parts.suspects.isRunningTrial,
      changing: [...view.pendingRoleChanges]
        .filter(([, change]) => change.until > now)
        .map(([endpoint, change]) => ({
          endpoint,
          role: change.role,
          forMs: Math.round(change.until - now),
          startedAtMs: endpointIncarnations.toMessage(change.bornAt),
        })),
    };
  }

  get #dutyLease(): { readonly dutyLeaseMs?: number } {
    const dutyLeaseMs = this.#parts.dutyLeaseMs();
    return dutyLeaseMs === undefined ? {} : { dutyLeaseMs: peerWorks.toUint32(dutyLeaseMs) };
  }

  #configurationAge(now: number): { readonly configurationAgeMs?: number } {
    const ageMs = this.#parts.view.freshness.ageMs(now);
    return Number.isFinite(ageMs) ? { configurationAgeMs: peerWorks.toUint32(Math.ceil(ageMs)) } : {};
  }

  #sendNews(now: number): void {
    const { view, log } = this.#parts;
    const sender: peerTables.SenderState = {
      configurationRevision: view.configurationRevision,
      storeAnswers: this.#parts.storeSilentMs() < peerTables.STORE_SILENT_MS,
      followsClosely: this.#parts.followsClosely(),
    };
    for (const peer of this.peerTable.selectReceivers(sender, now)) {
      const address = this.addressOf(peer.vm);
      if (address === undefined) continue;
      log.info("tell-peer", { peer: peer.vm, has: peer.configurationRevision, tells: view.configurationRevision });
      this.#peerClient.send(address, this.#newsFor(peer, now)).catch((error: unknown) => {
        log.warn("tell-peer-failed", { peer: peer.vm, detail: String(error) });
      });
    }
  }

  #newsFor(peer: peerTables.PeerState, now: number): Omit<messages.News, "$typeName" | "$unknown"> {
    const { view, entry } = this.#parts;
    const behind = peer.configurationRevision < view.configurationRevision;
    // The list of endpoints is many times larger than the configuration. A peer that the key-value service answers
    // reads the list there, and learns of changes from heartbeats.
    const needsList = peer.configurationRevision === 0 || peer.storeSilentMs > peerTables.STORE_SILENT_MS;
    return {
      vm: entry.vm,
      configurationRevision: BigInt(view.configurationRevision),
      configuration: behind ? (view.configurationDocument ?? new Uint8Array()) : new Uint8Array(),
      endpoints: needsList ? this.#allEntries() : [],
      departures: this.#recentChanges.allDepartures(now),
      daemons: peer.configurationRevision === 0 ? this.#liveDaemons(now) : [],
      suspects: this.#parts.suspects.snapshotRecords(now).map(suspectCodec.toMessage),
    };
  }

  #allEntries(): messages.EndpointEntry[] {
    return [...this.#parts.view.endpointDocuments].map(([id, { value, revision }]) =>
      protobuf.create(messages.EndpointEntrySchema, { id, value, revision: BigInt(revision) }),
    );
  }

  /**
   * Addresses of the live daemons, which a daemon that has just started would otherwise read from the key-value
   * service.
   */
  #liveDaemons(now: number): messages.DaemonAddress[] {
    const { entry } = this.#parts;
    const live = new Set(this.peerTable.live(now).map((peer) => peer.vm)).add(entry.vm);
    return [...this.#otherDaemons(), entry]
      .filter((daemon) => live.has(daemon.vm))
      .map(({ capacity, ...daemon }) => {
        const capacityThousandths = peerWorks.toUint32(capacity * THOUSANDTHS);
        return protobuf.create(messages.DaemonAddressSchema, { ...daemon, capacityThousandths });
      });
  }
}

/** Interval of the checks whether a heartbeat is due, in milliseconds: the same whether or not some recipients are distant. */
function intervalFor({ frequent, distant }: recipientsModule.Recipients): number {
  return serving.heartbeatIntervalMs(frequent.length + distant.length);
}
