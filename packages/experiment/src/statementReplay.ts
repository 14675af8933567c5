import * as common from "@camphorcourse/common";
import * as serving from "@camphorcourse/serving";
import * as virtualTimes from "./virtualTime.js";

/** What daemons make of endpoints' statements that they leave or rest. */
export enum StatementReaction {
  Ignore = "ignored",
  /** Each daemon acts on the answers that it gets itself; after a rest it sends as before it. */
  OwnAnswers = "own answers",
  /** As served: daemons tell their peers which endpoints leave, and try endpoints after a rest one request at a time. */
  Served = "as served",
}

/** A fleet before endpoints of which some leave and some rest. */
export interface StatementScenario {
  readonly daemons: number;
  readonly endpoints: number;
  readonly requestsPerSecondEach: number;
  /** Time until a statement that a daemon has got is known to its peers, in milliseconds. */
  readonly heartbeatMs: number;
  /** Share of the endpoints that leave, and share that turn everything away for a while. */
  readonly leavingShare: number;
  readonly restingShare: number;
  readonly reaction: StatementReaction;
}

/** Result of a replay. */
export interface StatementOutcome {
  /** Most requests of one daemon to an endpoint later than {@link TOLD_MS} after an answer that said that it leaves. */
  readonly sentToLeaving: number;
  /** Requests to endpoints that leave, in multiples of the endpoints. */
  readonly requestsEachLeaving: number;
  /** Most requests of one daemon to one endpoint within a rest. */
  readonly sentInRest: number;
  /** Most requests that one endpoint got in 100 ms while it recovered, in multiples of its usual rate. */
  readonly worstReturn: number;
  /** Share of the requests that were served while endpoints rested or recovered. */
  readonly servedShare: number;
}

/** Time from an answer until its daemon must act on it, in milliseconds. */
const TOLD_MS = 500;

const STATED = { fromMs: 2_000, untilMs: 3_000, endMs: 9_000 };
const REST_MS = 3_000;

/** Time for an answer, and for a refusal, in milliseconds. */
const ANSWER_MS = { served: 100, refused: 5 };

/** Endpoints that one request is sent to at most. */
const MAX_ENDPOINTS = 3;

/** Length of the windows in which returning requests are counted, in milliseconds. */
const RETURN_WINDOW_MS = 100;

const MS_PER_SECOND = 1_000;

interface Daemon {
  readonly directory: serving.EndpointDirectory;
  readonly rests: serving.RestTable;
  /** When an answer told it that an endpoint leaves, in milliseconds. */
  readonly toldAt: Map<string, number>;
  readonly restFrom: Map<string, number>;
  readonly sentToLeaving: Map<string, number>;
  readonly sentInRest: Map<string, number>;
}

/** Replays endpoints that leave or rest, by the decisions that serve. */
export class StatementReplay {
  readonly #scenario: StatementScenario;
  readonly #time = new virtualTimes.VirtualTime();
  readonly #random: common.SeededRandom;
  readonly #endpoints: readonly serving.Endpoint[];
  readonly #indices: ReadonlyMap<string, number>;
  readonly #daemons: readonly Daemon[];
  readonly #returned = new Map<string, number[]>();
  #sentToLeaving = 0;
  #tries = 0;
  #served = 0;

  /**
   * @param scenario - the fleet, its endpoints and the reaction
   * @param seed - seed of the replay
   */
  constructor(scenario: StatementScenario, seed: number) {
    this.#scenario = scenario;
    this.#random = new common.SeededRandom(seed);
    this.#endpoints = Array.from({ length: scenario.endpoints }, (_, index) => createEndpoint(index));
    this.#indices = new Map(this.#endpoints.map(({ id }, index) => [id, index]));
    this.#daemons = Array.from({ length: scenario.daemons }, () => this.#createDaemon());
  }

  /** @returns the outcome */
  run(): StatementOutcome {
    for (const daemon of this.#daemons) this.#startCallers(daemon);
    this.#time.run(STATED.endMs);
    const { daemons, endpoints, leavingShare, requestsPerSecondEach } = this.#scenario;
    const usualInWindow = (daemons * requestsPerSecondEach * RETURN_WINDOW_MS) / MS_PER_SECOND / endpoints;
    const most = (countsOf: (daemon: Daemon) => Map<string, number>): number =>
      Math.max(0, ...this.#daemons.map((daemon) => Math.max(0, ...countsOf(daemon).values())));
    return {
      sentToLeaving: most((daemon) => daemon.sentToLeaving),
      requestsEachLeaving: this.#sentToLeaving / Math.max(1, Math.round(leavingShare * endpoints)),
      sentInRest: most((daemon) => daemon.sentInRest),
      worstReturn: Math.max(0, ...[...this.#returned.values()].map(mostInWindow)) / Math.max(1, usualInWindow),
      servedShare: this.#served / Math.max(1, this.#tries),
    };
  }

  #createDaemon(): Daemon {
    const directory = new serving.EndpointDirectory();
    for (const [index, endpoint] of this.#endpoints.entries()) directory.put(endpoint, index + 1);
    return {
      directory,
      rests: new serving.RestTable(),
      toldAt: new Map(),
      restFrom: new Map(),
      sentToLeaving: new Map(),
      sentInRest: new Map(),
    };
  }

  #startCallers(daemon: Daemon): void {
    this.#time.after(this.#random.exponential(MS_PER_SECOND / this.#scenario.requestsPerSecondEach), () => {
      if (this.#time.now >= STATED.fromMs) this.#tries++;
      this.#send(daemon, new Set());
      this.#startCallers(daemon);
    });
  }

  #send(daemon: Daemon, tried: Set<string>): void {
    const endpoint = this.#choose(daemon, tried);
    if (endpoint === undefined) return;
    tried.add(endpoint.id);
    const { now } = this.#time;
    daemon.rests.noteSent(endpoint, now);
    this.#count(daemon, endpoint, now);
    const index = this.#indexOf(endpoint);
    const isRefused = this.#isResting(index) && now >= STATED.fromMs && now < STATED.untilMs;
    this.#time.after(isRefused ? ANSWER_MS.refused : ANSWER_MS.served, () => {
      if (this.#isLeaving(index) && now >= STATED.fromMs) this.#noteLeaving(daemon, endpoint);
      if (isRefused) {
        this.#noteRest(daemon, endpoint);
        if (tried.size < MAX_ENDPOINTS) this.#send(daemon, tried);
        return;
      }
      if (now >= STATED.fromMs) this.#served++;
      daemon.rests.noteTaken(endpoint, now);
    });
  }

  /** The first endpoint, from a random one on, that may get the request. */
  #choose(daemon: Daemon, tried: ReadonlySet<string>): serving.Endpoint | undefined {
    const { now } = this.#time;
    const { length } = this.#endpoints;
    const first = this.#random.integer(length);
    for (let step = 0; step < length; step++) {
      const endpoint = this.#endpoints[(first + step) % length];
      if (endpoint === undefined || tried.has(endpoint.id)) continue;
      if (this.#scenario.reaction === StatementReaction.Ignore) return endpoint;
      if (!daemon.directory.isAvailable(endpoint.id)) continue;
      const isServed = this.#scenario.reaction === StatementReaction.Served;
      const isHeld = isServed ? daemon.rests.waitMs(endpoint, now) > 0 : daemon.rests.isResting(endpoint, now);
      if (!isHeld) return endpoint;
    }
    return undefined;
  }

  #count(daemon: Daemon, endpoint: serving.Endpoint, now: number): void {
    const index = this.#indexOf(endpoint);
    if (this.#isLeaving(index) && now >= STATED.fromMs) this.#sentToLeaving++;
    if (now >= (daemon.toldAt.get(endpoint.id) ?? Infinity) + TOLD_MS) increment(daemon.sentToLeaving, endpoint.id);
    const restFrom = daemon.restFrom.get(endpoint.id) ?? Infinity;
    if (now >= restFrom + TOLD_MS && now < restFrom + REST_MS) increment(daemon.sentInRest, endpoint.id);
    if (this.#isResting(index) && now >= STATED.untilMs) this.#returnedTo(endpoint).push(now);
  }

  #returnedTo({ id }: serving.Endpoint): number[] {
    const returned = this.#returned.get(id) ?? [];
    this.#returned.set(id, returned);
    return returned;
  }

  #noteLeaving(daemon: Daemon, endpoint: serving.Endpoint): void {
    const { now } = this.#time;
    if (!daemon.toldAt.has(endpoint.id)) daemon.toldAt.set(endpoint.id, now);
    if (this.#scenario.reaction === StatementReaction.Ignore) return;
    if (daemon.directory.markLeaving(endpoint) === undefined) return;
    if (this.#scenario.reaction !== StatementReaction.Served) return;
    this.#time.after(this.#scenario.heartbeatMs, () => {
      for (const peer of this.#daemons) peer.directory.markReportedLeaving(endpoint.id, endpoint.bornAt);
    });
  }

  #noteRest(daemon: Daemon, endpoint: serving.Endpoint): void {
    const { now } = this.#time;
    if (!daemon.restFrom.has(endpoint.id)) daemon.restFrom.set(endpoint.id, now);
    if (this.#scenario.reaction !== StatementReaction.Ignore)
      daemon.rests.note(endpoint, REST_MS, now, this.#random.next());
  }

  #indexOf({ id }: serving.Endpoint): number {
    return this.#indices.get(id) ?? 0;
  }

  #isLeaving(index: number): boolean {
    return index < Math.round(this.#scenario.leavingShare * this.#scenario.endpoints);
  }

  #isResting(index: number): boolean {
    return index >= Math.round((1 - this.#scenario.restingShare) * this.#scenario.endpoints);
  }
}

function createEndpoint(index: number): serving.Endpoint {
  const role = serving.EngineRole.None;
  return {
    id: `e${index}`,
    service: "service",
    address: `e${index}:1`,
    dataCentre: "dc",
    slots: 8,
    role,
    leaving: false,
    bornAt: 1,
  };
}

function increment(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}

function mostInWindow(arrivals: readonly number[]): number {
  let most = 0;
  let first = 0;
  for (const [index, at] of arrivals.entries()) {
    while ((arrivals[first] ?? at) <= at - RETURN_WINDOW_MS) first++;
    most = Math.max(most, index - first + 1);
  }
  return most;
}
