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
import type * as settingsModule from "./settings.js";

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

/** Messages tell a load in whole thousandths. */
const THOUSANDTHS = 1_000;

const MS_PER_SECOND = 1_000;

/** What the link needs. */
export interface PeerLinkParts {
  readonly settings: settingsModule.GatewaySettings;
  readonly entry: fleetViews.DaemonEntry;
  readonly view: fleetViews.FleetView;
  readonly board: serving.EngineBoard;
  readonly demand: serving.Demand;
  readonly speeds: serving.ServiceSpeeds;
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
    const { entry, view, board, registered } = this.#parts;
    this.#saidAt = now;
    this.#saidWork = this.#workText();
    for (const [id, departure] of this.#departures) if (departure.toldUntil < now) this.#departures.delete(id);
    const pulse = protobuf.create(messages.PulseSchema, {
      vm: entry.vm,
      incarnation: entry.incarnation,
      ready: this.#parts.ready(),
      configurationRevision: BigInt(view.configurationRevision),
      storeSilentMs: Math.round(this.#parts.storeSilentMs()),
      work: [...board.ownWork()].map(([endpoint, work]) => ({
        endpoint,
        running: work.running,
        unread: work.unread.map((tokens) => Math.round(tokens)),
      })),
      departures: this.#departureMessages(),
      followsClosely: this.#parts.followsClosely(),
      entries: this.#entryMessages(now),
      reads: board.takeUntoldReads().map(({ endpointId, model, part, isRead }) => ({
        endpoint: endpointId,
        model,
        part: part.id,
        tokens: part.tokens,
        isRead,
        startedAtMs: toMessage(view.directory.bornAtOf(endpointId)),
      })),
      readingLoadThousandths: Math.round(this.#parts.demand.readingLoad(now) * THOUSANDTHS),
      eventsPerSecond: Math.round(this.#parts.demand.eventsPerMs(now) * MS_PER_SECOND),
      observations: this.#observationMessages(),
      changing: [...view.changing]
        .filter(([, change]) => change.until > now)
        .map(([endpoint, change]) => ({
          endpoint,
          role: change.role,
          forMs: Math.round(change.until - now),
          startedAtMs: toMessage(change.bornAt),
        })),
      ...(registered() ? {} : { callers: entry.callers, dataCentre: entry.dataCentre }),
    });
    const others = this.#others().map((daemon) => daemon.peers);
    this.#pulse.say(pulse, [...others, ...this.#formerAddresses(now)]);
  }

  #observationMessages(): messages.ReadObservation[] {
    return [...this.#parts.speeds.all()].flatMap(([service, speeds]) =>
      speeds.takeUntold().map(({ role, observation }) =>
        protobuf.create(messages.ReadObservationSchema, {
          service,
          role,
          unreadTokens: Math.round(observation.unreadTokens),
          cachedTokens: Math.round(observation.cachedTokens),
          tokensWaiting: Math.round(observation.tokensWaiting),
          streams: observation.streams,
          tookMs: Math.round(observation.tookMs),
        }),
      ),
    );
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
      startedAtMs: toMessage(bornAt),
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
      eventsPerMs: pulse.eventsPerSecond / MS_PER_SECOND,
      readingLoad: pulse.readingLoadThousandths / THOUSANDTHS,
      heardAt: now,
    });
    if (before === undefined || before.incarnation !== pulse.incarnation || before.ready !== pulse.ready) {
      this.#parts.log.info("peer", { peer: pulse.vm, incarnation: pulse.incarnation, ready: pulse.ready });
    }
    this.#parts.board.hear(
      pulse.vm,
      new Map(pulse.work.map((work) => [work.endpoint, { unread: work.unread, running: work.running }])),
      now,
      this.#workExpiryMs,
    );
    for (const { endpoint, role, forMs, startedAtMs } of pulse.changing) {
      const bornAt = fromMessage(startedAtMs);
      if (this.#parts.view.changing.has(endpoint) || this.#isOfAnotherLife(endpoint, bornAt)) continue;
      this.#parts.view.changing.set(endpoint, { until: now + forMs, role: role as serving.EngineRole, bornAt });
    }
    for (const { endpoint, model, part, tokens, startedAtMs, isRead } of pulse.reads) {
      if (this.#isOfAnotherLife(endpoint, fromMessage(startedAtMs))) continue;
      this.#parts.board.hearRead({ endpointId: endpoint, model, part: { id: part, tokens }, isRead });
    }
    this.#learn(pulse.observations);
    for (const entry of pulse.entries) this.#parts.onEndpoint(entry.id, entry.value, Number(entry.revision));
    this.#takeDepartures(pulse.departures);
  }

  #learn(observations: readonly messages.ReadObservation[]): void {
    for (const { service, role, ...observation } of observations) {
      const known = Object.values(serving.EngineRole).find((each) => each === role);
      if (known !== undefined) this.#parts.speeds.of(service).learnReading(known, observation);
    }
  }

  /**
   * A peer that hasn't heard of a start yet goes on speaking of the life before. An
   * engine that has just come would get no work for an order that it knows nothing
   * of, and prompts for parts that it doesn't have. Peers of an older form tell no
   * life, and are believed as before.
   */
  #isOfAnotherLife(id: string, toldBornAt: number | undefined): boolean {
    const bornAt = this.#parts.view.directory.bornAtOf(id);
    return toldBornAt !== undefined && bornAt !== undefined && toldBornAt !== bornAt;
  }

  #takeDepartures(departures: readonly messages.Departure[]): void {
    for (const { endpoint, revision, startedAtMs, setAside } of departures) {
      this.#parts.onDeparture(endpoint, { revision: Number(revision), bornAt: fromMessage(startedAtMs), setAside });
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
    return {
      vm: entry.vm,
      configurationRevision: BigInt(view.configurationRevision),
      configuration: behind ? (view.configurationDocument ?? new Uint8Array()) : new Uint8Array(),
      endpoints: [...view.endpointDocuments].map(([id, { value, revision }]) => ({
        $typeName: "camphorcourse.gateway.v1.EndpointEntry",
        id,
        value,
        revision: BigInt(revision),
      })),
      departures: this.#departureMessages().map((departure) => ({
        $typeName: "camphorcourse.gateway.v1.Departure",
        ...departure,
      })),
      daemons: peer.configurationRevision === 0 ? this.#liveDaemons(now) : [],
    };
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

/** Messages have no missing number: 0 stands for a start that isn't known. */
function toMessage(bornAt: number | undefined): bigint {
  return BigInt(bornAt ?? 0);
}

function fromMessage(startedAtMs: bigint): number | undefined {
  return startedAtMs === 0n ? undefined : Number(startedAtMs);
}

/**
 * @param peers - the other daemons
 * @returns time between two pulses, in milliseconds
 */
export function pulseIntervalMs(peers: number): number {
  const steeper = Math.max(1, peers / PULSE_MS.steeperFrom);
  return Math.min(PULSE_MS.longest, Math.max(PULSE_MS.shortest, PULSE_MS.perDaemon * peers * steeper));
}
