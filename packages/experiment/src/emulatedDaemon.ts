import * as common from "@camphorcourse/common";
import * as serving from "@camphorcourse/serving";
import type * as descriptions from "./description.js";
import * as emulatedCallers from "./emulatedCaller.js";
import type * as emulatedEngines from "./emulatedEngine.js";
import * as emulatedPacings from "./emulatedPacing.js";
import type * as loads from "./load.js";
import * as lengths from "./lengths.js";
import * as outcomes from "./outcome.js";
import * as regionsModule from "./regions.js";
import type * as virtualTimes from "./virtualTime.js";

/** The emulated fleet as daemons see it, without delay. */
export interface Fleet {
  readonly engines: readonly emulatedEngines.EmulatedEngine[];
  /** @returns the engines as endpoints with their current roles, without those that are changing role */
  endpoints(): serving.Endpoint[];
}

/** Constructor arguments of an emulated daemon. */
export interface DaemonParts {
  readonly description: descriptions.Description;
  readonly time: virtualTimes.VirtualTime;
  readonly fleet: Fleet;
  readonly statistics: outcomes.OutcomeStatistics;
  readonly regions: regionsModule.EmulatedRegions;
  /** @param caller - a caller whose request was rejected and that retries it at any daemon */
  readonly retry: (caller: emulatedCallers.EmulatedCaller) => void;
}

/** Maximum retry delay that callers accept, as a share of the time until their deadline. */
const MAX_RETRY_DELAY_SHARE = 1 / 3;

/** Number of samples from which a daemon learns the engines' parameters accurately. */
const TRAINING_SAMPLES = 2_000;

const { NETWORK_DELAY_MS } = regionsModule;

/** A daemon that runs the production decision code in virtual time. */
export class EmulatedDaemon {
  readonly name: string;
  readonly loads = new serving.EngineLoadTracker();
  readonly speeds = new serving.EngineSpeeds();
  readonly demand = new serving.Demand();
  readonly acceptance = new serving.AcceptanceTracker();
  readonly limitTable = new serving.LimitTable();
  readonly pacing: emulatedPacings.EmulatedPacing;
  readonly dataCentre: string;
  readonly distances: serving.DistanceModel | undefined;
  readonly meter: serving.DistanceMeter | undefined;
  /** Prompts that were sent to engines, and those of them that stayed in the daemon's region. */
  readonly sent = { all: 0, ownRegion: 0 };
  readonly #hotParts: serving.HotParts | undefined;
  readonly #health = new serving.EndpointHealth();
  readonly #enforcer: serving.LimitEnforcer;
  readonly #parts: DaemonParts;
  readonly #random: common.SeededRandom;
  readonly #readRandom: common.SeededRandom;

  /**
   * @param name - unique name of the daemon
   * @param parts - its dependencies
   * @param seed - seed of its random numbers
   * @param dataCentre - its data centre
   */
  constructor(name: string, parts: DaemonParts, seed: number, dataCentre = "a") {
    this.name = name;
    this.dataCentre = dataCentre;
    this.distances = parts.regions.distancesAt(dataCentre);
    this.meter = this.distances && new serving.DistanceMeter(name, this.distances);
    this.#hotParts = this.distances && new serving.HotParts();
    this.#parts = parts;
    this.pacing = new emulatedPacings.EmulatedPacing({ ...parts, loads: this.loads, speeds: this.speeds });
    this.#random = new common.SeededRandom(seed);
    this.#readRandom = new common.SeededRandom(seed);
    const daemons = Array.from({ length: parts.description.daemons }, (_, index) => `daemon-${index}`);
    this.#enforcer = new serving.LimitEnforcer({
      table: this.limitTable,
      division: serving.LIMIT_DIVISION,
      own: name,
      senders: () => daemons,
      unixMs: () => parts.time.now,
    });
  }

  /** Trains the speed estimates with the engines' true parameters, as if the daemon had served for long. */
  learnEngineParameters(): void {
    const { engines } = this.#parts.description;
    for (const role of [serving.EngineRole.Prefill, serving.EngineRole.Decode]) {
      const multiple = role === serving.EngineRole.Prefill ? 1 : engines.decodeReadingMultiple;
      for (let index = 0; index < TRAINING_SAMPLES; index++) {
        const unreadTokens = 100 + 37 * (index % 400);
        const cachedTokens = 211 * (index % 50);
        const pairs = (unreadTokens * (cachedTokens + unreadTokens / 2)) / 1e6;
        const prefillMs = unreadTokens / engines.tokensPerMs + pairs * engines.pairsMsPerMillion;
        const tookMs = engines.fixedMs + prefillMs * multiple + 2 * NETWORK_DELAY_MS;
        this.speeds.learnPrefill(role, {
          unreadTokens,
          cachedTokens,
          tokensWaiting: 0,
          streams: 0,
          tookMs,
        });
      }
    }
    for (let index = 0; index < TRAINING_SAMPLES; index++) {
      const tokens = 100 * (index % 200);
      this.speeds.learnHandover(tokens, (tokens / 1_000) * engines.copyMsPerThousand + 2 * NETWORK_DELAY_MS);
      this.speeds.learnPause(index % 40, engines.pauseMs + engines.pausePerStreamMs * (index % 40));
    }
  }

  /**
   * Receives a new request.
   *
   * @param request - the request
   */
  receive(request: loads.LoadRequest): void {
    const { time, statistics } = this.#parts;
    this.#read(new emulatedCallers.EmulatedCaller(request, time, statistics));
  }

  /**
   * Receives a request that its caller sends again after a rejection.
   *
   * @param caller - its caller
   */
  receiveAgain(caller: emulatedCallers.EmulatedCaller): void {
    caller.startRetry();
    this.#read(caller);
  }

  /** Serves a request once it has been read, which takes a small VM longer than the network does. */
  #read(caller: emulatedCallers.EmulatedCaller): void {
    const { description, time } = this.#parts;
    if (description.readDelayMs === undefined) this.serve(caller);
    else
      time.after(
        lengths.drawLength(this.#readRandom, description.readDelayMs),
        () => caller.hasEnded || this.serve(caller),
      );
  }

  /**
   * Chooses engines for a request and sends it to them, or rejects it.
   *
   * @param caller - caller of the new or retried request
   */
  serve(caller: emulatedCallers.EmulatedCaller): void {
    const { request } = caller;
    const { kind } = request;
    const { ready, limited } = this.#selectReady();
    const placement = this.#placementInputs(request, ready);
    const draw = placement.distances === undefined ? 0 : this.#random.next();
    const plan = serving.placePromptByRegion(placement, draw);
    if (plan === undefined) {
      this.#waitOrReject(caller, limited);
      return;
    }
    const limits = {
      kind: kind.name,
      isLearned: this.speeds.isLearned((plan.prefillEngine ?? plan.decodeEngine).role),
      callerTimeoutMs: serving.streamCallerTimeoutMs(kind.objectiveMs, kind.pauseMs),
      remainingMs: caller.remainingMs,
      draw: this.#random.next(),
    };
    const prefillMs = this.speeds.prefillMs(serving.EngineRole.Prefill, plan.workTokens);
    this.demand.add(prefillMs, request.prompt, this.#parts.time.now);
    const admitted = serving.admitPrompt(plan, placement, limits, this.acceptance);
    if (admitted.isOk()) this.#prefill(request, admitted.value, caller);
    else this.#reject(caller, admitted.error);
  }

  /** The request waits for an engine whose limit lets it through, or is rejected. */
  #waitOrReject(caller: emulatedCallers.EmulatedCaller, limited: serving.LimitedEndpoints | undefined): void {
    const { time } = this.#parts;
    const { kind } = caller.request;
    if (limited === undefined) {
      caller.end(outcomes.RequestOutcome.Refused);
      return;
    }
    const route = { requestClass: serving.RequestClass.Stream, ...kind };
    const elapsedMs = kind.deadlineMs - caller.remainingMs;
    const maxWaitMs = serving.longestLimitedWaitMs(route, caller.remainingMs, elapsedMs);
    const decision = serving.decideLimitedWait({ ...limited, ahead: 0, maxWaitMs, draw: this.#random.next() });
    if (decision.isErr()) this.#reject(caller, decision.error);
    else time.after(Math.max(1, decision.value), () => caller.hasEnded || this.serve(caller));
  }

  #reject(caller: emulatedCallers.EmulatedCaller, rejection: serving.Rejection): void {
    const { retry, time } = this.#parts;
    const { retryAfterMs } = rejection;
    if (!caller.mayRetry || retryAfterMs > caller.remainingMs * MAX_RETRY_DELAY_SHARE) {
      caller.end(outcomes.RequestOutcome.Refused);
      return;
    }
    caller.noteRejection();
    time.after(retryAfterMs, () => retry(caller));
  }

  #prefill(request: loads.LoadRequest, plan: serving.EnginePlan, caller: emulatedCallers.EmulatedCaller): void {
    const { time, description } = this.#parts;
    const { prompt } = request;
    const endpoint = plan.prefillEngine ?? plan.decodeEngine;
    const engine = this.#engine(endpoint.id);
    const { memoryTokens } = description.engines;
    this.loads.noteCachedPrompt(endpoint.id, memoryTokens, prompt);
    const pending = this.loads.beginPrefill(endpoint.id, plan.workTokens, plan.urgency);
    this.pacing.noteSend(endpoint, pending);
    this.loads.beginRequest(endpoint.id);
    this.#enforcer.noteSent(endpoint, time.now);
    this.#confirmLimit(endpoint);
    const sentAt = time.now;
    const finish = (): void => {
      this.loads.endPrefill(pending);
      this.loads.endRequest(endpoint.id);
    };
    const onPrefilled = (): void => {
      finish();
      this.loads.noteCachedPrompt(endpoint.id, memoryTokens, prompt, true);
      this.#learnPrefill(plan, endpoint, prompt, time.now - sentAt);
      if (caller.hasEnded) return;
      if (plan.prefillEngine === undefined) this.#stream(engine, request, caller);
      else this.#handOver(request, caller, plan.prefillEngine);
    };
    const copySource = plan.copySource === undefined ? undefined : this.#engine(plan.copySource.id);
    const job = { prompt, urgency: plan.urgency, copySource, onPrefilled };
    caller.onDisconnect = () => {
      if (engine.cancel(job)) finish();
    };
    this.sent.all++;
    if (this.#parts.regions.isSameRegion(this.dataCentre, endpoint.dataCentre)) this.sent.ownRegion++;
    time.after(this.#delayMs(endpoint), () => engine.prefill(job));
  }

  /** Time of a request to an endpoint; with regions, that of the answer is included. */
  #delayMs(endpoint: serving.Endpoint): number {
    return this.#parts.regions.roundTripMs(this.dataCentre, endpoint.dataCentre);
  }

  #handOver(request: loads.LoadRequest, caller: emulatedCallers.EmulatedCaller, prefillEngine: serving.Endpoint): void {
    const { regions, time } = this.#parts;
    const hasRegions = this.#parts.description.regions !== undefined;
    const placement = this.#placementInputs(request, this.#selectReady().ready);
    const decodeEndpoint = serving.choosePacedDecodeEngine(placement, hasRegions ? prefillEngine : undefined)?.engine;
    if (decodeEndpoint === undefined) {
      caller.end(outcomes.RequestOutcome.Refused);
      return;
    }
    const engine = this.#engine(decodeEndpoint.id);
    this.#enforcer.noteSent(decodeEndpoint, time.now);
    const sentAt = time.now;
    const onReceived = (): void => {
      this.speeds.learnHandover(request.prompt.promptTokens, time.now - sentAt + NETWORK_DELAY_MS);
      if (!caller.hasEnded) this.#stream(engine, request, caller);
    };
    const factor = regions.transferFactor(prefillEngine.dataCentre, decodeEndpoint.dataCentre);
    const receive = (): void => engine.receivePrompt(request.prompt, onReceived, factor);
    if (hasRegions) time.after(this.#delayMs(decodeEndpoint), receive);
    else receive();
  }

  #stream(
    engine: emulatedEngines.EmulatedEngine,
    request: loads.LoadRequest,
    caller: emulatedCallers.EmulatedCaller,
  ): void {
    this.loads.beginRequest(engine.id);
    const paced = this.pacing.beginStream(engine.id, request.kind);
    engine.stream({
      events: request.events,
      onEvent: (pauseMs) => {
        this.pacing.recordEvent(paced);
        caller.recordEvent(pauseMs);
      },
      onEnd: () => {
        this.pacing.tracker.endStream(paced);
        if (caller.meanPauseMs !== undefined) this.speeds.learnPause(engine.streams, caller.meanPauseMs);
        this.loads.endRequest(engine.id);
        this.demand.learnEvents(request.prompt.outputTokens, request.events);
        caller.end(outcomes.RequestOutcome.Answered);
      },
    });
  }

  #learnPrefill(plan: serving.EnginePlan, endpoint: serving.Endpoint, prompt: serving.Prompt, tookMs: number): void {
    this.#health.recordLatency(endpoint.id, plan.predictedMs, tookMs);
    if (plan.copySource !== undefined) return;
    this.speeds.learnLocalPrefill(endpoint.role, {
      unreadTokens: plan.unreadTokens,
      cachedTokens: Math.max(0, prompt.promptTokens - plan.unreadTokens),
      tokensWaiting: plan.tokensWaiting,
      streams: this.loads.runningRequests(endpoint.id, this.#parts.time.now),
      tookMs: Math.max(0, tookMs - (this.distances?.roundTripMs(endpoint.dataCentre) ?? 0)),
    });
  }

  /** The answer to a request confirms the limit. */
  #confirmLimit(endpoint: serving.Endpoint): void {
    const record = this.limitTable.limitOf(endpoint);
    if (record !== undefined) this.limitTable.merge({ ...record, version: Math.floor(this.#parts.time.now) });
  }

  #selectReady(): serving.ReadySelection {
    const { fleet, time } = this.#parts;
    return serving.selectReady(this.#enforcer, this.#assignedEngines(fleet.endpoints()), false, time.now);
  }

  #placementInputs({ prompt, kind }: loads.LoadRequest, engines: readonly serving.Endpoint[]): serving.PlacementInputs {
    const { description, time } = this.#parts;
    return {
      prompt,
      engines,
      loads: this.loads,
      memoryTokens: description.engines.memoryTokens,
      speeds: this.speeds,
      slowness: (id) => this.#health.slowness(id),
      isLimited: (engine) => this.#enforcer.isLimited(engine),
      dataCentre: this.dataCentre,
      distances: this.distances,
      hotParts: this.#hotParts,
      maxPauseMs: description.pausesIgnored === true ? Number.POSITIVE_INFINITY : kind.pauseMs,
      objectiveMs: kind.objectiveMs,
      siteRule: description.shortestFirstEvent === true ? new serving.ShortestFirstEvent() : serving.PREFILL_SITE_RULE,
      pacing: this.pacing.forPrompt(kind),
      now: time.now,
    };
  }

  /** The engines that this daemon uses; each daemon uses a share of the engines of each role. */
  #assignedEngines(endpoints: readonly serving.Endpoint[]): readonly serving.Endpoint[] {
    const { engineShare = 1 } = this.#parts.description;
    if (engineShare === 1) return endpoints;
    return [serving.EngineRole.Prefill, serving.EngineRole.Decode].flatMap((role) => {
      const ofRole = new Map(endpoints.filter((each) => each.role === role).map((each) => [each.id, each]));
      const order = common.rendezvousOrder(this.name, [...ofRole.keys()]);
      const assigned = order.slice(0, Math.ceil(order.length * engineShare));
      return assigned.map((id) => ofRole.get(id)).filter((each) => each !== undefined);
    });
  }

  #engine(id: string): emulatedEngines.EmulatedEngine {
    const engine = this.#parts.fleet.engines.find((each) => each.id === id);
    if (engine === undefined) throw new Error(`engine ${id} is not in the fleet`);
    return engine;
  }
}
