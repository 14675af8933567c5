import * as serving from "@camphorcourse/serving";
import * as neverthrow from "neverthrow";
import * as admissionLogs from "./admission/admissionLog.js";
import type * as contexts from "./context.js";
import type * as decisionLogs from "./decisionLog.js";
import * as promptAdmissions from "./fairness/promptAdmission.js";
import * as pacings from "./pacing/pacing.js";
import * as plannedSends from "./sends/plannedSend.js";
import type * as servedRequests from "./servedRequest.js";

/** The endpoints that could serve a request but may not get it now, by what they have said of themselves. */
type HeldEndpoints = Pick<plannedSends.SendRejection, "limited" | "restMs">;

/** The endpoints that may get a request now, and what holds back the others if none of these can answer. */
interface Candidates extends HeldEndpoints {
  readonly ready: readonly serving.Endpoint[];
}

/** Spread of the callers that return to endpoints that are out of reach, in milliseconds. */
const RETRY_SPREAD_MS = 300;

/** A decided admission, and what it was based on if there was something to decide. */
interface LoggedAdmission {
  readonly admitted: neverthrow.Result<serving.EnginePlan, serving.Rejection>;
  readonly fields: decisionLogs.LogFields | undefined;
}

/** Chooses the endpoint of a request's next send. */
export class SendChooser {
  readonly #context: contexts.ServingContext;
  readonly #served: servedRequests.ServedRequest;
  /** Whether the request has waited for an endpoint with a limit, and is the next one. */
  #isNextInQueue = false;
  /** Endpoint at which a request has just ended, if that is why this one is decided on now. */
  #freed: serving.Endpoint | undefined;

  /**
   * @param context - what serving needs
   * @param served - the request
   */
  constructor(context: contexts.ServingContext, served: servedRequests.ServedRequest) {
    this.#context = context;
    this.#served = served;
  }

  /**
   * Chooses for a send that follows at once: the prompt of a prefill is recorded as cached by its engine.
   *
   * @param prefillEngine - the engine that has prefilled the prompt, if one has, so that another can decode from there
   * @returns the send, or why there is none
   */
  choose(prefillEngine: serving.Endpoint | undefined): plannedSends.Choice {
    const definition = this.#definition;
    const prompt = this.#served.caller.headers.prompt;
    if (definition?.engine === undefined || prompt === undefined) return this.#chooseLeastBusy(definition);
    return this.#chooseEngine(definition, definition.engine, prompt, prefillEngine);
  }

  /**
   * Makes the next choice for a request that has waited: it goes before those that wait for the same endpoints.
   *
   * @param choose - makes the choice
   * @param freed - endpoint at which a request has just ended, if that is why it is made now
   */
  asNextInQueue(choose: () => void, freed?: serving.Endpoint): void {
    this.#isNextInQueue = true;
    this.#freed = freed;
    choose();
    this.#isNextInQueue = false;
    this.#freed = undefined;
  }

  /** @returns the endpoints that a request which waits for room may be sent to */
  candidates(): readonly serving.Endpoint[] {
    const available = this.#available(this.#definition);
    const healthy = available.filter(({ id }) => !this.#context.health.isUnhealthy(id));
    return healthy.length > 0 ? healthy : available;
  }

  /** @returns time until the request may be sent in milliseconds, as far as endpoints' statements decide; 0 if it may be now */
  readyInMs(): number {
    const { health, statements } = this.#context;
    const now = performance.now();
    const { awake, restMs } = serving.selectAwake(statements.rests, this.#available(this.#definition), now);
    if (restMs !== undefined) return restMs;
    const usable = health.selectUsable(awake, false, now).filter(serving.canAnswer);
    if (usable.length === 0) return 0;
    return Math.min(...usable.map((endpoint) => statements.gate.waitMs(endpoint, now)));
  }

  get #definition(): serving.Service | undefined {
    return this.#context.view.table?.service(this.#served.service);
  }

  /**
   * Chooses for a request under which endpoints have crashed: the endpoint with the fewest other requests, unless it is
   * the only one of the service. It prefills the prompt itself, so that no second engine is at risk.
   *
   * @returns the send, or why there is none
   */
  chooseIsolated(): plannedSends.Choice {
    const { loads, crashDetector } = this.#context;
    const definition = this.#definition;
    const prompt = this.#served.caller.headers.prompt;
    const now = performance.now();
    const { ready, ...held } = this.#candidates(definition);
    const candidates = ready
      .filter((endpoint) => serving.canAnswer(endpoint) && !crashDetector.hasCrashed(endpoint, now))
      .sort((left, right) => loads.runningRequests(left.id, now) - loads.runningRequests(right.id, now));
    const [leastBusy, another] = candidates;
    if (leastBusy === undefined || another === undefined)
      return neverthrow.err({ reason: "no-spare-endpoint", ...held });
    if (definition?.engine === undefined || prompt === undefined) return answeringAt(leastBusy);
    return this.#placeOn([leastBusy], definition, definition.engine, prompt);
  }

  /** Whether the request may begin a stream that its caller takes up later. */
  get #mayBeginStream(): boolean {
    const { isStreamBegun, route } = this.#served;
    return !isStreamBegun && route.requestClass === serving.RequestClass.Stream && route.resumable;
  }

  #candidates(definition: serving.Service | undefined): Candidates {
    const { health, limits, metrics, statements, view } = this.#context;
    const now = performance.now();
    const { awake, restMs } = serving.selectAwake(statements.rests, this.#available(definition), now);
    if (restMs !== undefined) {
      metrics.count("resting_endpoints_passed_over");
      return { ready: [], restMs };
    }
    const usable = health.selectUsable(awake, this.#served.isRepeatable, now);
    const isQueued = !this.#isNextInQueue && limits.waiting.count(this.#served.service) > 0;
    const startable = this.#mayBeginStream ? view.versions.selectSettled(usable, now) : usable;
    const { ready, limited } = serving.selectReady(limits.enforcer, startable, isQueued, now);
    if (limited === undefined) return { ready };
    metrics.count("limited_endpoints_passed_over");
    return { ready, limited };
  }

  /**
   * Why no endpoint is chosen: with all of them out of reach for this daemon and its peers, the caller is told to return
   * when they are tried again.
   */
  #noneUsable(reason: string, held: HeldEndpoints): plannedSends.SendRejection {
    const { client, random, view } = this.#context;
    const now = performance.now();
    if (this.#served.isStreamBegun && !this.#served.canGoOn) return { reason: "version-gone", isFinal: true };
    const endpoints = view.directory.availableEndpoints(this.#served.service);
    const retryInMs = Math.min(...endpoints.map((endpoint) => client.retryInMs(endpoint, now)));
    const isHeld = held.limited !== undefined || held.restMs !== undefined;
    if (isHeld || !Number.isFinite(retryInMs) || retryInMs === 0) return { reason, ...held };
    return { reason: "endpoints-unreachable", retryAfterMs: retryInMs + random.next() * RETRY_SPREAD_MS };
  }

  /** The endpoints that may serve the request, apart from their health and from what they say that they take. */
  #available(definition: serving.Service | undefined): serving.Endpoint[] {
    const { view, client } = this.#context;
    const daemons = this.#context.liveDaemons();
    const now = performance.now();
    return view.directory
      .availableEndpoints(this.#served.service)
      .filter((endpoint) => this.#served.mayGoOnAt(endpoint))
      .filter((endpoint) => !this.#served.wasTried(endpoint.id) && !view.isChangingRole(endpoint, now))
      .filter((endpoint) => client.pathTo(endpoint, now) !== serving.EndpointPath.None)
      .filter((endpoint) =>
        client.hasRoom(endpoint.id, definition?.maxConnections ?? Number.MAX_SAFE_INTEGER, daemons),
      );
  }

  #chooseLeastBusy(definition: serving.Service | undefined): plannedSends.Choice {
    const { loads, health, limits, random, settings } = this.#context;
    const { ready, ...held } = this.#candidates(definition);
    if (ready.length > 0 && this.#context.calls.controls(this.#served.service)) return this.#chooseControlled(ready);
    const endpoint = serving.leastBusy({
      endpoints: ready,
      loads,
      health,
      isLimited: (each) => limits.enforcer.isLimited(each),
      dataCentre: settings.dataCentre,
      distances: this.#context.distances,
      draw: () => random.next(),
      now: performance.now(),
    });
    return endpoint === undefined ? neverthrow.err(this.#noneUsable("no-endpoint", held)) : answeringAt(endpoint);
  }

  #chooseControlled(ready: readonly serving.Endpoint[]): plannedSends.Choice {
    const { id, service, deadlineAt, route } = this.#served;
    const { objectiveMs } = route;
    const { arrivedAt } = this.#served.caller;
    const now = performance.now();
    const { calls, fairness } = this.#context;
    const known = fairness.callStandingOf(this.#served, now);
    const times = { arrivedAt, deadlineAt, objectiveMs };
    const place = { order: serving.callOrder(known), standing: promptAdmissions.callFields(this.#served, known) };
    const call = { id, service, ...times, ...place, isNext: this.#isNextInQueue, freed: this.#freed };
    const chosen = calls.choose(call, ready);
    const isDecided = chosen.isOk() || chosen.error.waitsForRoom !== true;
    if (isDecided && this.#served.sends === 0) fairness.noteCall(this.#served, chosen.isOk(), now);
    // No time to the first event is predicted: silence is judged by the route's objective, as for all plain calls.
    return chosen.andThen(({ endpoint }) => answeringAt(endpoint));
  }

  #chooseEngine(
    definition: serving.Service,
    limits: serving.EngineLimits,
    prompt: serving.Prompt,
    prefillEngine: serving.Endpoint | undefined,
  ): plannedSends.Choice {
    const { ready, ...held } = this.#candidates(definition);
    if (prefillEngine === undefined) return this.#placeOn(ready, definition, limits, prompt, held);
    const inputs = this.#placementInputs(ready, definition, limits, prompt);
    const chosen = serving.choosePacedDecodeEngine(inputs, prefillEngine);
    if (chosen === undefined) return neverthrow.err(this.#noneUsable("no-engine", held));
    if (chosen.pacedFrom !== undefined) this.#context.metrics.count("streams_moved_off_slow");
    return answeringAt(chosen.engine).map((send) => ({ ...send, ...pacings.decodeFields(inputs, chosen) }));
  }

  #placementInputs(
    engines: readonly serving.Endpoint[],
    definition: serving.Service,
    limits: serving.EngineLimits,
    prompt: serving.Prompt,
  ): serving.PlacementInputs {
    const { loads, health, pacing, settings, speeds } = this.#context;
    const now = performance.now();
    return {
      prompt,
      engines: this.#withRoom(engines, limits, prompt),
      loads,
      memoryTokens: limits.memoryTokens,
      speeds: speeds.of(definition.name),
      slowness: (id) => health.slowness(id),
      isLimited: (engine) => this.#context.limits.enforcer.isLimited(engine),
      dataCentre: settings.dataCentre,
      distances: this.#context.distances,
      hotParts: this.#context.hotParts,
      maxPauseMs: this.#served.route.pauseMs,
      objectiveMs: this.#served.route.objectiveMs,
      siteRule: serving.PREFILL_SITE_RULE,
      pacing: pacing.forPrompt(definition.name, this.#served.route.pauseMs, now),
      now,
    };
  }

  /** The engines whose memory has room for the request, where the VM's settings say that memory is contended. */
  #withRoom(
    engines: readonly serving.Endpoint[],
    { memoryTokens }: serving.EngineLimits,
    { outputTokens, promptTokens }: serving.Prompt,
  ): readonly serving.Endpoint[] {
    const { loads, settings } = this.#context;
    if (settings.memoryBytes === undefined) return engines;
    const now = performance.now();
    return serving.enginesWithRoom(engines, promptTokens + outputTokens, memoryTokens, (id) =>
      loads.heldTokens(id, now),
    );
  }

  #placeOn(
    engines: readonly serving.Endpoint[],
    definition: serving.Service,
    limits: serving.EngineLimits,
    prompt: serving.Prompt,
    held: HeldEndpoints = {},
  ): plannedSends.Choice {
    const inputs = this.#placementInputs(engines, definition, limits, prompt);
    const placed = this.#placeWithinBudget(inputs);
    if (placed === undefined) return neverthrow.err(this.#noneUsable("no-engine", held));
    this.#noteDemand(placed.plan, prompt);
    const decision = this.#admit(placed.plan, inputs);
    const { admitted } = decision;
    if (admitted.isErr()) {
      return neverthrow.err({ reason: "overloaded", retryAfterMs: admitted.error.retryAfterMs });
    }
    const plan = admitted.value;
    if (placed.pacedFrom !== undefined) this.#context.metrics.count("prefills_paced");
    const firstEngine = plan.prefillEngine ?? plan.decodeEngine;
    this.#context.loads.noteCachedPrompt(firstEngine.id, limits.memoryTokens, prompt);
    const stage = plan.prefillEngine === undefined ? plannedSends.Stage.Answering : plannedSends.Stage.Prefill;
    const { fields } = decision;
    const admission = fields === undefined ? {} : { admission: fields };
    const logged = { ...admission, ...pacings.planFields(inputs, placed) };
    return neverthrow.ok({ endpoint: firstEngine, stage, predictedMs: plan.predictedMs, plan, ...logged });
  }

  /** The decode engine prefills the prompt itself if the retry budget allows no separate call for that. */
  #placeWithinBudget(inputs: serving.PlacementInputs): serving.PacedPlan | undefined {
    const draw = this.#context.random.next();
    const placed = serving.placePacedByRegion(inputs, draw);
    if (placed?.plan.prefillEngine === undefined || this.#served.mayPrefill()) return placed;
    return serving.placePacedByRegion({ ...inputs, engines: inputs.engines.filter(serving.canAnswer) }, draw);
  }

  #noteDemand(plan: serving.EnginePlan, prompt: serving.Prompt): void {
    const { demand, speeds } = this.#context;
    const prefillMs = speeds.of(this.#served.service).prefillMs(serving.EngineRole.Prefill, plan.workTokens);
    demand.add(prefillMs, prompt, performance.now());
  }

  #admit(plan: serving.EnginePlan, placement: serving.PlacementInputs): LoggedAdmission {
    const { random, acceptance, speeds } = this.#context;
    const { caller, route, sends, mayHaveRun, isStreamBegun, remainingMs } = this.#served;
    // A stream that has begun is no new load, and goes before those that begin.
    if (isStreamBegun)
      return { admitted: neverthrow.ok(serving.withUrgency(plan, placement, serving.MOST_URGENT)), fields: undefined };
    // Only a first send is subject to admission: a request that has been sent before is finished or retried.
    if (sends > 0 || mayHaveRun) return { admitted: neverthrow.ok(plan), fields: undefined };
    const limits: serving.PromptLimits = {
      kind: route.name,
      isLearned: speeds.of(this.#served.service).isLearned((plan.prefillEngine ?? plan.decodeEngine).role),
      callerTimeoutMs: serving.streamCallerTimeoutMs(route.objectiveMs, route.pauseMs),
      remainingMs,
      draw: random.next(),
    };
    const { admitted, fields: standing } = promptAdmissions.decideAdmission(
      this.#context,
      this.#served,
      plan,
      placement,
      limits,
    );
    const counts = acceptance.countsOf(limits.kind, placement.prompt.promptTokens, placement.now);
    const fields = { ...admissionLogs.admissionFields({ caller, route, limits, placement, counts }), ...standing };
    if (admitted.isErr()) this.#logRejected(plan, limits, admitted.error, fields);
    else if (admitted.value.urgency !== plan.urgency) this.#logUrgencyRaised(plan, admitted.value);
    return { admitted, fields };
  }

  #logRejected(
    plan: serving.EnginePlan,
    limits: serving.PromptLimits,
    rejection: serving.Rejection,
    fields: decisionLogs.LogFields,
  ): void {
    const tokens = this.#served.caller.headers.prompt?.promptTokens ?? 0;
    const rates = this.#context.acceptance.acceptanceRates(limits.kind, tokens, performance.now());
    this.#context.log.info("turned-away", {
      id: this.#served.id,
      predictedMs: Math.round(plan.predictedMs),
      aloneMs: Math.round(plan.unloadedMs),
      isLearned: limits.isLearned,
      remainingMs: Math.round(limits.remainingMs),
      unread: plan.unreadTokens,
      ahead: Math.round(plan.tokensAhead),
      rateOfSize: rates.ofSize.toFixed(2),
      rateOfAll: rates.ofAll.toFixed(2),
      returnAfterMs: Math.round(rejection.retryAfterMs),
      ...fields,
    });
  }

  #logUrgencyRaised(from: serving.EnginePlan, to: serving.EnginePlan): void {
    this.#context.log.info("moved-up", {
      id: this.#served.id,
      unread: from.unreadTokens,
      urgency: from.urgency,
      toUrgency: to.urgency,
      predictedMs: Math.round(from.predictedMs),
      thenMs: Math.round(to.predictedMs),
    });
  }
}

function answeringAt(endpoint: serving.Endpoint): plannedSends.Choice {
  return neverthrow.ok({ endpoint, stage: plannedSends.Stage.Answering, predictedMs: 0, plan: undefined });
}
