import type * as http from "node:http";
import * as protobuf from "@bufbuild/protobuf";
import * as messages from "@camphorcourse/protocol/gateway";
import * as serving from "@camphorcourse/serving";
import type * as fleetViewUpdaters from "./fleetViewUpdater.js";
import * as distantHeartbeats from "./distance/distantHeartbeats.js";
import * as heartbeatDistances from "./distance/heartbeatDistances.js";
import * as publishedRecords from "./distance/publishedRecords.js";
import * as regionRelays from "./distance/regionRelays.js";
import * as trafficCounters from "./distance/trafficCounter.js";
import * as workDeltas from "./distance/workDeltas.js";
import type * as pathMonitors from "./paths/pathMonitor.js";
import * as peerTables from "./peerTable.js";
import * as peerCalls from "./peers/peerCalls.js";
import * as heartbeatSockets from "./heartbeatSocket.js";
import * as peerWorks from "./peerWork.js";
import * as heartbeatStates from "./peers/heartbeatState.js";
import * as newsSenders from "./peers/newsSender.js";
import * as otherDaemonsModule from "./peers/otherDaemons.js";
import type * as peerLinkParts from "./peers/peerLinkParts.js";
import * as peerReceivers from "./peers/peerReceiver.js";
import * as recipientsModule from "./peers/recipients.js";
import * as sendersModule from "./peers/senders.js";
import * as activeSetTrackers from "./peers/activeSetTracker.js";
import * as recordExchanges from "./streams/recordExchange.js";
import * as recentChangesModule from "./peers/recentChanges.js";

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
  readonly #parts: peerLinkParts.PeerLinkParts;
  readonly #heartbeatSocket: heartbeatSockets.HeartbeatSocket;
  readonly #peerClient = new peerCalls.PeerClient();
  readonly #work: peerWorks.PeerWork;
  readonly #receiver: peerReceivers.PeerReceiver;
  readonly #recentChanges: recentChangesModule.RecentChanges;
  readonly #otherDaemons: otherDaemonsModule.OtherDaemons;
  readonly #state: heartbeatStates.HeartbeatState;
  readonly #news: newsSenders.NewsSender;
  readonly #distant: distantHeartbeats.DistantHeartbeats;
  readonly #records: publishedRecords.PublishedRecords;
  readonly #distances: heartbeatDistances.HeartbeatDistances;
  readonly #relays: regionRelays.RegionRelays;
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
  constructor(parts: peerLinkParts.PeerLinkParts) {
    this.#parts = parts;
    this.peerTable = new peerTables.PeerTable(parts.entry.vm);
    this.activeSet = new activeSetTrackers.ActiveSetTracker({ ...parts, peerTable: this.peerTable });
    this.#otherDaemons = new otherDaemonsModule.OtherDaemons({ ...parts, peerTable: this.peerTable });
    this.#state = new heartbeatStates.HeartbeatState({ ...parts, activeSet: this.activeSet });
    this.#work = new peerWorks.PeerWork(parts);
    this.#records = new publishedRecords.PublishedRecords(parts, parts.distances !== undefined);
    this.#distances = new heartbeatDistances.HeartbeatDistances(parts.entry.vm, parts.distances, parts.log);
    this.#recentChanges = new recentChangesModule.RecentChanges(parts.view);
    this.#news = new newsSenders.NewsSender({
      ...parts,
      peerTable: this.peerTable,
      peerClient: this.#peerClient,
      otherDaemons: this.#otherDaemons,
      recentChanges: this.#recentChanges,
    });
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
    this.#relays = new regionRelays.RegionRelays({
      ...parts,
      peerTable: this.peerTable,
      heartbeatSocket: this.#heartbeatSocket,
    });
    this.#receiver = new peerReceivers.PeerReceiver({
      ...parts,
      peerTable: this.peerTable,
      work: this.#work,
      heartbeatDistances: this.#distances,
      relays: this.#relays,
    });
    this.records = new recordExchanges.RecordExchange({
      entry: parts.entry,
      peerTable: this.peerTable,
      heartbeatSocket: this.#heartbeatSocket,
      peerClient: this.#peerClient,
      otherDaemons: () => this.#otherDaemons.entries(),
    });
  }

  /** Opens the sockets and starts sending and receiving. */
  async start(): Promise<void> {
    await this.#heartbeatSocket.listen(this.#parts.settings.peers);
    const { pathCalls, peerServer, settings, streams } = this.#parts;
    const handler: peerCalls.PeerCallHandler = {
      ...pathCalls,
      onNews: (news) => this.#receiver.applyNews(news),
      onStreamQuery: (query) => streams.answer(query),
    };
    this.#server = await peerCalls.servePeers(settings.peers, handler, peerServer);
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
    if (this.#parts.followsClosely()) this.#news.send(performance.now());
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
    return this.#otherDaemons.addressOf(vm);
  }

  /** Sends heartbeats to all recipients at once, for example when this daemon begins to leave. */
  sendHeartbeatsNow(): void {
    // A path to an endpoint may change before the socket is bound, or after it has been closed.
    if (!this.#socketsOpen) return;
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
    if (this.#sendsNews(now)) this.#news.send(now);
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
    const knownDaemons = this.#otherDaemons.known(now);
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
    const recipients = recipientsModule.chooseRecipients(own, knownDaemons, this.#round);
    this.#relays.updateNear(recipients.frequent, now);
    return recipients;
  }

  #updateSenders(knownDaemons: readonly recipientsModule.KnownDaemon[]): void {
    const senders = sendersModule.chooseSenders(this.#parts.entry, knownDaemons);
    if (senders.join() !== this.#senders.join()) this.#senders = senders;
  }

  #serializedWork(): string {
    return JSON.stringify([...this.#parts.loads.ownWork()]);
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
      const stateFields = (changes: recentChangesModule.RecentChanges): heartbeatStates.PulseFields =>
        this.#state.createFields(now, unixMs, changes);
      const hasChanged = this.#distant.hasChanged(now);
      const pulses = this.#distant.create(now, intervalFor(recipients), stateFields);
      this.#relays.send(pulses, recipients.distant, hasChanged, now);
    }
    if (!due.frequent && !due.occasional) return;
    const state = {
      ...this.#state.createFields(now, unixMs, this.#recentChanges),
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
      ...(this.#dispatching ? this.#otherDaemons.formerAddresses(now) : []),
    ]);
  }

  #countSent(address: string, bytes: number): void {
    const { traffic } = this.#parts;
    if (traffic === undefined) return;
    const dataCentre = this.#dataCentresOfPeers.get(address);
    if (dataCentre !== undefined) traffic.add(trafficCounters.Traffic.Heartbeats, dataCentre, bytes);
  }
}

/** Interval of the checks whether a heartbeat is due, in milliseconds: the same whether or not some recipients are distant. */
function intervalFor({ frequent, distant }: recipientsModule.Recipients): number {
  return serving.heartbeatIntervalMs(frequent.length + distant.length);
}
