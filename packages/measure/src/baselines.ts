import * as core from "@camphorcourse/core";
import type * as standIns from "@camphorcourse/stand-ins";
import * as engineFleet from "./engineFleet.js";
import type * as outcomeModule from "./outcome.js";
import * as traceModule from "./trace.js";

/** How a baseline router selects among the engines that serve a part of a request. */
export enum SelectionStrategy {
  RoundRobin = "round-robin",
  LeastConnections = "least-connections",
}

const ROLE_ADJUSTMENT_INTERVAL_MS = 10_000;
const DEMAND_WINDOW_MS = 60_000;
/** Least difference, in engines, between the wanted and the current prefill share for a role change. */
const MIN_ROLE_DEVIATION = 0.6;

/**
 * Baseline for comparison with the core's policy: a router without admission
 * control or deadlines, whose roles are fixed or follow the ratio of prefill to
 * decode work in the last minute.
 */
export class BaselineRouter {
  readonly #fleet: engineFleet.EngineFleet;
  readonly #outcome: outcomeModule.Outcome;
  readonly #strategy: SelectionStrategy;
  readonly #connections: number[];
  readonly #draining = new Set<number>();
  readonly #withdrawn = new Set<number>();
  readonly #recentDemand: { at: number; prefillMs: number; decodeMs: number }[] = [];
  #nextIndex = 0;

  /**
   * @param fleet - the simulated engines
   * @param outcome - where the results are recorded
   * @param strategy - how engines are selected
   * @param adjustsRoles - whether roles follow the last minute's ratio of prefill to decode work
   */
  constructor(
    fleet: engineFleet.EngineFleet,
    outcome: outcomeModule.Outcome,
    strategy: SelectionStrategy,
    adjustsRoles: boolean,
  ) {
    this.#fleet = fleet;
    this.#outcome = outcome;
    this.#strategy = strategy;
    this.#connections = Array.from({ length: fleet.size }, () => 0);
    if (adjustsRoles) this.#scheduleRoleAdjustment();
  }

  /**
   * Withdraws an engine from new requests, or returns it to service.
   *
   * @param engine - index of the engine
   * @param withdrawn - whether the engine gets no new requests
   */
  setWithdrawn(engine: number, withdrawn: boolean): void {
    if (withdrawn) this.#withdrawn.add(engine);
    else this.#withdrawn.delete(engine);
  }

  /**
   * Routes a request that arrives now.
   *
   * @param request - the request
   */
  onRequest(request: traceModule.TraceRequest): void {
    this.#outcome.requests++;
    const demand = core.demandOf(core.PRIOR_COSTS, request.promptTokens, request.outputTokens);
    this.#recentDemand.push({ at: this.#fleet.now, ...demand });
    this.#startPrefill(request, this.#fleet.now);
  }

  #startPrefill(request: traceModule.TraceRequest, arrivedAt: number): void {
    const prefill = this.#chooseEngine(core.RequestPart.Prefill);
    if (prefill === undefined) {
      this.#outcome.refused++;
      this.#outcome.recordEnd(arrivedAt, false);
      return;
    }
    this.#run(prefill, request, core.RequestPart.Prefill, arrivedAt, () => {
      this.#startDecode(request, arrivedAt);
    });
  }

  #startDecode(request: traceModule.TraceRequest, arrivedAt: number): void {
    const decode = this.#chooseEngine(core.RequestPart.Decode);
    if (decode === undefined) {
      this.#fleet.schedule(100, () => {
        this.#startDecode(request, arrivedAt);
      });
      return;
    }
    this.#run(decode, request, core.RequestPart.Decode, arrivedAt, () => {
      const inTime = this.#fleet.now - arrivedAt <= request.deadlineMs;
      if (inTime) this.#outcome.inTime++;
      else this.#outcome.late++;
      this.#outcome.recordEnd(arrivedAt, inTime);
    });
  }

  #run(
    engine: number,
    request: traceModule.TraceRequest,
    part: core.RequestPart,
    arrivedAt: number,
    onDone: () => void,
  ): void {
    this.#outcome.attempts++;
    this.#connections[engine] = (this.#connections[engine] ?? 0) + 1;
    const release = (): void => {
      this.#connections[engine] = (this.#connections[engine] ?? 1) - 1;
    };
    this.#fleet.submit(engine, createJob(request, part), {
      onFirstToken: () => {
        this.#outcome.firstToken.recordValue(Math.max(1, Math.round(this.#fleet.now - arrivedAt)));
      },
      onDone: () => {
        release();
        onDone();
      },
      onRefused: () => {
        release();
        this.#fleet.schedule(100, () => {
          if (part === core.RequestPart.Decode) this.#startDecode(request, arrivedAt);
          else this.#startPrefill(request, arrivedAt);
        });
      },
    });
  }

  #chooseEngine(part: core.RequestPart): number | undefined {
    const wanted = part === core.RequestPart.Prefill ? core.EndpointRole.Prefill : core.EndpointRole.Decode;
    const available = this.#connections
      .map((connections, engine) => ({ connections, engine }))
      .filter(({ engine }) => this.#fleet.roleOf(engine) === wanted)
      .filter(
        ({ engine }) =>
          !this.#draining.has(engine) && !this.#withdrawn.has(engine) && !this.#fleet.isUnavailable(engine),
      );
    if (this.#strategy === SelectionStrategy.RoundRobin)
      return available[this.#nextIndex++ % Math.max(1, available.length)]?.engine;
    return available.sort((left, right) => left.connections - right.connections)[0]?.engine;
  }

  #scheduleRoleAdjustment(): void {
    this.#fleet.schedule(ROLE_ADJUSTMENT_INTERVAL_MS, () => {
      this.#adjustRoles();
      this.#scheduleRoleAdjustment();
    });
  }

  /** Changes the role of at most one engine at a time towards the last minute's ratio of prefill to decode work. */
  #adjustRoles(): void {
    const since = this.#fleet.now - DEMAND_WINDOW_MS;
    while (this.#recentDemand[0] && this.#recentDemand[0].at < since) this.#recentDemand.shift();
    const prefillMs = this.#recentDemand.reduce((sum, entry) => sum + entry.prefillMs, 0);
    const decodeMs = this.#recentDemand.reduce((sum, entry) => sum + entry.decodeMs, 0);
    if (this.#draining.size > 0 || prefillMs + decodeMs === 0) return;
    const engines = Array.from({ length: this.#fleet.size }, (_, engine) => engine);
    const prefills = engines.filter((engine) => this.#fleet.roleOf(engine) === core.EndpointRole.Prefill);
    const decodes = engines.filter((engine) => this.#fleet.roleOf(engine) === core.EndpointRole.Decode);
    const wanted = (this.#fleet.size * prefillMs) / (prefillMs + decodeMs);
    const [candidate] = wanted > prefills.length ? decodes : prefills;
    const shrinkingRole = wanted > prefills.length ? decodes : prefills;
    if (Math.abs(wanted - prefills.length) < MIN_ROLE_DEVIATION || shrinkingRole.length < 2 || candidate === undefined)
      return;
    const role = wanted > prefills.length ? core.EndpointRole.Prefill : core.EndpointRole.Decode;
    this.#draining.add(candidate);
    this.#changeRoleWhenIdle(candidate, role);
  }

  #changeRoleWhenIdle(engine: number, role: core.EndpointRole): void {
    this.#fleet.schedule(100, () => {
      if ((this.#connections[engine] ?? 0) > 0) {
        this.#changeRoleWhenIdle(engine, role);
        return;
      }
      this.#fleet.changeRole(engine, role);
      this.#draining.delete(engine);
    });
  }
}

/**
 * Creates the engine job for one part of a request.
 *
 * @param request - a request of a trace
 * @param part - the part to run
 * @returns the job to submit to an engine
 */
export function createJob(request: traceModule.TraceRequest, part: core.RequestPart): standIns.EngineJob {
  return {
    id: `${request.id}/${part}`,
    part: engineFleet.toJobPart(part),
    promptTokens: request.promptTokens,
    outputTokens: request.outputTokens,
    priority: 0,
    ...(request.prefix === undefined
      ? {}
      : { prefix: request.prefix, prefixTokens: traceModule.sharedPrefixTokens(request) }),
  };
}
