import * as common from "@camphorcourse/common";
import * as serving from "@camphorcourse/serving";
import * as emulatedEngines from "./emulatedEngine.js";
import * as virtualTimes from "./virtualTime.js";
import * as workSums from "./workSums.js";

/** Requests of one organisation. */
export interface OrganisationLoad {
  readonly name: string;
  /** Priority of its requests, if it has one. */
  readonly priority?: number | undefined;
  readonly perSecond: number;
  /** Tokens of a prompt beside the part that all prompts of the organisation share. */
  readonly promptTokens: number;
}

/** By what prompts are admitted. */
export enum AdmittedBy {
  /** By size alone, as without organisations. */
  Size = "size",
  Share = "share",
}

/** A fleet of daemons before engines with too little capacity. */
export interface FairnessScenario {
  readonly daemons: number;
  readonly engines: number;
  readonly admittedBy: AdmittedBy;
  readonly organisations: readonly OrganisationLoad[];
  /** Priorities that organisations have from some time on, by name. */
  readonly reranked?: { readonly atMs: number; readonly priorities: ReadonlyMap<string, number> };
  /** Time during which no request is taken; all callers return at its end. */
  readonly outage?: { readonly fromMs: number; readonly untilMs: number };
  /** Instant at which the first daemon dies with all that it counts. */
  readonly dieAtMs?: number;
  /** Times that a caller returns after a rejection. */
  readonly returns: number;
  readonly forMs: number;
}

/** What became of the requests of one organisation. */
export interface ServedCounts {
  asked: number;
  served: number;
  /** Requests that were rejected at every attempt. */
  rejected: number;
}

/** Result of a replay; requests count by the second in which they were first sent. */
export interface FairnessResult {
  /** @returns what became of an organisation's requests that were first sent within a time, in milliseconds */
  countsOf(organisations: readonly string[], fromMs: number, untilMs: number): ServedCounts;
  /** Sessions that were accepted first. */
  readonly promoted: number;
}

const OBJECTIVE_MS = 400;
const PAUSE_MS = 250;
const DEADLINE_MS = 10_000;
const MS_PER_SECOND = 1_000;
const NETWORK_MS = 3;
const TRAINING_SAMPLES = 400;
const SERVICE = "chat";
const ROUTE_PRIORITY = 5;
const EVENTS = 3;
const OUTPUT_TOKENS = 30;

/** What the names of parts begin with that belong to one session. */
const SESSION_PREFIX = "session-";

/** Tokens that the prompts of an organisation share; they spread the organisations over the engines. */
const SHARED_TOKENS = 500;

/** Shortest time between two reports of shares, as in the gateway, in milliseconds. */
const REPORT_INTERVAL_MS = 500;

/** Age of the work in progress at peers, in milliseconds: the interval of heartbeats among 9 daemons. */
const WORK_EXCHANGE_MS = 48;

/** Range of the time after which a caller that found nobody tries again, in milliseconds. */
const RECONNECT_MS = 300;

/** Performance of an engine. */
export const FAIRNESS_ENGINES = {
  count: 1,
  prefill: 0,
  slots: 64,
  memoryTokens: 400_000,
  fixedMs: 5,
  tokensPerMs: 60,
  pairsMsPerMillion: 0,
  decodeReadingMultiple: 1,
  pauseReadingMultiple: 1,
  pauseMs: 20,
  pausePerStreamMs: 0,
  copyMsPerThousand: 1,
  changeMs: 1,
};

interface Daemon {
  readonly vm: string;
  readonly loads: serving.EngineLoadTracker;
  readonly acceptance: serving.AcceptanceTracker;
  readonly order: serving.OrganisationOrder;
  up: boolean;
}

interface Caller {
  readonly load: OrganisationLoad;
  readonly session: bigint;
  readonly startedAt: number;
  rejections: number;
  hasEnded: boolean;
}

/** Replays the decisions by which a fleet divides engines that have too little capacity. */
export class FairnessReplay implements FairnessResult {
  readonly #scenario: FairnessScenario;
  readonly #random: common.SeededRandom;
  readonly #time = new virtualTimes.VirtualTime();
  readonly #engines: ReadonlyMap<string, emulatedEngines.EmulatedEngine>;
  readonly #endpoints: readonly serving.Endpoint[];
  readonly #speeds = new serving.EngineSpeeds();
  readonly #daemons: readonly Daemon[];
  readonly #counts = new Map<string, ServedCounts>();
  readonly #heartbeatMs: number;
  #reportedAt = Number.NEGATIVE_INFINITY;
  #sessions = 0n;
  #promoted = 0;

  /**
   * @param scenario - fleet and load
   * @param seed - equal seeds replay the same events
   */
  constructor(scenario: FairnessScenario, seed: number) {
    this.#scenario = scenario;
    this.#random = new common.SeededRandom(seed);
    const { Decode } = serving.EngineRole;
    const ids = Array.from({ length: scenario.engines }, (_, index) => `e${index}`);
    const parts = new Set<string>();
    this.#engines = new Map(
      ids.map((id) => [id, new emulatedEngines.EmulatedEngine(id, Decode, this.#time, FAIRNESS_ENGINES, parts)]),
    );
    const { slots } = FAIRNESS_ENGINES;
    const shared = { service: SERVICE, dataCentre: "a", slots, role: Decode, leaving: false };
    this.#endpoints = ids.map((id) => ({ id, address: `${id}:1`, ...shared }));
    this.#daemons = Array.from({ length: scenario.daemons }, (_, index) => {
      const acceptance = new serving.AcceptanceTracker();
      const order = new serving.OrganisationOrder(acceptance);
      return { vm: `vm-${index}`, loads: new serving.EngineLoadTracker(), acceptance, order, up: true };
    });
    this.#heartbeatMs = serving.heartbeatIntervalMs(scenario.daemons - 1);
    this.#learnSpeeds();
  }

  /** {@inheritDoc FairnessResult.promoted} */
  get promoted(): number {
    return this.#promoted;
  }

  /** {@inheritDoc FairnessResult.countsOf} */
  countsOf(organisations: readonly string[], fromMs: number, untilMs: number): ServedCounts {
    const sum: ServedCounts = { asked: 0, served: 0, rejected: 0 };
    for (const name of organisations)
      for (let second = fromMs / MS_PER_SECOND; second < untilMs / MS_PER_SECOND; second++) {
        const counts = this.#counts.get(`${name} ${second}`);
        sum.asked += counts?.asked ?? 0;
        sum.served += counts?.served ?? 0;
        sum.rejected += counts?.rejected ?? 0;
      }
    return sum;
  }

  /** @returns the result */
  run(): FairnessResult {
    const { organisations, reranked, dieAtMs, forMs } = this.#scenario;
    this.#configure(
      new Map(organisations.flatMap(({ name, priority }) => (priority === undefined ? [] : [[name, priority]]))),
    );
    for (const load of organisations) this.#scheduleRequest(load);
    this.#exchangeWork();
    this.#exchangeCounts();
    if (reranked !== undefined) this.#time.after(reranked.atMs, () => this.#configure(reranked.priorities));
    if (dieAtMs !== undefined)
      this.#time.after(dieAtMs, () => {
        for (const daemon of this.#daemons.slice(0, 1)) daemon.up = false;
      });
    this.#time.run(forMs + DEADLINE_MS);
    return this;
  }

  #learnSpeeds(): void {
    const { Prefill, Decode } = serving.EngineRole;
    for (let index = 0; index < TRAINING_SAMPLES; index++) {
      const unreadTokens = 100 + 37 * (index % 300);
      const tookMs = FAIRNESS_ENGINES.fixedMs + unreadTokens / FAIRNESS_ENGINES.tokensPerMs + 2 * NETWORK_MS;
      const observation = { unreadTokens, cachedTokens: 0, tokensWaiting: 0, streams: 0, tookMs };
      for (const role of [Prefill, Decode]) this.#speeds.learnPrefill(role, observation);
      this.#speeds.learnPause(index % 20, FAIRNESS_ENGINES.pauseMs);
    }
  }

  #configure(priorities: ReadonlyMap<string, number>): void {
    if (this.#scenario.admittedBy === AdmittedBy.Size) return;
    const organisations = this.#scenario.organisations.map(({ name }) => ({
      name,
      keyDigests: [],
      priority: priorities.get(name),
    }));
    const route = {
      name: SERVICE,
      shares: [{ service: SERVICE, weight: 1 }],
      priority: ROUTE_PRIORITY,
      isPublic: false,
    };
    const services = [{ name: SERVICE, maxConnections: 1, engine: undefined }];
    const configuration = { version: 1, routes: [route], services, organisations } as unknown as serving.Configuration;
    const ranks = new serving.RankOrder(configuration);
    for (const { order } of this.#daemons) order.configure(ranks);
  }

  #scheduleRequest(load: OrganisationLoad): void {
    this.#time.after(this.#random.exponential(MS_PER_SECOND / load.perSecond), () => {
      if (this.#time.now >= this.#scenario.forMs) return;
      const caller = { load, session: this.#sessions++, startedAt: this.#time.now, rejections: 0, hasEnded: false };
      this.#count(caller, "asked");
      this.#send(caller);
      this.#scheduleRequest(load);
    });
  }

  #count({ load, startedAt }: Caller, which: keyof ServedCounts): void {
    const key = `${load.name} ${Math.floor(startedAt / MS_PER_SECOND)}`;
    const counts = this.#counts.get(key) ?? { asked: 0, served: 0, rejected: 0 };
    counts[which]++;
    this.#counts.set(key, counts);
  }

  /** Sends a request to any daemon; during an outage, callers wait for its end and then all return within a moment. */
  #send(caller: Caller): void {
    const { outage } = this.#scenario;
    const { now } = this.#time;
    if (outage !== undefined && now >= outage.fromMs && now < outage.untilMs) {
      this.#time.after(outage.untilMs - now + this.#random.next() * RECONNECT_MS, () => this.#send(caller));
      return;
    }
    const daemon = this.#daemons[this.#random.integer(this.#daemons.length)];
    if (daemon?.up === true) this.#serve(daemon, caller);
    else this.#time.after(this.#random.next() * RECONNECT_MS, () => this.#send(caller));
  }

  #serve(daemon: Daemon, caller: Caller): void {
    const { load, session } = caller;
    const { now } = this.#time;
    const own = { id: `${SESSION_PREFIX}${session}`, tokens: load.promptTokens };
    const parts = [{ id: load.name, tokens: SHARED_TOKENS }, own];
    const prompt = {
      model: "m",
      parts,
      promptTokens: SHARED_TOKENS + load.promptTokens,
      outputTokens: OUTPUT_TOKENS,
    };
    const placement: serving.PlacementInputs = {
      prompt,
      engines: this.#endpoints,
      loads: daemon.loads,
      memoryTokens: FAIRNESS_ENGINES.memoryTokens,
      speeds: this.#speeds,
      slowness: () => 1,
      isLimited: () => false,
      dataCentre: "a",
      maxPauseMs: PAUSE_MS,
      objectiveMs: OBJECTIVE_MS,
      siteRule: serving.PREFILL_SITE_RULE,
      now,
    };
    const plan = serving.placePrompt(placement);
    if (plan === undefined) return;
    const limits: serving.PromptLimits = {
      kind: SERVICE,
      isLearned: true,
      callerTimeoutMs: serving.streamCallerTimeoutMs(OBJECTIVE_MS, PAUSE_MS),
      remainingMs: caller.startedAt + DEADLINE_MS - now,
      draw: this.#random.next(),
    };
    const admitted = this.#admit(daemon, caller, plan, placement, limits);
    if (admitted.isErr()) this.#reject(caller, admitted.error);
    else this.#prefill(daemon, caller, admitted.value, prompt);
  }

  #admit(
    daemon: Daemon,
    { load, session }: Caller,
    plan: serving.EnginePlan,
    placement: serving.PlacementInputs,
    limits: serving.PromptLimits,
  ): ReturnType<typeof serving.admitPrompt> {
    const { acceptance, order } = daemon;
    const { now, prompt } = placement;
    const route = { priority: ROUTE_PRIORITY };
    const asking = { service: SERVICE, route, organisation: load.name, session };
    const engineMs = serving.predictedEngineMs(plan, EVENTS, this.#speeds);
    const standing = order.standingOf(asking, now);
    if (standing === undefined) {
      const admitted = serving.admitPrompt(plan, placement, limits, acceptance);
      const isAccepted = admitted.isOk();
      order.noteDecision(asking, { isAccepted, isShort: !isAccepted, isPromoted: false, engineMs }, now);
      return admitted;
    }
    const { admitted, isShort, isPromoted } = serving.admitByShare(plan, placement, limits, standing, acceptance);
    const isAccepted = admitted.isOk();
    if (isPromoted) this.#promoted++;
    acceptance.noteDecision(limits.kind, prompt.promptTokens, isAccepted, now);
    order.noteDecision(asking, { isAccepted, isShort, isPromoted, engineMs }, now);
    return admitted;
  }

  #reject(caller: Caller, { retryAfterMs }: serving.Rejection): void {
    if (caller.rejections++ >= this.#scenario.returns) this.#count(caller, "rejected");
    else this.#time.after(retryAfterMs, () => this.#send(caller));
  }

  #prefill(daemon: Daemon, caller: Caller, plan: serving.EnginePlan, prompt: serving.Prompt): void {
    const { id } = plan.decodeEngine;
    const engine = this.#engines.get(id);
    if (engine === undefined) return;
    const { loads } = daemon;
    loads.noteCachedPrompt(id, FAIRNESS_ENGINES.memoryTokens, prompt);
    const pending = loads.beginPrefill(id, plan.workTokens, plan.urgency);
    loads.beginRequest(id);
    const finish = (): void => {
      loads.endPrefill(pending);
      loads.endRequest(id);
    };
    const onPrefilled = (): void => {
      loads.endPrefill(pending);
      loads.noteCachedPrompt(id, FAIRNESS_ENGINES.memoryTokens, prompt, true);
      if (caller.hasEnded) {
        loads.endRequest(id);
        return;
      }
      caller.hasEnded = true;
      this.#count(caller, "served");
      engine.stream({ events: EVENTS, onEvent: () => undefined, onEnd: () => loads.endRequest(id) });
    };
    const job = { prompt, urgency: plan.urgency, copySource: undefined, onPrefilled };
    this.#time.after(NETWORK_MS, () => engine.prefill(job));
    this.#time.after(serving.streamCallerTimeoutMs(OBJECTIVE_MS, PAUSE_MS), () => {
      if (caller.hasEnded) return;
      caller.hasEnded = true;
      if (engine.cancel(job)) finish();
    });
  }

  /**
   * Shares the work in progress. Its age is the same in all fleets: what differs between them is how old the counts and the
   * sessions are, and views of the work that are older make all daemons choose the same engine.
   */
  #exchangeWork(): void {
    const { now } = this.#time;
    const up = this.#daemons.filter((daemon) => daemon.up);
    const works = up.map(({ loads }) => loads.ownWork());
    const total = workSums.sumOfWork(works);
    for (const [receiver, { loads }] of up.entries()) {
      // One report for all peers is the same as one of each, and many times cheaper.
      const own = works[receiver] ?? new Map<string, serving.EndpointWork>();
      loads.updatePeerWork("peers", workSums.subtractWork(total, own), now);
    }
    if (now < this.#scenario.forMs + DEADLINE_MS) this.#time.after(WORK_EXCHANGE_MS, () => this.#exchangeWork());
  }

  /** Sends all daemons' counts and rejected sessions to all others, at the interval of their heartbeats. */
  #exchangeCounts(): void {
    const { now } = this.#time;
    const isReportDue = now - this.#reportedAt >= REPORT_INTERVAL_MS;
    if (isReportDue) this.#reportedAt = now;
    const up = this.#daemons.filter((daemon) => daemon.up);
    const updates = up.map(({ vm, acceptance, order }) => ({
      vm,
      sizes: acceptance.takeUnsentCounts(),
      report: isReportDue && order.isConfigured ? order.shares.report(now) : undefined,
      sessions: order.isConfigured ? order.sessions.takeUnsent(now) : [],
    }));
    const reads = new Map<string, serving.PartRead>();
    for (const { loads } of up)
      for (const read of loads.takeUnsentReads())
        if (!read.part.id.startsWith(SESSION_PREFIX)) reads.set(`${read.endpointId} ${read.part.id}`, read);
    for (const { loads } of up) for (const read of reads.values()) loads.notePeerRead(read);
    for (const { vm, acceptance, order } of up)
      for (const { vm: sender, sizes, report, sessions } of updates) {
        if (sender === vm) continue;
        for (const count of sizes) acceptance.addPeerCount(count, now);
        if (report !== undefined) order.shares.updatePeer(sender, report, now);
        for (const session of sessions) order.sessions.merge(session, now);
      }
    if (now < this.#scenario.forMs) this.#time.after(this.#heartbeatMs, () => this.#exchangeCounts());
  }
}
