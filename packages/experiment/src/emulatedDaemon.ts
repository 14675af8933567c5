import * as common from "@camphorcourse/common";
import * as serving from "@camphorcourse/serving";
import type * as descriptions from "./description.js";
import type * as emulatedEngines from "./emulatedEngine.js";
import type * as loads from "./load.js";
import * as outcomes from "./outcome.js";
import type * as virtualTimes from "./virtualTime.js";

/** What daemons know of the fleet at once. */
export interface Fleet {
  readonly engines: readonly emulatedEngines.EmulatedEngine[];
  /** @returns the engines as endpoints in their present roles, without those that are away */
  endpoints(): serving.Endpoint[];
}

/** What a daemon's parts share. */
export interface DaemonParts {
  readonly description: descriptions.Description;
  readonly time: virtualTimes.VirtualTime;
  readonly fleet: Fleet;
  readonly outcome: outcomes.Outcome;
  /** @param course - a request that was turned away and comes back to any daemon */
  readonly comeBack: (course: RequestCourse) => void;
}

/** Part of the time left up to which callers wait before they come back. */
const LONGEST_RETURN_SHARE = 1 / 3;

/** Prompts from which a daemon knows the engines' figures closely. */
const TAUGHT_PROMPTS = 2_000;

/** Time of a network's way there and back, in milliseconds. */
const WAY_MS = 3;

/** A daemon's decisions as they serve, driven in virtual time. */
export class EmulatedDaemon {
  readonly name: string;
  readonly board = new serving.EngineLoadTracker();
  readonly speeds = new serving.EngineSpeeds();
  readonly demand = new serving.Demand();
  readonly sizeShares = new serving.AcceptanceTracker();
  readonly #health = new serving.EndpointHealth();
  readonly #parts: DaemonParts;
  readonly #random: common.SeededRandom;

  /**
   * @param name - its name among the daemons
   * @param parts - what it works with
   * @param seed - of what it draws
   */
  constructor(name: string, parts: DaemonParts, seed: number) {
    this.name = name;
    this.#parts = parts;
    this.#random = new common.SeededRandom(seed);
  }

  /** The daemon knows the engines' figures from the start, as one that has served for long. */
  learnFigures(): void {
    const { engines } = this.#parts.description;
    for (const role of [serving.EngineRole.Prefill, serving.EngineRole.Decode]) {
      const multiple = role === serving.EngineRole.Prefill ? 1 : engines.decodeReadingMultiple;
      for (let index = 0; index < TAUGHT_PROMPTS; index++) {
        const unreadTokens = 100 + 37 * (index % 400);
        const cachedTokens = 211 * (index % 50);
        const pairs = (unreadTokens * (cachedTokens + unreadTokens / 2)) / 1e6;
        const readMs = unreadTokens / engines.tokensPerMs + pairs * engines.pairsMsPerMillion;
        const tookMs = engines.fixedMs + readMs * multiple + 2 * WAY_MS;
        this.speeds.learnPrefill(role, {
          unreadTokens,
          cachedTokens,
          tokensWaiting: 0,
          streams: 0,
          tookMs,
        });
      }
    }
    for (let index = 0; index < TAUGHT_PROMPTS; index++) {
      const tokens = 100 * (index % 200);
      this.speeds.learnHandover(tokens, (tokens / 1_000) * engines.copyMsPerThousand + 2 * WAY_MS);
      this.speeds.learnPause(index % 40, engines.pauseMs + engines.pausePerStreamMs * (index % 40));
    }
  }

  /** @param request - a request that has come */
  take(request: loads.LoadRequest): void {
    const { time, outcome } = this.#parts;
    this.serve(new RequestCourse(request, time, outcome));
  }

  /** @param course - a request that has come, or has come back */
  serve(course: RequestCourse): void {
    const { request } = course;
    const { kind } = request;
    const placement = this.#inputs(request);
    const plan = serving.placePrompt(placement);
    if (plan === undefined) {
      course.end(outcomes.Ending.Refused);
      return;
    }
    const limits = {
      kind: kind.name,
      isLearned: this.speeds.isLearned((plan.prefillEngine ?? plan.decodeEngine).role),
      callerTimeoutMs: serving.streamCallerTimeoutMs(kind.objectiveMs, kind.pauseMs),
      remainingMs: course.remainingMs,
      routeMs: kind.deadlineMs,
      draw: this.#random.next(),
    };
    const readingMs = this.speeds.prefillMs(serving.EngineRole.Prefill, plan.workTokens);
    this.demand.add(readingMs, request.prompt, this.#parts.time.now);
    const admitted = serving.admitPrompt(plan, placement, limits, this.sizeShares);
    if (admitted.isOk()) this.#read(request, admitted.value, course);
    else this.#turnAway(course, admitted.error);
  }

  #turnAway(course: RequestCourse, rejection: serving.Rejection): void {
    const { comeBack, time } = this.#parts;
    const { retryAfterMs: returnAfterMs } = rejection;
    if (!course.mayReturn || returnAfterMs > course.remainingMs * LONGEST_RETURN_SHARE) {
      course.end(outcomes.Ending.Refused);
      return;
    }
    course.returned();
    time.after(returnAfterMs, () => comeBack(course));
  }

  #read(request: loads.LoadRequest, plan: serving.EnginePlan, course: RequestCourse): void {
    const { time, description } = this.#parts;
    const { prompt } = request;
    const endpoint = plan.prefillEngine ?? plan.decodeEngine;
    const engine = this.#engine(endpoint.id);
    const { memoryTokens } = description.engines;
    this.board.noteCachedPrompt(endpoint.id, memoryTokens, prompt);
    const pending = this.board.beginPrefill(endpoint.id, plan.workTokens, plan.urgency);
    this.board.beginRequest(endpoint.id);
    const sentAt = time.now;
    const finish = (): void => {
      this.board.endPrefill(pending);
      this.board.endRequest(endpoint.id);
    };
    const onRead = (): void => {
      finish();
      this.board.noteCachedPrompt(endpoint.id, memoryTokens, prompt, true);
      this.#learnRead(plan, endpoint, prompt, time.now - sentAt);
      if (course.over) return;
      if (plan.prefillEngine === undefined) this.#stream(engine, request, course);
      else this.#handOver(request, course);
    };
    const copySource = plan.copySource === undefined ? undefined : this.#engine(plan.copySource.id);
    const job = { prompt, urgency: plan.urgency, copySource, onRead };
    course.onLeft = () => {
      if (engine.cancel(job)) finish();
    };
    time.after(WAY_MS, () => engine.read(job));
  }

  #handOver(request: loads.LoadRequest, course: RequestCourse): void {
    const { time } = this.#parts;
    const decoder = serving.chooseDecodeEngine(this.#inputs(request), undefined);
    if (decoder === undefined) {
      course.end(outcomes.Ending.Refused);
      return;
    }
    const engine = this.#engine(decoder.id);
    const sentAt = time.now;
    engine.takeOver(request.prompt, () => {
      this.speeds.learnHandover(request.prompt.promptTokens, time.now - sentAt + WAY_MS);
      if (!course.over) this.#stream(engine, request, course);
    });
  }

  #stream(engine: emulatedEngines.EmulatedEngine, request: loads.LoadRequest, course: RequestCourse): void {
    this.board.beginRequest(engine.id);
    engine.stream({
      events: request.events,
      onEvent: (pauseMs) => course.noteEvent(pauseMs),
      onEnd: () => {
        if (course.meanPauseMs !== undefined) this.speeds.learnPause(engine.streams, course.meanPauseMs);
        this.board.endRequest(engine.id);
        this.demand.learnEvents(request.prompt.outputTokens, request.events);
        course.end(outcomes.Ending.Answered);
      },
    });
  }

  #learnRead(plan: serving.EnginePlan, endpoint: serving.Endpoint, prompt: serving.Prompt, tookMs: number): void {
    this.#health.recordLatency(endpoint.id, plan.predictedMs, tookMs);
    if (plan.copySource !== undefined) return;
    this.speeds.learnLocalPrefill(endpoint.role, {
      unreadTokens: plan.unreadTokens,
      cachedTokens: Math.max(0, prompt.promptTokens - plan.unreadTokens),
      tokensWaiting: plan.tokensWaiting,
      streams: this.board.runningRequests(endpoint.id, this.#parts.time.now),
      tookMs,
    });
  }

  #inputs({ prompt, kind }: loads.LoadRequest): serving.PlacementInputs {
    const { description, fleet, time } = this.#parts;
    return {
      prompt,
      engines: this.#ownEngines(fleet.endpoints()),
      loads: this.board,
      memoryTokens: description.engines.memoryTokens,
      speeds: this.speeds,
      slowness: (id) => this.#health.slowness(id),
      dataCentre: "a",
      maxPauseMs: description.pausesIgnored === true ? Number.POSITIVE_INFINITY : kind.pauseMs,
      now: time.now,
    };
  }

  /** The engines that this daemon uses where each uses a part of them only. */
  #ownEngines(endpoints: readonly serving.Endpoint[]): readonly serving.Endpoint[] {
    const { engineShare = 1 } = this.#parts.description;
    if (engineShare === 1) return endpoints;
    return [serving.EngineRole.Prefill, serving.EngineRole.Decode].flatMap((role) => {
      const ofRole = new Map(endpoints.filter((each) => each.role === role).map((each) => [each.id, each]));
      const order = common.rendezvousOrder(this.name, [...ofRole.keys()]);
      const own = order.slice(0, Math.ceil(order.length * engineShare));
      return own.map((id) => ofRole.get(id)).filter((each) => each !== undefined);
    });
  }

  #engine(id: string): emulatedEngines.EmulatedEngine {
    const engine = this.#parts.fleet.engines.find((each) => each.id === id);
    if (engine === undefined) throw new Error(`there is no engine ${id}; the fleet's list must hold all of them`);
    return engine;
  }
}

/** One request from its arrival to its end, as its caller sees it. */
export class RequestCourse {
  /** Called when the caller leaves before anything has come. */
  onLeft: () => void = () => undefined;
  readonly request: loads.LoadRequest;
  readonly #time: virtualTimes.VirtualTime;
  readonly #outcome: outcomes.Outcome;
  readonly #startedAt: number;
  #firstMs: number | undefined;
  #longestPauseMs = 0;
  #pausesMs = 0;
  #events = 0;
  #over = false;
  #returns = 0;
  #tries = 0;

  /**
   * @param request - the request
   * @param time - the experiment's time
   * @param outcome - takes its end
   */
  constructor(request: loads.LoadRequest, time: virtualTimes.VirtualTime, outcome: outcomes.Outcome) {
    this.request = request;
    this.#time = time;
    this.#outcome = outcome;
    this.#startedAt = time.now;
    this.#wait();
  }

  /** @returns what is left of the caller's deadline, in milliseconds */
  get remainingMs(): number {
    return this.#startedAt + this.request.kind.deadlineMs - this.#time.now;
  }

  /** @returns whether the caller comes back if it is turned away */
  get mayReturn(): boolean {
    return this.#returns < this.request.kind.returns;
  }

  /** The caller was turned away and comes back; its patience begins anew then. */
  returned(): void {
    this.#returns++;
    this.#tries++;
  }

  /** The caller has come back. */
  cameBack(): void {
    this.#wait();
  }

  #wait(): void {
    const tried = this.#tries;
    const { objectiveMs, pauseMs } = this.request.kind;
    const patienceMs = Math.min(this.remainingMs, serving.streamCallerTimeoutMs(objectiveMs, pauseMs));
    this.#time.after(patienceMs, () => {
      if (this.#over || this.#firstMs !== undefined || this.#tries !== tried) return;
      this.onLeft();
      this.end(outcomes.Ending.Failed);
    });
  }

  get over(): boolean {
    return this.#over;
  }

  get meanPauseMs(): number | undefined {
    return this.#events < 2 ? undefined : this.#pausesMs / (this.#events - 1);
  }

  noteEvent(pauseMs: number): void {
    this.#firstMs ??= this.#time.now - this.#startedAt + WAY_MS;
    this.#longestPauseMs = Math.max(this.#longestPauseMs, pauseMs);
    this.#pausesMs += pauseMs;
    this.#events++;
  }

  end(ending: outcomes.Ending): void {
    if (this.#over) return;
    this.#over = true;
    const { kind, atMs, prompt } = this.request;
    const inTime = (this.#firstMs ?? 0) <= kind.objectiveMs && this.#longestPauseMs <= kind.pauseMs;
    this.#outcome.note({ kind, atMs, promptTokens: prompt.promptTokens, ending, inTime });
  }
}
