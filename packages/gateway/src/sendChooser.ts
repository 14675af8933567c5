import * as serving from "@camphorcourse/serving";
import * as neverthrow from "neverthrow";
import type * as contexts from "./context.js";
import type * as servedRequests from "./servedRequest.js";

/** Where the request is on its way. */
export enum Stage {
  /** An engine reads the prompt for another. */
  Reading = "reading",
  /** An endpoint answers the request. */
  Answering = "answering",
}

/** A send that was decided on. */
export interface PlannedSend {
  readonly endpoint: serving.Endpoint;
  readonly stage: Stage;
  /** Predicted time to the first event in milliseconds, 0 where nothing is predicted. */
  readonly predictedMs: number;
  readonly plan: serving.EnginePlan | undefined;
}

/** Why the request goes nowhere. */
export interface NoSend {
  readonly reason: string;
  /** Time after which the caller may come back in milliseconds, or undefined for the usual one. */
  readonly returnAfterMs?: number;
}

/** What became of a choice. */
export type Choice = neverthrow.Result<PlannedSend, NoSend>;

/** Chooses where a request goes next. */
export class SendChooser {
  readonly #context: contexts.ServingContext;
  readonly #served: servedRequests.ServedRequest;

  /**
   * @param context - what serving needs
   * @param served - the request
   */
  constructor(context: contexts.ServingContext, served: servedRequests.ServedRequest) {
    this.#context = context;
    this.#served = served;
  }

  /**
   * Chooses for a send that follows at once: a prompt's reading is noted with the engine.
   *
   * @param reader - the engine that has read the prompt, if one has, so that another may go on from there
   * @returns the send, or why there is none
   */
  choose(reader: serving.Endpoint | undefined): Choice {
    const definition = this.#context.view.table?.service(this.#served.service);
    const prompt = this.#served.caller.headers.prompt;
    if (definition?.engine === undefined || prompt === undefined) return this.#choosePlain(definition);
    return this.#chooseEngine(definition, definition.engine, prompt, reader);
  }

  /**
   * Chooses for a request under which endpoints have ended: the endpoint with the least beside it, as long as it is not
   * the service's last one. Its prompt is read there too, so that no second engine is at risk.
   *
   * @returns the send, or why there is none
   */
  chooseAlone(): Choice {
    const { board, crashDetector: endDetector, view } = this.#context;
    const definition = view.table?.service(this.#served.service);
    const prompt = this.#served.caller.headers.prompt;
    const now = performance.now();
    const able = this.#candidates(definition)
      .filter((endpoint) => endpoint.role !== serving.EngineRole.Prefill && !endDetector.hasEnded(endpoint, now))
      .sort((left, right) => board.running(left.id, now) - board.running(right.id, now));
    const [emptiest, another] = able;
    if (emptiest === undefined || another === undefined) return neverthrow.err({ reason: "no-spare-endpoint" });
    if (definition?.engine === undefined || prompt === undefined) return answeringAt(emptiest, "no-endpoint");
    return this.#placeOn([emptiest], definition, definition.engine, prompt);
  }

  #candidates(definition: serving.Service | undefined): serving.Endpoint[] {
    const { view, client, health } = this.#context;
    const daemons = this.#context.liveDaemons();
    const now = performance.now();
    const open = view.directory
      .serving(this.#served.service)
      .filter((endpoint) => !this.#served.wasTried(endpoint.id) && !view.isChanging(endpoint, now))
      .filter((endpoint) =>
        client.hasRoom(endpoint.id, definition?.maxConnections ?? Number.MAX_SAFE_INTEGER, daemons),
      );
    const trials = serving.mayRepeat(this.#served.route);
    return health.usable(open, trials, now);
  }

  #choosePlain(definition: serving.Service | undefined): Choice {
    const { board, health, random, settings } = this.#context;
    const endpoint = serving.leastBusy({
      endpoints: this.#candidates(definition),
      board,
      health,
      dataCentre: settings.dataCentre,
      draw: () => random.next(),
      now: performance.now(),
    });
    return answeringAt(endpoint, "no-endpoint");
  }

  #chooseEngine(
    definition: serving.Service,
    engine: serving.EngineLimits,
    prompt: serving.Prompt,
    promptReader: serving.Endpoint | undefined,
  ): Choice {
    const engines = this.#candidates(definition);
    if (promptReader === undefined) return this.#placeOn(engines, definition, engine, prompt);
    const inputs = this.#placementInputs(engines, definition, engine, prompt);
    return answeringAt(serving.placeDecoder(inputs, promptReader), "no-engine");
  }

  #placementInputs(
    engines: readonly serving.Endpoint[],
    definition: serving.Service,
    engine: serving.EngineLimits,
    prompt: serving.Prompt,
  ): serving.PlacementInputs {
    const { board, health, settings, speeds } = this.#context;
    return {
      prompt,
      engines,
      board,
      memoryTokens: engine.memoryTokens,
      speeds: speeds.of(definition.name),
      slowness: (id) => health.slowness(id),
      dataCentre: settings.dataCentre,
      pauseAimMs: this.#served.route.pauseMs,
      now: performance.now(),
    };
  }

  #placeOn(
    engines: readonly serving.Endpoint[],
    definition: serving.Service,
    engine: serving.EngineLimits,
    prompt: serving.Prompt,
  ): Choice {
    const inputs = this.#placementInputs(engines, definition, engine, prompt);
    const placed = serving.placePrompt(inputs);
    if (placed === undefined) return neverthrow.err({ reason: "no-engine" });
    this.#noteDemand(placed, prompt);
    const admitted = this.#admit(placed, inputs);
    if (admitted.isErr()) {
      return neverthrow.err({ reason: "overloaded", returnAfterMs: admitted.error.returnAfterMs });
    }
    const plan = admitted.value;
    const reader = plan.reader ?? plan.decoder;
    this.#context.board.noteRead(reader.id, engine.memoryTokens, prompt);
    const stage = plan.reader === undefined ? Stage.Answering : Stage.Reading;
    return neverthrow.ok({ endpoint: reader, stage, predictedMs: plan.predictedMs, plan });
  }

  #noteDemand(plan: serving.EnginePlan, prompt: serving.Prompt): void {
    const { demand, speeds } = this.#context;
    const readingMs = speeds.of(this.#served.service).readMs(serving.EngineRole.Prefill, plan.workTokens);
    demand.add(readingMs, prompt, performance.now());
  }

  #admit(
    plan: serving.EnginePlan,
    placement: serving.PlacementInputs,
  ): neverthrow.Result<serving.EnginePlan, serving.Rejection> {
    const { random, sizeShares, speeds } = this.#context;
    const { route, sends, mayHaveRun, remainingMs } = this.#served;
    // What has begun is finished, and what was sent before gets its other chance.
    if (sends > 0 || mayHaveRun) return neverthrow.ok(plan);
    const limits: serving.PromptLimits = {
      kind: route.name,
      isLearned: speeds.of(this.#served.service).isLearned((plan.reader ?? plan.decoder).role),
      patienceMs: serving.streamPatienceMs(route.objectiveMs, route.pauseMs),
      remainingMs,
      routeMs: route.timeoutMs,
      draw: random.next(),
    };
    const admitted = serving.admitPrompt(plan, placement, limits, sizeShares);
    if (admitted.isErr()) this.#logTurnedAway(plan, limits, admitted.error);
    else if (admitted.value.level !== plan.level) this.#logMovedUp(plan, admitted.value);
    return admitted;
  }

  #logTurnedAway(plan: serving.EnginePlan, limits: serving.PromptLimits, rejection: serving.Rejection): void {
    const tokens = this.#served.caller.headers.prompt?.promptTokens ?? 0;
    const shares = this.#context.sizeShares.taken(limits.kind, tokens, performance.now());
    this.#context.log.info("turned-away", {
      id: this.#served.id,
      predictedMs: Math.round(plan.predictedMs),
      aloneMs: Math.round(plan.aloneMs),
      isLearned: limits.isLearned,
      remainingMs: Math.round(limits.remainingMs),
      unread: plan.unreadTokens,
      ahead: Math.round(plan.tokensAhead),
      takenOfSize: shares.ofSize.toFixed(2),
      takenOfAll: shares.ofAll.toFixed(2),
      returnAfterMs: Math.round(rejection.returnAfterMs),
    });
  }

  #logMovedUp(from: serving.EnginePlan, to: serving.EnginePlan): void {
    this.#context.log.info("moved-up", {
      id: this.#served.id,
      unread: from.unreadTokens,
      urgency: from.level,
      toUrgency: to.level,
      predictedMs: Math.round(from.predictedMs),
      thenMs: Math.round(to.predictedMs),
    });
  }
}

function answeringAt(endpoint: serving.Endpoint | undefined, reasonIfNone: string): Choice {
  if (endpoint === undefined) return neverthrow.err({ reason: reasonIfNone });
  return neverthrow.ok({ endpoint, stage: Stage.Answering, predictedMs: 0, plan: undefined });
}
