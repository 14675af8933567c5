import * as common from "@camphorcourse/common";
import * as core from "@camphorcourse/core";
import * as standIns from "@camphorcourse/stand-ins";
import * as baselines from "./baselines.js";
import type * as engineFleet from "./engineFleet.js";
import type * as outcomeModule from "./outcome.js";
import type * as traceModule from "./trace.js";

/** What differs between replays of the core's policy. */
export interface CoreRouterOptions {
  readonly daemons: number;
  readonly policy: core.PolicySettings;
  readonly seed: number;
  /** Whether refused callers retry after the delay that the refusal gives them. */
  readonly retriesRefused: boolean;
  /** Whether daemons tell their peers the load that they have on the endpoints. */
  readonly sharesLoad: boolean;
}

interface PendingRequest {
  readonly request: traceModule.TraceRequest;
  readonly arrivedAt: number;
  readonly isRetry: boolean;
}

const TICK_INTERVAL_MS = 100;
/** Latency of calls to the key-value service and of its watch events. */
const STORE_LATENCY_MS = 3;
/** Interval of the heartbeats between cores and of the engines' load reports. */
const HEARTBEAT_INTERVAL_MS = 1000;
const SYSTEM_TIME_START_MS = 1_700_000_000_000;
const WARM_UP_MS = 5000;

/** Replays a trace through one or more cores (one per daemon) in virtual time, with a simulated key-value service. */
export class CoreRouter {
  readonly #fleet: engineFleet.EngineFleet;
  readonly #outcome: outcomeModule.Outcome;
  readonly #trace: traceModule.Trace;
  readonly #options: CoreRouterOptions;
  readonly #store = new standIns.KeyValueStore();
  readonly #cores: core.Core[] = [];
  readonly #pending = new Map<string, PendingRequest>();
  readonly #withdrawn = new Set<number>();
  #version = 0;
  #keyValueDown = false;
  #nextCore = 0;

  /**
   * @param fleet - the simulated engines
   * @param outcome - where the results are recorded
   * @param trace - gives the team, the weight of role changes and the delay of load reports
   * @param options - what differs between replays
   */
  constructor(
    fleet: engineFleet.EngineFleet,
    outcome: outcomeModule.Outcome,
    trace: traceModule.Trace,
    options: CoreRouterOptions,
  ) {
    this.#fleet = fleet;
    this.#outcome = outcome;
    this.#trace = trace;
    this.#options = options;
    for (let index = 0; index < options.daemons; index++) this.#startCore(index);
    this.#writeTeamDocument();
    this.#store.subscribe((events) => {
      this.#notifyWatches(events);
    });
    this.#repeatEvery(1000, () => {
      if (!this.#keyValueDown) this.#store.expireLeases(fleet.now);
    });
    fleet.run(WARM_UP_MS);
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
    this.#writeTeamDocument();
  }

  /**
   * Makes the key-value service unreachable, or reachable again.
   *
   * @param down - whether it is unreachable
   */
  setKeyValueDown(down: boolean): void {
    this.#keyValueDown = down;
    if (!down) for (const target of this.#cores) this.#sendSnapshot(target);
  }

  /**
   * Sends a request that arrives now to the next core, in turn.
   *
   * @param request - the request
   */
  onRequest(request: traceModule.TraceRequest): void {
    this.#outcome.requests++;
    this.#send(request, false);
  }

  #send(request: traceModule.TraceRequest, isRetry: boolean): void {
    const target = this.#cores[this.#nextCore++ % this.#cores.length];
    if (target) this.#sendTo(target, request, isRetry);
  }

  #sendTo(target: core.Core, request: traceModule.TraceRequest, isRetry: boolean): void {
    const id = isRetry ? `${request.id}/again` : request.id;
    this.#pending.set(id, { request, arrivedAt: this.#fleet.now, isRetry });
    this.#handle(target, {
      type: core.EventType.RequestArrived,
      request: {
        id,
        team: this.#trace.team,
        service: `${this.#trace.team}/assist`,
        promptTokens: request.promptTokens,
        maximumOutputTokens: request.maximumOutputTokens,
        fingerprint: request.id,
        deadlineMs: request.deadlineMs,
        ...(request.prefix === undefined ? {} : { prefix: request.prefix }),
      },
    });
  }

  #startCore(index: number): void {
    const vm = `vm-${index + 1}`;
    const registration: core.Registration = {
      vm,
      dataCentre: "a",
      incarnation: `incarnation-${vm}`,
      callerUrl: vm,
      peerUrl: vm,
      adminUrl: vm,
      leaving: false,
    };
    const target = new core.Core({
      registration,
      seed: this.#options.seed + index,
      policy: this.#options.policy,
    });
    this.#cores.push(target);
    this.#sendSnapshot(target);
    this.#repeatEvery(TICK_INTERVAL_MS, () => {
      this.#handle(target, { type: core.EventType.Tick });
    });
    this.#repeatEvery(HEARTBEAT_INTERVAL_MS, () => {
      this.#sendReports(target);
    });
  }

  #handle(target: core.Core, event: core.CoreEvent): void {
    const before = performance.now();
    const actions = target.handle(event, { now: this.#fleet.now, systemTime: SYSTEM_TIME_START_MS + this.#fleet.now });
    this.#outcome.decisionMicroseconds += (performance.now() - before) * 1000;
    if (event.type === core.EventType.RequestArrived) this.#outcome.decisions++;
    for (const action of actions) this.#execute(target, action);
  }

  #execute(target: core.Core, action: core.Action): void {
    switch (action.type) {
      case core.ActionType.Dispatch:
        this.#dispatch(target, action);
        break;
      case core.ActionType.Refuse:
        this.#onRefused(target, action.request, action.problem);
        break;
      case core.ActionType.RenewLease:
        this.#renewLease(target, action.lease);
        break;
      case core.ActionType.Transact:
        this.#scheduleTransaction(target, action);
        break;
      case core.ActionType.SendOrder:
        this.#executeRoleOrder(target, action);
        break;
      default:
        break;
    }
  }

  #dispatch(target: core.Core, action: core.DispatchAction): void {
    const pending = this.#pending.get(action.request);
    if (!pending) return;
    this.#outcome.attempts++;
    const { request, attempt } = action;
    const job = { ...baselines.createJob(pending.request, action.part), id: attempt };
    this.#fleet.submit(engineIndex(action.endpoint), job, {
      onFirstToken: () => {
        this.#outcome.firstToken.recordValue(Math.max(1, Math.round(this.#fleet.now - pending.arrivedAt)));
        this.#handle(target, { type: core.EventType.FirstToken, request, attempt });
      },
      onDone: () => {
        if (action.part === core.RequestPart.Prefill) {
          this.#handle(target, { type: core.EventType.PrefillDone, request, attempt });
          return;
        }
        this.#onAnswered(pending);
        this.#pending.delete(request);
        const { outputTokens } = pending.request;
        this.#handle(target, {
          type: core.EventType.AnswerDone,
          request,
          attempt,
          outputTokens,
        });
      },
      onRefused: () => {
        this.#handle(target, {
          type: core.EventType.AttemptFailed,
          request,
          attempt,
          delivery: core.DeliveryStatus.NotRun,
        });
      },
    });
  }

  #onAnswered({ request, arrivedAt, isRetry }: PendingRequest): void {
    const inTime = this.#fleet.now - arrivedAt <= request.deadlineMs;
    if (isRetry) {
      if (inTime) this.#outcome.retriesInTime++;
      return;
    }
    if (inTime) this.#outcome.inTime++;
    else this.#outcome.late++;
    this.#outcome.recordEnd(arrivedAt, inTime);
  }

  #onRefused(target: core.Core, id: string, problem: common.Problem): void {
    const pending = this.#pending.get(id);
    this.#pending.delete(id);
    if (!pending || pending.isRetry) return;
    this.#outcome.refused++;
    this.#outcome.recordEnd(pending.arrivedAt, false);
    const waitMs = problem.retryAfterMs;
    if (!this.#options.retriesRefused || waitMs === undefined) return;
    this.#outcome.retries++;
    this.#fleet.schedule(waitMs, () => {
      // Callers keep the address that they resolved, so a retry goes to the same daemon.
      this.#sendTo(target, pending.request, true);
    });
  }

  #renewLease(target: core.Core, lease: string | undefined): void {
    const sentAt = this.#fleet.now;
    this.#fleet.schedule(STORE_LATENCY_MS, () => {
      if (this.#keyValueDown) {
        this.#handle(target, { type: core.EventType.KeyValueFailed });
        return;
      }
      const ttlMs = core.constants.LEASE_TTL_MS;
      const id = lease ?? this.#store.grantLease(ttlMs, this.#fleet.now);
      if (lease !== undefined && this.#store.keepAlive(lease, this.#fleet.now) === 0) {
        this.#handle(target, { type: core.EventType.LeaseLost });
        return;
      }
      this.#handle(target, { type: core.EventType.LeaseRenewed, lease: id, sentAt, ttlMs });
    });
  }

  #scheduleTransaction(target: core.Core, action: Extract<core.Action, { type: core.ActionType.Transact }>): void {
    const { token, transaction } = action;
    this.#fleet.schedule(STORE_LATENCY_MS, () => {
      const result = this.#keyValueDown
        ? { outcome: core.TransactionOutcome.NotSent, revision: 0 }
        : this.#applyTransaction(target, transaction);
      this.#handle(target, { type: core.EventType.Transacted, token, result });
    });
  }

  #applyTransaction(target: core.Core, transaction: core.Transaction): core.TransactionResult {
    const compares = transaction.conditions.map(({ key, kind, revision }) => ({
      key,
      target: kind,
      revision,
    }));
    const lease = target.leaseId ?? "0";
    const puts = transaction.puts.map(({ key, value, leased }) => ({
      kind: "put" as const,
      key,
      value,
      lease: leased ? lease : "0",
    }));
    const applied = this.#store.transact(compares, puts);
    const outcome = applied ? core.TransactionOutcome.Applied : core.TransactionOutcome.Refused;
    return { outcome, revision: this.#store.revision };
  }

  #executeRoleOrder(target: core.Core, action: core.SendOrderAction): void {
    const { endpoint, number, role } = action;
    const engine = engineIndex(endpoint);
    this.#fleet.changeRole(engine, role);
    const finish = (): void => {
      if (this.#fleet.isUnavailable(engine)) this.#fleet.schedule(100, finish);
      else {
        const outcome = core.OrderOutcome.Confirmed;
        this.#handle(target, {
          type: core.EventType.OrderAnswered,
          endpoint,
          number,
          outcome,
        });
      }
    };
    finish();
  }

  /** Sends a core's heartbeat to its peers, and the engines' load reports to the core. */
  #sendReports(target: core.Core): void {
    const report = target.heartbeat(this.#fleet.now);
    for (const other of this.#cores) {
      if (other === target) continue;
      const sentReport = this.#options.sharesLoad
        ? report
        : { ...report, shares: report.shares.map(withoutLoad), services: report.services.map(withoutQueue) };
      this.#handle(other, { type: core.EventType.PeerReported, report: sentReport });
    }
    if (!this.#keyValueDown) this.#handle(target, { type: core.EventType.KeyValueResponded, revision: 0 });
    for (let engine = 0; engine < this.#fleet.size; engine++) this.#sendLoadReport(target, engine);
  }

  #sendLoadReport(target: core.Core, engine: number): void {
    const report = {
      endpoint: `${this.#trace.team}/engine-${engine + 1}`,
      ...this.#fleet.loadOf(engine),
      role: this.#fleet.roleOf(engine),
    };
    this.#fleet.schedule(this.#trace.reportLagMs, () => {
      this.#handle(target, { type: core.EventType.LoadReported, report });
    });
  }

  #writeTeamDocument(): void {
    const endpoints = this.#trace.roles.map((_, index) => {
      const state = this.#withdrawn.has(index) ? "draining" : "active";
      return `  engine-${index + 1}: { service: assist, url: "http://10.0.0.${index + 1}", dataCentre: a, role: auto, state: ${state}, checksFencing: true }`;
    });
    const text = `team: ${this.#trace.team}
services:
  assist: { kind: engine, deadlineMs: 60000, limits: { concurrent: 5000 }, roleChangeWeight: ${this.#trace.roleChangeWeight} }
endpoints:
${endpoints.join("\n")}
`;
    const version = ++this.#version;
    const record: core.TeamRecord = { text, version, author: "replay", attempt: "", acceptedAt: 0 };
    const key = core.controlKey(core.ControlKind.Team, this.#trace.team);
    this.#store.transact([], [{ kind: "put", key, value: JSON.stringify(record), lease: "0" }]);
    if (version === 1) for (const target of this.#cores) this.#sendSnapshot(target);
  }

  #sendSnapshot(target: core.Core): void {
    const prefix = core.constants.CONTROL_PREFIX;
    const records = this.#store.range(prefix, core.prefixEnd(prefix)).map((stored) => ({ ...stored }));
    this.#handle(target, { type: core.EventType.ControlSnapshot, records, revision: this.#store.revision });
  }

  #notifyWatches(events: standIns.StoreEvent[]): void {
    if (this.#keyValueDown) return;
    const records = events.map(({ key, revision, stored }) =>
      stored ? { ...stored } : { key, value: "", createRevision: 0, modRevision: revision, deleted: true },
    );
    const completeRevision = events[0]?.revision ?? 0;
    this.#fleet.schedule(STORE_LATENCY_MS, () => {
      for (const target of this.#cores) {
        this.#handle(target, {
          type: core.EventType.ControlChanges,
          records,
          completeRevision,
        });
      }
    });
  }

  #repeatEvery(milliseconds: number, run: () => void): void {
    this.#fleet.schedule(milliseconds, () => {
      run();
      this.#repeatEvery(milliseconds, run);
    });
  }
}

function engineIndex(endpoint: string): number {
  return Number(/engine-(\d+)$/.exec(endpoint)?.[1] ?? "1") - 1;
}

function withoutLoad(share: core.EndpointShare): core.EndpointShare {
  return { ...share, prefillTokens: 0, streams: 0 };
}

function withoutQueue(share: core.ServiceShare): core.ServiceShare {
  return { ...share, waiting: { tokens: 0, requests: 0 } };
}
