import type * as http from "node:http";
import * as protobuf from "@bufbuild/protobuf";
import * as messages from "@camphorcourse/protocol/gateway";
import * as serving from "@camphorcourse/serving";
import type * as beliefsModule from "./fleetViewUpdater.js";
import * as daemonEntries from "./daemonEntry.js";
import type * as decisionLogs from "./decisionLog.js";
import type * as fleetViews from "./fleetView.js";
import * as peerBooks from "./peerTable.js";
import * as peerNews from "./peerNews.js";
import * as peerPulses from "./heartbeatSocket.js";
import * as peerWorks from "./peerWork.js";
import * as audiences from "./peers/recipients.js";
import * as standings from "./peers/activeSetTracker.js";
import * as suspectCodec from "./suspects/suspectCodec.js";
import * as toldChanges from "./peers/recentChanges.js";
import type * as settingsModule from "./settings.js";
import * as toldLives from "./endpointIncarnation.js";

/** Pulses in the time after which a daemon's word of its work has expired. */
const PULSES_UNTIL_EXPIRED = 2.2;

/** Longest interval between two pulses when nothing has changed, in milliseconds. */
const QUIET_PULSE_MS = 350;

/**
 * Interval of the pulses to daemons that need not know the work, in milliseconds: shorter for those that stand by, as
 * callers wait until they notice that the daemons that took them are dead.
 */
const SELDOM_PULSE_MS = { deciding: 450, standingBy: 1_000 };

/** Interval at which a daemon that stands by looks at what it has heard, in milliseconds. */
const STANDBY_LOOK_MS = 300;

/** Messages tell capacity in whole thousandths of a core. */
const THOUSANDTHS = 1_000;

/** What the link needs. */
export interface PeerLinkParts {
  readonly settings: settingsModule.GatewaySettings;
  readonly entry: daemonEntries.DaemonEntry;
  readonly view: fleetViews.FleetView;
  readonly board: serving.EngineLoadTracker;
  readonly demand: serving.Demand;
  readonly speeds: serving.ServiceSpeeds;
  readonly sizeShares: serving.AcceptanceTracker;
  readonly suspects: serving.SuspectTable;
  readonly log: decisionLogs.DecisionLog;
  readonly ready: () => boolean;
  /** Milliseconds for which the key-value service has not answered. */
  readonly storeSilentMs: () => number;
  /** Whether this daemon follows the key-value service closely. */
  readonly followsClosely: () => boolean;
  /** Part of the VM's capacity that is busy, in cores. */
  readonly busyCores: () => number;
  /** Takes a daemon that was heard, or that a peer tells of. */
  readonly onDaemon: (heard: daemonEntries.DaemonEntry) => void;
  /** Takes a configuration document and its revision. */
  readonly onConfiguration: (document: Uint8Array, revision: number) => void;
  /** Takes an endpoint's entry and its revision. */
  readonly onEndpoint: (id: string, value: Uint8Array, revision: number) => void;
  /** Takes an endpoint that is leaving, gone or set aside. */
  readonly onDeparture: (id: string, departure: beliefsModule.Departure) => void;
}

/** Speaks with the other daemons: work, departures, and news for those that the key-value service doesn't answer. */
export class PeerLink {
  readonly peerTable: peerBooks.PeerTable;
  /** Whether this daemon takes callers, and who does. */
  readonly activeSet: standings.Standing;
  readonly #parts: PeerLinkParts;
  readonly #pulse: peerPulses.PeerPulse;
  readonly #teller = new peerNews.NewsTeller();
  readonly #work: peerWorks.PeerWork;
  readonly #changes: toldChanges.ToldChanges;
  #server: http.Server | undefined;
  #timer: NodeJS.Timeout | undefined;
  /** Whether the sockets are open: the key-value service is read before they are, and may be a moment after. */
  #speaking = false;
  /** When the daemons that are spoken to often, and those that are spoken to seldom, were last spoken to. */
  #saidAt = { often: 0, seldom: 0 };
  #saidWork = "";
  #turn = 0;

  /** @param parts - what it needs */
  constructor(parts: PeerLinkParts) {
    this.#parts = parts;
    this.peerTable = new peerBooks.PeerTable(parts.entry.vm);
    this.activeSet = new standings.Standing({ ...parts, book: this.peerTable });
    this.#work = new peerWorks.PeerWork(parts);
    this.#changes = new toldChanges.ToldChanges(parts.view);
    this.#pulse = new peerPulses.PeerPulse(
      (pulse, sender) => this.#hear(pulse, sender),
      (detail) => parts.log.warn("peer-datagram-failed", { detail }),
    );
  }

  /** Begins to speak and to hear. */
  async start(): Promise<void> {
    await this.#pulse.listen(this.#parts.settings.peers);
    this.#server = await peerNews.serveNews(this.#parts.settings.peers, (news) => this.#takeNews(news));
    this.#speaking = true;
    this.#beat();
  }

  /** Ends speaking. */
  stop(): void {
    this.#speaking = false;
    clearTimeout(this.#timer);
    this.#pulse.close();
    this.#server?.close();
  }

  /**
   * @param id - an endpoint that is leaving, gone or set aside
   * @param departure - which of these, and since when
   */
  noteDeparture(id: string, departure: beliefsModule.Departure): void {
    this.#changes.noteDeparture(id, departure, performance.now());
  }

  /** @param id - an endpoint whose entry has changed: those that read for others tell it, and hosts pass it on */
  noteEntry(id: string): void {
    if (this.#parts.followsClosely() || this.activeSet.host) this.#changes.noteEntry(id, performance.now());
  }

  /**
   * Another configuration is in force. The others hear at once who has it, so
   * that few tell it and nobody tells it twice, and those that read the
   * key-value service seldom are told at once by one that follows it closely.
   * With the next look they would hear of it up to a second later each time.
   */
  noteConfiguration(): void {
    if (!this.#speaking) return;
    this.sendHeartbeatsNow();
    if (this.#parts.followsClosely()) this.#tellNews(performance.now());
  }

  /** Says at once what has changed, such as that this daemon is leaving. */
  sendHeartbeatsNow(): void {
    const now = performance.now();
    this.activeSet.look(now);
    this.#say(now, this.#audience(now), { often: true, seldom: true });
  }

  /** @returns whether this daemon takes callers, or has work of theirs */
  get #deciding(): boolean {
    return this.activeSet.active || this.#parts.board.ownWork().size > 0;
  }

  #beat(): void {
    const now = performance.now();
    const hasChanged = this.activeSet.look(now);
    const audience = this.#audience(now);
    const news = this.#parts.board.hasUnsentReads || this.#workText() !== this.#saidWork;
    this.#say(now, audience, {
      often: hasChanged || news || now - this.#saidAt.often >= QUIET_PULSE_MS,
      seldom: hasChanged || now - this.#saidAt.seldom >= this.#seldomPulseMs,
    });
    if (this.#isTeller(now)) this.#tellNews(now);
    this.#timer = setTimeout(() => this.#beat(), this.#followFleetSize(audience));
  }

  get #seldomPulseMs(): number {
    return this.#deciding ? SELDOM_PULSE_MS.deciding : SELDOM_PULSE_MS.standingBy;
  }

  #followFleetSize({ often }: audiences.Audience): number {
    const intervalMs = this.#deciding ? serving.heartbeatIntervalMs(often.length) : STANDBY_LOOK_MS;
    this.peerTable.followInterval(intervalMs);
    return intervalMs;
  }

  /** One that stands by is not heard by others of its kind, and leaves the telling to those that decide. */
  #isTeller(now: number): boolean {
    return this.#deciding || !this.peerTable.live(now).some((peer) => peer.active);
  }

  #audience(now: number): audiences.Audience {
    const named = new Set(this.peerTable.live(now).flatMap((peer) => peer.activeVms));
    const known = this.#others().map((entry) => {
      const heard = this.peerTable.liveState(entry.vm, now);
      return {
        entry,
        live: heard !== undefined,
        deciding: heard?.deciding ?? false,
        named: named.has(entry.vm),
      };
    });
    const { dataCentre } = this.#parts.entry;
    const own = { dataCentre, deciding: this.#deciding, host: this.activeSet.host };
    return audiences.audienceOf(own, known, this.#turn);
  }

  #others(): daemonEntries.DaemonEntry[] {
    return [...this.#parts.view.daemons.values()].filter((daemon) => daemon.vm !== this.#parts.entry.vm);
  }

  #workText(): string {
    return JSON.stringify([...this.#parts.board.ownWork()]);
  }

  /** Where daemons were that have left: a pulse now and then, so that one that starts again hears it and answers. */
  #formerAddresses(now: number): string[] {
    const { entry, view, ready } = this.#parts;
    if (!ready() || !this.#deciding) return [];
    const able = this.peerTable.live(now).filter((peer) => peer.ready && peer.deciding && peer.vm !== entry.vm);
    const former = view.former.spokenToBy(
      entry.vm,
      able.map((peer) => peer.vm),
      now,
    );
    return former.map((daemon) => daemon.peers);
  }

  #say(now: number, audience: audiences.Audience, due: { readonly often: boolean; readonly seldom: boolean }): void {
    if (!due.often && !due.seldom) return;
    const state = this.#stateMessage(now);
    if (due.often) {
      this.#saidAt.often = now;
      this.#saidWork = this.#workText();
      const nextMs = Math.max(QUIET_PULSE_MS, serving.heartbeatIntervalMs(audience.often.length));
      const nextWithinMs = peerWorks.toUint32(nextMs);
      const pulse = protobuf.create(messages.PulseSchema, {
        ...state,
        ...this.#work.tell(now),
        nextWithinMs,
      });
      this.#pulse.say(
        pulse,
        audience.often.map(({ peers }) => peers),
      );
    }
    if (!due.seldom) return;
    this.#saidAt.seldom = now;
    this.#turn++;
    const pulse = protobuf.create(messages.PulseSchema, { ...state, nextWithinMs: this.#seldomPulseMs });
    this.#pulse.say(pulse, [...audience.seldom.map(({ peers }) => peers), ...this.#formerAddresses(now)]);
  }

  #stateMessage(now: number): protobuf.MessageInitShape<typeof messages.PulseSchema> {
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
      configurationRevision: BigInt(view.configurationRevision),
      storeSilentMs: Math.round(this.#parts.storeSilentMs()),
      departures: this.#changes.departures(now),
      followsClosely: this.#parts.followsClosely(),
      entries: this.#changes.entries(now),
      suspects: this.#parts.suspects.recordsToPublish(now).map(suspectCodec.toMessage),
      tryingSuspect: this.#parts.suspects.isRunningTrial,
      changing: [...view.pendingRoleChanges]
        .filter(([, change]) => change.until > now)
        .map(([endpoint, change]) => ({
          endpoint,
          role: change.role,
          forMs: Math.round(change.until - now),
          startedAtMs: toldLives.toMessage(change.bornAt),
        })),
    };
  }

  #hear(pulse: messages.Pulse, sender: string): void {
    const now = performance.now();
    // One that stops as planned goes on speaking for a while, but has left; one without a configuration has just started.
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
    const before = this.peerTable.hear({
      vm,
      incarnation,
      dataCentre,
      capacity,
      busyCores: pulse.busyThousandths / THOUSANDTHS,
      active: pulse.active,
      deciding: pulse.active || pulse.work.length > 0,
      activeVms: pulse.activeVms,
      nextWithinMs: pulse.nextWithinMs,
      ready: pulse.ready,
      configurationRevision: Number(pulse.configurationRevision),
      storeSilentMs: pulse.storeSilentMs,
      followsClosely: pulse.followsClosely,
      ...peerWorks.toldDemand(pulse),
      heardAt: now,
    });
    if (before === undefined || before.incarnation !== pulse.incarnation || before.ready !== pulse.ready) {
      this.#parts.log.info("peer", { peer: pulse.vm, incarnation: pulse.incarnation, ready: pulse.ready });
    }
    const expiryMs = Math.max(serving.PEER_WORK_EXPIRY_MS, PULSES_UNTIL_EXPIRED * pulse.nextWithinMs);
    this.#work.hear(pulse, now, expiryMs);
    for (const { endpoint, role, forMs, startedAtMs } of pulse.changing) {
      const bornAt = toldLives.fromMessage(startedAtMs);
      if (
        this.#parts.view.pendingRoleChanges.has(endpoint) ||
        toldLives.isOfAnotherLife(this.#parts.view, endpoint, bornAt)
      )
        continue;
      this.#parts.view.pendingRoleChanges.set(endpoint, {
        until: now + forMs,
        role: role as serving.EngineRole,
        bornAt,
      });
    }
    for (const entry of pulse.entries) this.#parts.onEndpoint(entry.id, entry.value, Number(entry.revision));
    this.#takeDepartures(pulse.departures);
    this.#takeSuspects(pulse.suspects, now);
    this.#parts.suspects.notePeerTrial(pulse.vm, pulse.tryingSuspect, now);
  }

  #takeSuspects(suspects: readonly messages.Suspect[], now: number): void {
    for (const suspect of suspects) this.#parts.suspects.merge(suspectCodec.fromMessage(suspect), now);
  }

  #takeDepartures(departures: readonly messages.Departure[]): void {
    for (const { endpoint, revision, startedAtMs, setAside } of departures) {
      this.#parts.onDeparture(endpoint, {
        revision: Number(revision),
        bornAt: toldLives.fromMessage(startedAtMs),
        setAside,
      });
    }
  }

  #tellNews(now: number): void {
    const { view, log } = this.#parts;
    const known: peerBooks.Known = {
      configurationRevision: view.configurationRevision,
      answered: this.#parts.storeSilentMs() < peerBooks.STORE_SILENT_MS,
      followsClosely: this.#parts.followsClosely(),
    };
    for (const peer of this.peerTable.toTell(known, now)) {
      const address = this.#others().find((daemon) => daemon.vm === peer.vm)?.peers;
      if (address === undefined) continue;
      log.info("tell-peer", { peer: peer.vm, has: peer.configurationRevision, tells: view.configurationRevision });
      this.#teller.tell(address, this.#newsFor(peer, now)).catch((error: unknown) => {
        log.warn("tell-peer-failed", { peer: peer.vm, detail: String(error) });
      });
    }
  }

  #newsFor(peer: peerBooks.PeerState, now: number): Omit<messages.News, "$typeName" | "$unknown"> {
    const { view, entry } = this.#parts;
    const behind = peer.configurationRevision < view.configurationRevision;
    // The list is many times the configuration's size; whom the key-value service answers reads it there, and hears of
    // changes in the pulses.
    const needsList = peer.configurationRevision === 0 || peer.storeSilentMs > peerBooks.STORE_SILENT_MS;
    return {
      vm: entry.vm,
      configurationRevision: BigInt(view.configurationRevision),
      configuration: behind ? (view.configurationDocument ?? new Uint8Array()) : new Uint8Array(),
      endpoints: needsList ? this.#allEntries() : [],
      departures: this.#changes.departures(now),
      daemons: peer.configurationRevision === 0 ? this.#liveDaemons(now) : [],
      suspects: this.#parts.suspects.snapshotRecords(now).map(suspectCodec.toMessage),
    };
  }

  #allEntries(): messages.EndpointEntry[] {
    return [...this.#parts.view.endpointDocuments].map(([id, { value, revision }]) =>
      protobuf.create(messages.EndpointEntrySchema, { id, value, revision: BigInt(revision) }),
    );
  }

  /** What a daemon that has just started would read of in the key-value service: where the others are. */
  #liveDaemons(now: number): messages.DaemonAddress[] {
    const { entry } = this.#parts;
    const live = new Set(this.peerTable.live(now).map((peer) => peer.vm)).add(entry.vm);
    return [...this.#others(), entry]
      .filter((daemon) => live.has(daemon.vm))
      .map(({ capacity, ...daemon }) => {
        const capacityThousandths = peerWorks.toUint32(capacity * THOUSANDTHS);
        return protobuf.create(messages.DaemonAddressSchema, { ...daemon, capacityThousandths });
      });
  }

  #takeNews(news: messages.News): number {
    if (news.configuration.length > 0) {
      this.#parts.onConfiguration(news.configuration, Number(news.configurationRevision));
    }
    for (const entry of news.endpoints) this.#parts.onEndpoint(entry.id, entry.value, Number(entry.revision));
    this.#takeDepartures(news.departures);
    this.#takeSuspects(news.suspects, performance.now());
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

/** One that doesn't say its capacity is an older daemon. */
function capacityOf({ capacityThousandths }: { readonly capacityThousandths: number }): number {
  return capacityThousandths === 0 ? daemonEntries.USUAL_CAPACITY : capacityThousandths / THOUSANDTHS;
}
