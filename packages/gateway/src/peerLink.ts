import type * as http from "node:http";
import * as protobuf from "@bufbuild/protobuf";
import * as messages from "@camphorcourse/protocol/gateway";
import * as serving from "@camphorcourse/serving";
import type * as beliefsModule from "./beliefs.js";
import type * as decisionLogs from "./decisionLog.js";
import type * as fleetViews from "./fleetView.js";
import * as peerBooks from "./peerBook.js";
import * as peerNews from "./peerNews.js";
import * as peerPulses from "./peerPulse.js";
import * as peerWorks from "./peerWork.js";
import type * as settingsModule from "./settings.js";
import * as toldLives from "./toldLives.js";

/**
 * Shortest and longest interval between two pulses, in milliseconds, and the time
 * by which each daemon that hears them lengthens it. From so many daemons on it
 * grows faster than their number, so that the datagrams of a large fleet cost
 * each daemon less. At 62 daemons a whole day took 339 s of processor time with it,
 * and over 447 s without it before it was given up (one run each).
 */
const PULSE_MS = { shortest: 40, longest: 1_000, perDaemon: 6, steeperFrom: 30 };

/** Pulses in the time after which a daemon's word of its work has expired. */
const PULSES_UNTIL_EXPIRED = 2.2;

/** Longest interval between two pulses when nothing has changed, in milliseconds. */
const QUIET_PULSE_MS = 350;

/** Time for which an entry that was read is told in each pulse, in milliseconds: several pulses, as some are lost. */
const ENTRY_TOLD_MS = 1_500;

/**
 * Longest entry that is told in a pulse, in bytes, several times an endpoint's own. A pulse with another writer's entry
 * of many kilobytes could not be sent, and this daemon would look dead; such an entry is read in the seldom readings.
 */
const LONGEST_TOLD_BYTES = 1_000;

/** Time for which a departure is told in each pulse, in milliseconds. */
const DEPARTURE_TOLD_MS = 4_000;

/** What the link needs. */
export interface PeerLinkParts {
  readonly settings: settingsModule.GatewaySettings;
  readonly entry: fleetViews.DaemonEntry;
  readonly view: fleetViews.FleetView;
  readonly board: serving.EngineBoard;
  readonly demand: serving.Demand;
  readonly speeds: serving.ServiceSpeeds;
  readonly sizeShares: serving.SizeShares;
  readonly log: decisionLogs.DecisionLog;
  readonly ready: () => boolean;
  /** Milliseconds for which the key-value service has not answered. */
  readonly storeSilentMs: () => number;
  /** Whether this daemon follows the key-value service closely. */
  readonly followsClosely: () => boolean;
  /** Whether this daemon's entry is in the key-value service. */
  readonly registered: () => boolean;
  /** Takes a daemon that was heard, or that a peer tells of. */
  readonly onDaemon: (heard: fleetViews.DaemonEntry) => void;
  /** Takes a configuration document and its revision. */
  readonly onConfiguration: (document: Uint8Array, revision: number) => void;
  /** Takes an endpoint's entry and its revision. */
  readonly onEndpoint: (id: string, value: Uint8Array, revision: number) => void;
  /** Takes an endpoint that is leaving, gone or set aside. */
  readonly onDeparture: (id: string, departure: beliefsModule.Departure) => void;
}

interface ToldDeparture extends beliefsModule.Departure {
  readonly toldUntil: number;
}

/** Speaks with the other daemons: work, departures, and news for those that the key-value service doesn't answer. */
export class PeerLink {
  readonly book: peerBooks.PeerBook;
  readonly #parts: PeerLinkParts;
  readonly #pulse: peerPulses.PeerPulse;
  readonly #teller = new peerNews.NewsTeller();
  readonly #work: peerWorks.PeerWork;
  readonly #departures = new Map<string, ToldDeparture>();
  readonly #entries = new Map<string, number>();
  #server: http.Server | undefined;
  #timer: NodeJS.Timeout | undefined;
  #workExpiryMs = serving.PEER_WORK_EXPIRY_MS;
  /** Whether the sockets are open: the key-value service is read before they are, and may be a moment after. */
  #speaking = false;
  #saidAt = 0;
  #saidToFormerAt = 0;
  #saidWork = "";

  /** @param parts - what it needs */
  constructor(parts: PeerLinkParts) {
    this.#parts = parts;
    this.book = new peerBooks.PeerBook(parts.entry.vm);
    this.#work = new peerWorks.PeerWork(parts);
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
    this.#departures.set(id, { ...departure, toldUntil: performance.now() + DEPARTURE_TOLD_MS });
  }

  /** @param id - an endpoint whose entry was read from the key-value service and has changed */
  noteEntry(id: string): void {
    if (this.#parts.followsClosely()) this.#entries.set(id, performance.now() + ENTRY_TOLD_MS);
  }

  /**
   * Another configuration is in force. The others hear at once who has it, so
   * that few tell it and nobody tells it twice, and those that read the
   * key-value service seldom are told at once by one that follows it closely.
   * With the next look they would hear of it up to a second later each time.
   */
  noteConfiguration(): void {
    if (!this.#speaking) return;
    const now = performance.now();
    this.#say(now);
    if (this.#parts.followsClosely()) this.#tellNews(now);
  }

  /** Says at once what has changed, such as that this daemon is leaving. */
  sayNow(): void {
    this.#say(performance.now());
  }

  #beat(): void {
    const now = performance.now();
    const peers = this.#others().length;
    const due =
      now - this.#saidAt >= QUIET_PULSE_MS || this.#parts.board.hasUntoldReads || this.#workText() !== this.#saidWork;
    if (due) this.#say(now);
    this.#tellNews(now);
    this.#timer = setTimeout(() => this.#beat(), this.#followFleetSize(peers));
  }

  #followFleetSize(peers: number): number {
    const intervalMs = pulseIntervalMs(peers);
    this.book.followInterval(intervalMs);
    this.#workExpiryMs = Math.max(serving.PEER_WORK_EXPIRY_MS, PULSES_UNTIL_EXPIRED * intervalMs);
    return intervalMs;
  }

  #others(): fleetViews.DaemonEntry[] {
    return [...this.#parts.view.daemons.values()].filter((daemon) => daemon.vm !== this.#parts.entry.vm);
  }

  #workText(): string {
    return JSON.stringify([...this.#parts.board.ownWork()]);
  }

  /** Where daemons were that have left: a pulse now and then, so that one that starts again hears it and answers. */
  #formerAddresses(now: number): string[] {
    const { entry, view, ready } = this.#parts;
    if (!ready() || now - this.#saidToFormerAt < QUIET_PULSE_MS) return [];
    this.#saidToFormerAt = now;
    const able = this.book.live(now).filter((peer) => peer.ready && peer.vm !== entry.vm);
    const former = view.former.spokenToBy(
      entry.vm,
      able.map((peer) => peer.vm),
      now,
    );
    return former.map((daemon) => daemon.peers);
  }

  #say(now: number): void {
    const { entry, view, registered } = this.#parts;
    this.#saidAt = now;
    this.#saidWork = this.#workText();
    for (const [id, departure] of this.#departures) if (departure.toldUntil < now) this.#departures.delete(id);
    const pulse = protobuf.create(messages.PulseSchema, {
      vm: entry.vm,
      incarnation: entry.incarnation,
      ready: this.#parts.ready(),
      configurationRevision: BigInt(view.configurationRevision),
      storeSilentMs: Math.round(this.#parts.storeSilentMs()),
      ...this.#work.tell(now),
      departures: this.#departureMessages(),
      followsClosely: this.#parts.followsClosely(),
      entries: this.#entryMessages(now),
      changing: [...view.changing]
        .filter(([, change]) => change.until > now)
        .map(([endpoint, change]) => ({
          endpoint,
          role: change.role,
          forMs: Math.round(change.until - now),
          startedAtMs: toldLives.toMessage(change.bornAt),
        })),
      ...(registered() ? {} : { callers: entry.callers, dataCentre: entry.dataCentre }),
    });
    const others = this.#others().map((daemon) => daemon.peers);
    this.#pulse.say(pulse, [...others, ...this.#formerAddresses(now)]);
  }

  #entryMessages(now: number): messages.EndpointEntry[] {
    const told: messages.EndpointEntry[] = [];
    for (const [id, until] of this.#entries) {
      const document = this.#parts.view.endpointDocuments.get(id);
      if (until < now || document === undefined) {
        this.#entries.delete(id);
        continue;
      }
      const { value, revision } = document;
      if (value.length > LONGEST_TOLD_BYTES) continue;
      told.push(protobuf.create(messages.EndpointEntrySchema, { id, value, revision: BigInt(revision) }));
    }
    return told;
  }

  #departureMessages(): { endpoint: string; revision: bigint; startedAtMs: bigint; setAside: boolean }[] {
    return [...this.#departures].map(([endpoint, { revision, bornAt, setAside }]) => ({
      endpoint,
      revision: BigInt(revision),
      startedAtMs: toldLives.toMessage(bornAt),
      setAside,
    }));
  }

  #hear(pulse: messages.Pulse, sender: string): void {
    const now = performance.now();
    // One that stops as planned goes on speaking for a while, but has left; one without a configuration has just started.
    const stays = pulse.ready || pulse.configurationRevision === 0n;
    const { vm, incarnation, dataCentre, callers } = pulse;
    if (stays) this.#parts.onDaemon({ vm, incarnation, dataCentre, callers, peers: sender });
    const before = this.book.hear({
      vm: pulse.vm,
      incarnation: pulse.incarnation,
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
    this.#work.hear(pulse, now, this.#workExpiryMs);
    for (const { endpoint, role, forMs, startedAtMs } of pulse.changing) {
      const bornAt = toldLives.fromMessage(startedAtMs);
      if (this.#parts.view.changing.has(endpoint) || toldLives.isOfAnotherLife(this.#parts.view, endpoint, bornAt))
        continue;
      this.#parts.view.changing.set(endpoint, { until: now + forMs, role: role as serving.EngineRole, bornAt });
    }
    for (const entry of pulse.entries) this.#parts.onEndpoint(entry.id, entry.value, Number(entry.revision));
    this.#takeDepartures(pulse.departures);
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
    for (const peer of this.book.toTell(known, now)) {
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
      departures: this.#departureMessages().map((departure) => ({
        $typeName: "camphorcourse.gateway.v1.Departure",
        ...departure,
      })),
      daemons: peer.configurationRevision === 0 ? this.#liveDaemons(now) : [],
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
    const live = new Set(this.book.live(now).map((peer) => peer.vm)).add(entry.vm);
    return [...this.#others(), entry]
      .filter((daemon) => live.has(daemon.vm))
      .map(({ vm, incarnation, dataCentre, callers, peers }) =>
        protobuf.create(messages.DaemonAddressSchema, { vm, incarnation, dataCentre, callers, peers }),
      );
  }

  #takeNews(news: messages.News): number {
    if (news.configuration.length > 0) {
      this.#parts.onConfiguration(news.configuration, Number(news.configurationRevision));
    }
    for (const entry of news.endpoints) this.#parts.onEndpoint(entry.id, entry.value, Number(entry.revision));
    this.#takeDepartures(news.departures);
    const others = news.daemons.filter((daemon) => daemon.vm !== this.#parts.entry.vm);
    for (const { vm, incarnation, dataCentre, callers, peers } of others) {
      this.#parts.onDaemon({ vm, incarnation, dataCentre, callers, peers });
    }
    return this.#parts.view.configurationRevision;
  }
}

/**
 * @param peers - the other daemons
 * @returns time between two pulses, in milliseconds
 */
export function pulseIntervalMs(peers: number): number {
  const steeper = Math.max(1, peers / PULSE_MS.steeperFrom);
  return Math.min(PULSE_MS.longest, Math.max(PULSE_MS.shortest, PULSE_MS.perDaemon * peers * steeper));
}
