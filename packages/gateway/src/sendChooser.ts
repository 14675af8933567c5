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
    const { board, health, settings, speeds } = this.#context;
    const engines = this.#candidates(definition);
    const inputs: serving.PlacementInputs = {
      prompt,
      engines,
      board,
      memoryTokens: engine.memoryTokens,
      speeds: speeds.of(definition.name),
      slowness: (id) => health.slowness(id),
      dataCentre: settings.dataCentre,
      now: performance.now(),
    };
    if (promptReader !== undefined) return answeringAt(serving.placeDecoder(inputs, promptReader), "no-engine");
    const plan = serving.placePrompt(inputs);
    if (plan === undefined) return neverthrow.err({ reason: "no-engine" });
    this.#noteDemand(plan, prompt);
    const rejection = this.#judgeAdmission(plan);
    if (rejection !== undefined) {
      return neverthrow.err({ reason: "overloaded", returnAfterMs: rejection.returnAfterMs });
    }
    const reader = plan.reader ?? plan.decoder;
    board.noteRead(reader.id, engine.memoryTokens, prompt);

    const stage = plan.reader === undefined ? Stage.Answering : Stage.Reading;
    return neverthrow.ok({ endpoint: reader, stage, predictedMs: plan.predictedMs, plan });
  }

  #noteDemand(plan: serving.EnginePlan, prompt: serving.Prompt): void {
    const { demand, speeds } = this.#context;
    const readingMs = speeds.of(this.#served.service).readMs(serving.EngineRole.Prefill, plan.workTokens);
    demand.add(readingMs, prompt, performance.now());
  }

  #judgeAdmission(plan: serving.EnginePlan): serving.Rejection | undefined {
    const { speeds } = this.#context;
    const { route, sends, mayHaveRun, remainingMs, id } = this.#served;
    // What has begun is finished, and what was sent before gets its other chance.
    if (sends > 0 || mayHaveRun) return undefined;
    const isLearned = speeds.of(this.#served.service).isLearned((plan.reader ?? plan.decoder).role);
    const rejection = serving.judgeAdmission({
      predictedMs: plan.predictedMs,
      aloneMs: plan.aloneMs,
      isLearned,
      patienceMs: serving.streamPatienceMs(route.objectiveMs, route.pauseMs),
      remainingMs,
      routeMs: route.timeoutMs,
      draw: this.#context.random.next(),
    });
    if (rejection === undefined) return undefined;
    this.#context.log.info("turned-away", {
      id,
      predictedMs: Math.round(plan.predictedMs),
      aloneMs: Math.round(plan.aloneMs),
      isLearned,
      remainingMs: Math.round(remainingMs),
      unread: plan.unreadTokens,
      ahead: plan.tokensAhead,
      returnAfterMs: Math.round(rejection.returnAfterMs),
    });
    return rejection;
  }
}

function answeringAt(endpoint: serving.Endpoint | undefined, reasonIfNone: string): Choice {
  if (endpoint === undefined) return neverthrow.err({ reason: reasonIfNone });
  return neverthrow.ok({ endpoint, stage: Stage.Answering, predictedMs: 0, plan: undefined });
}
