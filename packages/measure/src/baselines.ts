import * as core from "@camphorcourse/core";
import type * as standIns from "@camphorcourse/stand-ins";
import * as engineFleet from "./engineFleet.js";
import type * as outcomeModule from "./outcome.js";
import * as traceModule from "./trace.js";

/** How a simple router picks among engines that serve a part. */
export enum Pick {
  RoundRobin = "round-robin",
  LeastConnections = "least-connections",
}

const FOLLOW_MS = 10_000;
const FOLLOWED_MINUTE_MS = 60_000;
/** Engines by which the wanted split must differ before the follower acts. */
const FOLLOW_THRESHOLD = 0.6;

/** Routers to beat: no admission, no deadlines, and roles that stay or follow the last minute's ratio. */
export class SimpleRouter {
  readonly #fleet: engineFleet.EngineFleet;
  readonly #outcome: outcomeModule.Outcome;
  readonly #pick: Pick;
  readonly #connections: number[];
  readonly #draining = new Set<number>();
  readonly #withdrawn = new Set<number>();
  readonly #recent: { at: number; prefillMs: number; decodeMs: number }[] = [];
  #turn = 0;

  /**
   * @param fleet - the engines
   * @param outcome - takes the results
   * @param pick - how to choose
   * @param followsRatio - whether roles follow the last minute's ratio
   */
  constructor(fleet: engineFleet.EngineFleet, outcome: outcomeModule.Outcome, pick: Pick, followsRatio: boolean) {
    this.#fleet = fleet;
    this.#outcome = outcome;
    this.#pick = pick;
    this.#connections = Array.from({ length: fleet.size }, () => 0);
    if (followsRatio) this.#followLater();
  }

  /**
   * @param engine - index of the engine
   * @param withdrawn - whether it takes no work
   */
  setWithdrawn(engine: number, withdrawn: boolean): void {
    if (withdrawn) this.#withdrawn.add(engine);
    else this.#withdrawn.delete(engine);
  }

  /** @param request - arrives now */
  onRequest(request: traceModule.TraceRequest): void {
    this.#outcome.requests++;
    const demand = core.demandOf(core.PRIOR_COSTS, request.promptTokens, request.outputTokens);
    this.#recent.push({ at: this.#fleet.now, ...demand });
    this.#begin(request, this.#fleet.now);
  }

  #begin(request: traceModule.TraceRequest, arrivedAt: number): void {
    const prefill = this.#choose(core.RequestPart.Prefill);
    if (prefill === undefined) {
      this.#outcome.refused++;
      this.#outcome.onEnded(arrivedAt, false);
      return;
    }
    this.#run(prefill, request, core.RequestPart.Prefill, arrivedAt, () => {
      this.#decode(request, arrivedAt);
    });
  }

  #decode(request: traceModule.TraceRequest, arrivedAt: number): void {
    const decode = this.#choose(core.RequestPart.Decode);
    if (decode === undefined) {
      this.#fleet.after(100, () => {
        this.#decode(request, arrivedAt);
      });
      return;
    }
    this.#run(decode, request, core.RequestPart.Decode, arrivedAt, () => {
      const inTime = this.#fleet.now - arrivedAt <= request.deadlineMs;
      if (inTime) this.#outcome.inTime++;
      else this.#outcome.late++;
      this.#outcome.onEnded(arrivedAt, inTime);
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
    this.#fleet.submit(engine, jobOf(request, part), {
      onFirstToken: () => {
        this.#outcome.firstToken.recordValue(Math.max(1, Math.round(this.#fleet.now - arrivedAt)));
      },
      onDone: () => {
        release();
        onDone();
      },
      onRefused: () => {
        release();
        this.#fleet.after(100, () => {
          if (part === core.RequestPart.Decode) this.#decode(request, arrivedAt);
          else this.#begin(request, arrivedAt);
        });
      },
    });
  }

  #choose(part: core.RequestPart): number | undefined {
    const wanted = part === core.RequestPart.Prefill ? core.EndpointRole.Prefill : core.EndpointRole.Decode;
    const open = this.#connections
      .map((connections, engine) => ({ connections, engine }))
      .filter(({ engine }) => this.#fleet.roleOf(engine) === wanted)
      .filter(
        ({ engine }) => !this.#draining.has(engine) && !this.#withdrawn.has(engine) && !this.#fleet.isAway(engine),
      );
    if (this.#pick === Pick.RoundRobin) return open[this.#turn++ % Math.max(1, open.length)]?.engine;
    return open.sort((left, right) => left.connections - right.connections)[0]?.engine;
  }

  #followLater(): void {
    this.#fleet.after(FOLLOW_MS, () => {
      this.#follow();
      this.#followLater();
    });
  }

  /** One engine at a time goes to the side that the last minute's ratio asks for. */
  #follow(): void {
    const since = this.#fleet.now - FOLLOWED_MINUTE_MS;
    while (this.#recent[0] && this.#recent[0].at < since) this.#recent.shift();
    const prefillMs = this.#recent.reduce((sum, entry) => sum + entry.prefillMs, 0);
    const decodeMs = this.#recent.reduce((sum, entry) => sum + entry.decodeMs, 0);
    if (this.#draining.size > 0 || prefillMs + decodeMs === 0) return;
    const engines = Array.from({ length: this.#fleet.size }, (_, engine) => engine);
    const prefills = engines.filter((engine) => this.#fleet.roleOf(engine) === core.EndpointRole.Prefill);
    const decodes = engines.filter((engine) => this.#fleet.roleOf(engine) === core.EndpointRole.Decode);
    const wanted = (this.#fleet.size * prefillMs) / (prefillMs + decodeMs);
    const [candidate] = wanted > prefills.length ? decodes : prefills;
    const side = wanted > prefills.length ? decodes : prefills;
    if (Math.abs(wanted - prefills.length) < FOLLOW_THRESHOLD || side.length < 2 || candidate === undefined) return;
    const role = wanted > prefills.length ? core.EndpointRole.Prefill : core.EndpointRole.Decode;
    this.#draining.add(candidate);
    this.#changeWhenEmpty(candidate, role);
  }

  #changeWhenEmpty(engine: number, role: core.EndpointRole): void {
    this.#fleet.after(100, () => {
      if ((this.#connections[engine] ?? 0) > 0) {
        this.#changeWhenEmpty(engine, role);
        return;
      }
      this.#fleet.changeRole(engine, role);
      this.#draining.delete(engine);
    });
  }
}

/**
 * @param request - a request of a trace
 * @param part - the part asked for
 * @returns the job at an engine
 */
export function jobOf(request: traceModule.TraceRequest, part: core.RequestPart): standIns.EngineJob {
  return {
    id: `${request.id}/${part}`,
    part: engineFleet.toJobPart(part),
    promptTokens: request.promptTokens,
    outputTokens: request.outputTokens,
    priority: 0,
    ...(request.prefix === undefined
      ? {}
      : { prefix: request.prefix, prefixTokens: traceModule.prefixTokensOf(request) }),
  };
}
