import * as common from "@camphorcourse/common";
import * as serving from "@camphorcourse/serving";
import * as virtualTimes from "./virtualTime.js";

/** How daemons learn what began a stream that a caller takes up. */
export enum StreamKnowledge {
  /** They take any endpoint of the service, whatever began the stream. */
  None = "none",
  /** By the only version of the service alone; no records are exchanged. */
  OnlyVersion = "only version",
  /** As served: by the only version, and by records that two daemons keep. */
  Records = "as served",
}

/** A fleet before a service whose endpoints are replaced by newer versions. */
export interface StreamScenario {
  readonly daemons: number;
  readonly dataCentres: number;
  /** Endpoints of the service at any time. */
  readonly endpoints: number;
  readonly streamsPerSecondEach: number;
  /** Number of versions of the endpoints' software that serve one after the other, and side by side. */
  readonly versions: number;
  /** Share of the daemons that are killed together, and share that is cut off from the key-value service together. */
  readonly killedShare: number;
  readonly cutShare: number;
  /** Time from one heartbeat of a daemon to the next, in milliseconds. */
  readonly heartbeatMs: number;
  readonly knowledge: StreamKnowledge;
}

/** Result of a replay. */
export interface StreamOutcome {
  readonly takenUp: number;
  /** Streams that went on at another version than the one that began them. */
  readonly mixed: number;
  /** Share of the streams that went on, of those taken up while an endpoint of their version served. */
  readonly goOnShare: number;
  /** Bytes that the busiest daemon sent and received for records and questions, a second. */
  readonly mostBytesPerSecond: number;
  /** Most records that a daemon kept. */
  readonly mostRecords: number;
}

const TIMEOUT_MS = 5_000;
const MS_PER_SECOND = 1_000;

/** Instants of a replay: a service with one version, then releases of further ones. */
const SCHEDULE = { callersFromMs: 13_000, releaseFromMs: 16_000, releaseEveryMs: 6_000, endMs: 33_000 };

/** Time over which a release replaces all endpoints, in milliseconds: the versions serve side by side. */
const RELEASE_MS = 9_000;

/** Time from a change in the key-value service until a daemon knows of it, in milliseconds. */
const LEARN_MS = { least: 5, most: 900 };

/** Time between two reads of a daemon, in milliseconds. */
const READ_MS = 700;

/** Peers whose heartbeats reach a daemon in one interval. */
const HEARD_PEERS = 6;

const FIRST_EVENT_MS = 60;
const STREAM_MS = { least: 500, most: 3_000 };

/** Share of the streams whose connection breaks. */
const BROKEN_SHARE = 0.15;

const KILL_EVERY_MS = 4_000;
const RESTART_MS = 700;
const CUT_EVERY_MS = 5_000;
const CUT_MS = 3_500;

/** Share of the datagrams that are lost. */
const LOST_SHARE = 0.05;

/** Bytes of a datagram with one record, and of a question with its answer, headers included. */
const RECORD_BYTES = 110;
const QUESTION_BYTES = 900;

const ROUTE: serving.Route = {
  name: "route",
  host: "host",
  pathPrefix: "/",
  requestClass: serving.RequestClass.Stream,
  resumable: true,
  carriesPrompt: false,
  timeoutMs: TIMEOUT_MS,
  objectiveMs: 300,
  pauseMs: 300,
  priority: 0,
  attempts: 2,
  isPublic: false,
  shares: [{ service: "service", weight: 1 }],
};

const CONFIGURATION: serving.Configuration = {
  version: 1,
  routes: [ROUTE],
  services: [],
  limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
};

const STREAM_PATH = { host: ROUTE.host, path: "/stream" };

/** One life of a daemon's process. */
interface Process {
  readonly versions: serving.SoftwareVersions;
  readonly routes: serving.RouteHistory;
  readonly knowledge: serving.OriginKnowledge;
  /** Endpoints that it knows as available. */
  readonly endpoints: Map<string, serving.Endpoint>;
  readonly openStreams: Set<Stream>;
}

interface Daemon extends serving.PossibleHolder {
  process: Process | undefined;
  /** Until when it doesn't reach the key-value service, in milliseconds. */
  cutUntil: number;
  bytes: number;
}

interface Stream {
  readonly attempt: string;
  /** The version that brought its first event, which no daemon is told by this. */
  readonly softwareVersion: string;
}

/** Replays streams that callers take up while versions change, by the decisions that serve. */
export class StreamReplay {
  readonly #scenario: StreamScenario;
  readonly #time = new virtualTimes.VirtualTime();
  readonly #random: common.SeededRandom;
  readonly #daemons: readonly Daemon[];
  /** Endpoints that serve. */
  readonly #serving = new Map<string, serving.Endpoint>();
  #streams = 0;
  #takenUp = 0;
  #mixed = 0;
  #mayGoOn = 0;
  #wentOn = 0;
  #mostRecords = 0;

  /**
   * @param scenario - the fleet, its endpoints and its troubles
   * @param seed - seed of the replay
   */
  constructor(scenario: StreamScenario, seed: number) {
    this.#scenario = scenario;
    this.#random = new common.SeededRandom(seed);
    this.#daemons = Array.from({ length: scenario.daemons }, (_, index) => ({
      vm: `vm-${index}`,
      dataCentre: `dc-${index % scenario.dataCentres}`,
      process: undefined,
      cutUntil: 0,
      bytes: 0,
    }));
  }

  /** @returns the outcome */
  run(): StreamOutcome {
    for (let index = 0; index < this.#scenario.endpoints; index++) this.#startEndpoint(`e${index}-1`, "v1");
    for (const daemon of this.#daemons) this.#startProcess(daemon);
    for (let version = 2; version <= this.#scenario.versions; version++) this.#scheduleRelease(version);
    for (const daemon of this.#daemons) this.#time.after(SCHEDULE.callersFromMs, () => this.#startCallers(daemon));
    this.#time.after(SCHEDULE.callersFromMs, () => this.#killSome());
    this.#time.after(SCHEDULE.callersFromMs, () => this.#cutSome());
    this.#time.run(SCHEDULE.endMs);
    const seconds = (SCHEDULE.endMs - SCHEDULE.callersFromMs) / MS_PER_SECOND;
    return {
      takenUp: this.#takenUp,
      mixed: this.#mixed,
      goOnShare: this.#wentOn / Math.max(1, this.#mayGoOn),
      mostBytesPerSecond: Math.max(...this.#daemons.map(({ bytes }) => bytes)) / seconds,
      mostRecords: this.#mostRecords,
    };
  }

  /** Replaces the endpoints one after the other, while the release before may still be under way. */
  #scheduleRelease(version: number): void {
    const { endpoints } = this.#scenario;
    const startMs = SCHEDULE.releaseFromMs + (version - 2) * SCHEDULE.releaseEveryMs;
    for (let index = 0; index < endpoints; index++) {
      this.#time.after(startMs + (index * RELEASE_MS) / endpoints, () => {
        this.#startEndpoint(`e${index}-${version}`, `v${version}`);
        this.#time.after(MS_PER_SECOND, () => this.#stopEndpoint(`e${index}-${version - 1}`));
      });
    }
  }

  #startEndpoint(id: string, softwareVersion: string): void {
    const endpoint: serving.Endpoint = {
      id,
      service: "service",
      address: id,
      dataCentre: "dc-0",
      slots: 64,
      role: serving.EngineRole.None,
      leaving: false,
      softwareVersion,
    };
    this.#serving.set(id, endpoint);
    this.#tellAll(({ endpoints, versions }) => {
      endpoints.set(id, endpoint);
      versions.notePresent(endpoint, this.#time.now);
    });
  }

  #stopEndpoint(id: string): void {
    this.#tellAll(({ endpoints }) => endpoints.delete(id));
    // It serves on for a while after it has said that it leaves.
    this.#time.after(2 * MS_PER_SECOND, () => {
      this.#serving.delete(id);
      this.#tellAll(({ versions }) => versions.noteGone(id, this.#time.now));
    });
  }

  /** Each daemon learns of a change in the key-value service at its own time; one that is cut off later. */
  #tellAll(learn: (process: Process) => void): void {
    for (const daemon of this.#daemons) {
      const { process } = daemon;
      if (process === undefined) continue;
      const cutMs = Math.max(0, daemon.cutUntil - this.#time.now);
      const learnMs = LEARN_MS.least + this.#random.next() * (LEARN_MS.most - LEARN_MS.least);
      this.#time.after(cutMs + learnMs, () => learn(process));
    }
  }

  #startProcess(daemon: Daemon): void {
    const { now } = this.#time;
    const versions = new serving.SoftwareVersions();
    versions.noteTimeout(TIMEOUT_MS);
    const routes = new serving.RouteHistory();
    routes.noteInForce(new serving.RouteTable(CONFIGURATION), now);
    // The configuration doesn't change here.
    const knowledge = new serving.OriginKnowledge({ versions, routes, freshness: { ageMs: () => 0 } });
    const process: Process = { versions, routes, knowledge, endpoints: new Map(this.#serving), openStreams: new Set() };
    for (const endpoint of this.#serving.values()) versions.notePresent(endpoint, now);
    versions.noteListed(now);
    daemon.process = process;
    this.#readOn(daemon, process);
    this.#hearOn(daemon, process);
  }

  /** What was begun before it reached the daemon's knowledge may have been learned meanwhile: the start of the read counts. */
  #readOn(daemon: Daemon, process: Process): void {
    const begunAt = this.#time.now;
    this.#time.after(READ_MS + LEARN_MS.most, () => {
      if (daemon.process !== process) return;
      if (daemon.cutUntil < begunAt) process.versions.noteFollowed(begunAt);
    });
    this.#time.after(READ_MS, () => {
      if (daemon.process === process) this.#readOn(daemon, process);
    });
  }

  #hearOn(daemon: Daemon, process: Process): void {
    this.#time.after(this.#scenario.heartbeatMs, () => {
      if (daemon.process !== process) return;
      const { now } = this.#time;
      for (let heard = 0; heard < HEARD_PEERS; heard++) {
        const peer = this.#pick(this.#daemons)?.process;
        if (peer === undefined) continue;
        process.routes.noteUnchanged(now - peer.routes.unchangedMs(now));
        const ageMs = peer.versions.ageMs(now);
        if (ageMs === undefined) continue;
        const { windowMs } = peer.versions;
        process.versions.notePeer({ digest: peer.versions.digest(now), at: now - ageMs, windowMs }, now);
      }
      this.#publish(daemon, process, process.knowledge.due(now));
      this.#mostRecords = Math.max(this.#mostRecords, process.knowledge.count);
      this.#hearOn(daemon, process);
    });
  }

  #startCallers(daemon: Daemon): void {
    this.#time.after(this.#random.exponential(MS_PER_SECOND / this.#scenario.streamsPerSecondEach), () => {
      if (daemon.process !== undefined) this.#beginStream(daemon, daemon.process);
      this.#startCallers(daemon);
    });
  }

  #beginStream(daemon: Daemon, process: Process): void {
    const startable = process.versions.selectSettled([...process.endpoints.values()], this.#time.now);
    const endpoint = this.#pick(startable.filter(({ id }) => this.#serving.has(id)));
    if (endpoint?.softwareVersion === undefined) return;
    const { softwareVersion } = endpoint;
    const attempt = common.sha256(`stream ${this.#streams++}`).slice(0, 16);
    const stream = { attempt, softwareVersion };
    this.#time.after(FIRST_EVENT_MS, () => {
      if (daemon.process !== process) return;
      const { now } = this.#time;
      const record = { attempt, origin: { service: endpoint.service, softwareVersion }, begunAt: now };
      process.knowledge.noteBegun(record, STREAM_PATH);
      if (process.knowledge.onlyOrigin(STREAM_PATH, now) === undefined) this.#publish(daemon, process, [record]);
      process.openStreams.add(stream);
      const lastsMs = STREAM_MS.least + this.#random.next() * (STREAM_MS.most - STREAM_MS.least);
      const isBroken = this.#random.next() < BROKEN_SHARE;
      this.#time.after(lastsMs, () => {
        if (!process.openStreams.delete(stream)) return;
        if (isBroken) this.#takeUp(stream);
        else process.knowledge.noteComplete(attempt);
      });
    });
  }

  #publish(daemon: Daemon, process: Process, records: readonly serving.StreamRecord[]): void {
    if (this.#scenario.knowledge !== StreamKnowledge.Records || records.length === 0) return;
    const others = this.#daemons.filter((each) => each !== daemon && each.process !== undefined);
    for (const record of records) {
      process.knowledge.notePublished(record.attempt);
      for (const vm of serving.holdersOf(record.attempt, others)) {
        const holder = this.#daemonOf(vm);
        this.#count(daemon, holder, RECORD_BYTES);
        if (this.#random.next() >= LOST_SHARE) this.#time.after(1, () => holder.process?.knowledge.merge(record));
      }
    }
  }

  #takeUp(stream: Stream): void {
    this.#time.after(10 + this.#random.next() * 60, () => {
      const daemon = this.#pick(this.#daemons.filter(({ process }) => process !== undefined));
      if (daemon?.process === undefined) return;
      this.#takenUp++;
      const { process } = daemon;
      const { now } = this.#time;
      const known = [...process.endpoints.values()].filter(({ id }) => this.#serving.has(id));
      const isLeft = known.some(({ softwareVersion }) => softwareVersion === stream.softwareVersion);
      if (isLeft) this.#mayGoOn++;
      const version = this.#versionFor(daemon, process, stream, known, now);
      if (version === undefined || !known.some(({ softwareVersion }) => softwareVersion === version)) return;
      if (version === stream.softwareVersion) this.#wentOn++;
      else this.#mixed++;
    });
  }

  /** The version at which a daemon lets a stream go on; undefined if it rejects the request. */
  #versionFor(
    daemon: Daemon,
    process: Process,
    { attempt }: Stream,
    known: readonly serving.Endpoint[],
    now: number,
  ): string | undefined {
    if (this.#scenario.knowledge === StreamKnowledge.None) return this.#pick(known)?.softwareVersion;
    const here = findIn(process, attempt, now);
    if (here !== undefined) return here;
    const others = this.#daemons.filter((each) => each !== daemon && each.process !== undefined);
    for (const round of serving.askedFor(attempt, others)) {
      for (const vm of round) {
        const peer = this.#daemonOf(vm);
        this.#count(daemon, peer, QUESTION_BYTES);
        const there = peer.process === undefined ? undefined : findIn(peer.process, attempt, now);
        if (there !== undefined) return there;
      }
    }
    return undefined;
  }

  #killSome(): void {
    for (const daemon of this.#daemons) {
      const { process } = daemon;
      if (process === undefined || this.#random.next() >= this.#scenario.killedShare) continue;
      daemon.process = undefined;
      for (const stream of process.openStreams) this.#takeUp(stream);
      process.openStreams.clear();
      this.#time.after(RESTART_MS, () => this.#startProcess(daemon));
    }
    this.#time.after(KILL_EVERY_MS, () => this.#killSome());
  }

  #cutSome(): void {
    for (const daemon of this.#daemons)
      if (this.#random.next() < this.#scenario.cutShare) daemon.cutUntil = this.#time.now + CUT_MS;
    this.#time.after(CUT_EVERY_MS, () => this.#cutSome());
  }

  #count(sender: Daemon, receiver: Daemon, bytes: number): void {
    sender.bytes += bytes;
    receiver.bytes += bytes;
  }

  #daemonOf(vm: string): Daemon {
    const daemon = this.#daemons[Number(vm.slice("vm-".length))];
    if (daemon === undefined) throw new Error(`there is no ${vm}`);
    return daemon;
  }

  #pick<T>(items: readonly T[]): T | undefined {
    return items[this.#random.integer(Math.max(1, items.length))];
  }
}

function findIn({ knowledge }: Process, attempt: string, now: number): string | undefined {
  return (knowledge.recorded(attempt, now) ?? knowledge.onlyOrigin(STREAM_PATH, now))?.softwareVersion;
}
