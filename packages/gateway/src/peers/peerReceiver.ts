import type * as messages from "@camphorcourse/protocol/gateway";
import * as serving from "@camphorcourse/serving";
import * as daemonEntries from "../daemonEntry.js";
import * as socketAddresses from "../address.js";
import type * as heartbeatDistances from "../distance/heartbeatDistances.js";
import type * as regionRelays from "../distance/regionRelays.js";
import * as endpointIncarnations from "../endpointIncarnation.js";
import * as limitCodec from "../limits/limitCodec.js";
import type * as peerTables from "../peerTable.js";
import * as peerWorks from "../peerWork.js";
import * as streamRecordCodec from "../streams/streamRecordCodec.js";
import * as suspectCodec from "../suspects/suspectCodec.js";
import type * as peerLinkParts from "./peerLinkParts.js";

/** Messages carry capacity in whole thousandths of a core. */
const THOUSANDTHS = 1_000;

/** Heartbeat intervals after which the work that a daemon reported expires. */
const WORK_EXPIRY_HEARTBEATS = 2.2;

/** Dependencies of {@link PeerReceiver}. */
export interface PeerReceiverParts extends Pick<
  peerLinkParts.PeerLinkParts,
  | "entry"
  | "view"
  | "suspects"
  | "limits"
  | "streams"
  | "log"
  | "onDaemon"
  | "onConfiguration"
  | "onEndpoint"
  | "onDeparture"
  | "onNeighbourCutOff"
  | "lateMs"
  | "traffic"
> {
  readonly relays: Pick<regionRelays.RegionRelays, "forward">;
  readonly heartbeatDistances: heartbeatDistances.HeartbeatDistances;
  readonly peerTable: peerTables.PeerTable;
  readonly work: peerWorks.PeerWork;
}

/** Applies what other daemons send: heartbeats and news. */
export class PeerReceiver {
  readonly #parts: PeerReceiverParts;

  /** @param parts - dependencies */
  constructor(parts: PeerReceiverParts) {
    this.#parts = parts;
  }

  /**
   * @param pulse - a received heartbeat
   * @param sentFrom - IP:PORT from which it was sent: that of its sender, or of the daemon that forwards it
   */
  applyHeartbeat(pulse: messages.Pulse, sentFrom: string): void {
    const now = performance.now();
    this.#parts.relays.forward(pulse, sentFrom);
    if (pulse.changesOnly) {
      this.#applyParts(pulse, now);
      return;
    }
    const sender = this.#senderOf(pulse, sentFrom, now);
    if (sender === undefined) {
      // What it reports once is not repeated, and holds in any order.
      this.#applyParts(pulse, now);
      return;
    }
    if (sender === sentFrom) this.#parts.heartbeatDistances.apply(pulse, now);
    // A daemon in a planned stop still sends heartbeats but has left; one without a configuration has just started.
    const stays = pulse.ready || pulse.configurationRevision === 0n;
    const { vm, incarnation, dataCentre, callers } = pulse;
    const capacity = capacityOf(pulse);
    if (stays)
      this.#parts.onDaemon({
        vm,
        incarnation,
        dataCentre,
        callers,
        peers: sender,
        capacity,
      });
    const previous = this.#parts.peerTable.record({
      vm,
      incarnation,
      dataCentre,
      capacity,
      busyCores: pulse.busyThousandths / THOUSANDTHS,
      active: pulse.active,
      cutOff: pulse.cutOff,
      linkLost: pulse.linkLost,
      dispatching: pulse.active || pulse.work.length > 0,
      activeVms: pulse.activeVms,
      nextWithinMs: pulse.nextWithinMs,
      ready: pulse.ready,
      configurationRevision: Number(pulse.configurationRevision),
      storeSilentMs: pulse.storeSilentMs,
      followsClosely: pulse.followsClosely,
      ...peerWorks.demandFrom(pulse),
      clockOffsetMs: pulse.unixMs === 0n ? undefined : Number(pulse.unixMs) - now,
      forwards: pulse.forwards,
      sequence: this.#lastSequence(pulse, now),
      dutyLeaseUntil: pulse.dutyLeaseMs === undefined ? undefined : now + pulse.dutyLeaseMs,
      lastReceivedAt: now,
    });
    this.#noteConfiguration(pulse, now);
    this.#noteVersions(pulse, now);
    if (previous === undefined || previous.incarnation !== pulse.incarnation || previous.ready !== pulse.ready) {
      this.#parts.log.info("peer", { peer: pulse.vm, incarnation: pulse.incarnation, ready: pulse.ready });
    }
    if (pulse.cutOff && dataCentre === this.#parts.entry.dataCentre) this.#parts.onNeighbourCutOff();
    const expiryMs = Math.max(serving.PEER_WORK_EXPIRY_MS, WORK_EXPIRY_HEARTBEATS * pulse.nextWithinMs);
    this.#parts.work.apply(pulse, now, expiryMs);
    this.#applyRoleChanges(pulse.changing, now);
    this.#applyChanges(pulse);
    this.#applySuspects(pulse.suspects, now);
    this.#applyLimits(pulse.limits);
    this.#parts.suspects.notePeerTrial(pulse.vm, pulse.tryingSuspect, now);
  }

  /** IP:PORT of the daemon whose heartbeat it is; undefined if the heartbeat was forwarded and a later one has arrived. */
  #senderOf(pulse: messages.Pulse, sentFrom: string, now: number): string | undefined {
    const { forwardedFrom, incarnation, sequence, vm } = pulse;
    if (forwardedFrom === "") return sentFrom;
    const last = this.#parts.peerTable.liveState(vm, now);
    const isNewer = serving.isNewerState(
      { incarnation, sequence },
      last === undefined ? undefined : { incarnation: last.incarnation, sequence: last.sequence ?? 0 },
    );
    if (isNewer && socketAddresses.isAddress(forwardedFrom)) return forwardedFrom;
    this.#parts.traffic?.noteOutdated();
    return undefined;
  }

  /** Heartbeats without work, which have no number, come between those to other regions. */
  #lastSequence({ incarnation, sequence, vm }: messages.Pulse, now: number): number {
    const last = this.#parts.peerTable.liveState(vm, now);
    return last?.incarnation === incarnation ? Math.max(last.sequence ?? 0, sequence) : sequence;
  }

  #applyParts(pulse: messages.Pulse, now: number): void {
    this.#parts.work.applyDeltas(pulse, now);
    this.#applyChanges(pulse);
    this.#applyStreamRecords(pulse.streamRecords, now);
  }

  /** The heartbeat may have waited in its socket for as long as the event loop was late. */
  #noteConfiguration({ configurationAgeMs, configurationRevision }: messages.Pulse, now: number): void {
    const { freshness } = this.#parts.view;
    const revision = Number(configurationRevision);
    freshness.noteSeen(revision);
    if (configurationAgeMs === undefined || revision === 0) return;
    freshness.noteConfirmed(revision, now - configurationAgeMs - this.#parts.lateMs());
  }

  #noteVersions(pulse: messages.Pulse, now: number): void {
    const { configurationRevision, routesUnchangedMs, versionsAgeMs, versionsDigest, versionsWindowMs } = pulse;
    const { view } = this.#parts;
    const isSameConfiguration = Number(configurationRevision) === view.configurationRevision;
    if (isSameConfiguration && routesUnchangedMs > 0) view.routes.noteUnchanged(now - routesUnchangedMs);
    if (versionsAgeMs === undefined) return;
    const at = now - versionsAgeMs - this.#parts.lateMs();
    view.versions.notePeer({ digest: versionsDigest, at, windowMs: versionsWindowMs }, now);
  }

  #applyStreamRecords(records: readonly messages.StreamRecord[], now: number): void {
    for (const message of records) {
      const record = streamRecordCodec.fromMessage(message, now);
      if (record !== undefined) this.#parts.streams.merge(record);
    }
  }

  #applyChanges({ entries, departures }: Pick<messages.Pulse, "entries" | "departures">): void {
    for (const entry of entries) this.#parts.onEndpoint(entry.id, entry.value, Number(entry.revision));
    this.#applyDepartures(departures);
  }

  #applyRoleChanges(changing: readonly messages.RoleChanging[], now: number): void {
    for (const { endpoint, role, forMs, startedAtMs } of changing) {
      const bornAt = endpointIncarnations.fromMessage(startedAtMs);
      if (
        this.#parts.view.pendingRoleChanges.has(endpoint) ||
        endpointIncarnations.isOtherIncarnation(this.#parts.view, endpoint, bornAt)
      )
        continue;
      this.#parts.view.pendingRoleChanges.set(endpoint, {
        until: now + forMs,
        role: role as serving.EngineRole,
        bornAt,
      });
    }
  }

  #applySuspects(suspects: readonly messages.Suspect[], now: number): void {
    for (const suspect of suspects) this.#parts.suspects.merge(suspectCodec.fromMessage(suspect), now);
  }

  #applyLimits(limits: readonly messages.EndpointLimit[]): void {
    for (const limit of limits) {
      const record = limitCodec.fromMessage(limit);
      if (record !== undefined) this.#parts.limits.merge(record);
    }
  }

  #applyDepartures(departures: readonly messages.Departure[]): void {
    for (const { endpoint, revision, startedAtMs, setAside, stated } of departures) {
      this.#parts.onDeparture(endpoint, {
        revision: Number(revision),
        bornAt: endpointIncarnations.fromMessage(startedAtMs),
        setAside,
        isStated: stated,
      });
    }
  }

  /**
   * @param news - what a peer has read in the key-value service
   * @returns revision of the configuration that is now in force here
   */
  applyNews(news: messages.News): number {
    if (news.configuration.length > 0) {
      this.#parts.onConfiguration(news.configuration, Number(news.configurationRevision));
    }
    for (const entry of news.endpoints) this.#parts.onEndpoint(entry.id, entry.value, Number(entry.revision));
    this.#applyDepartures(news.departures);
    this.#applySuspects(news.suspects, performance.now());
    const others = news.daemons.filter((daemon) => daemon.vm !== this.#parts.entry.vm);
    for (const daemon of others) {
      const { vm, incarnation, dataCentre, callers, peers } = daemon;
      this.#parts.onDaemon({
        vm,
        incarnation,
        dataCentre,
        callers,
        peers,
        capacity: capacityOf(daemon),
      });
    }
    return this.#parts.view.configurationRevision;
  }
}

/** Older daemons don't report their capacity. */
function capacityOf({ capacityThousandths }: { readonly capacityThousandths: number }): number {
  return capacityThousandths === 0 ? daemonEntries.DEFAULT_CAPACITY : capacityThousandths / THOUSANDTHS;
}
