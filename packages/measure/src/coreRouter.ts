import * as common from "@camphorcourse/common";
import * as core from "@camphorcourse/core";
import * as standIns from "@camphorcourse/stand-ins";
import * as baselines from "./baselines.js";
import type * as engineFleet from "./engineFleet.js";
import type * as outcomeModule from "./outcome.js";
import type * as traceModule from "./trace.js";

/** What varies between replays of our policy. */
export interface CoreRouterOptions {
  readonly daemons: number;
  readonly policy: core.PolicySettings;
  readonly seed: number;
  /** Whether refused callers come back when they were told to. */
  readonly comeBack: boolean;
  /** Whether daemons tell one another what they have at the endpoints. */
  readonly exchanges: boolean;
}

interface Pending {
  readonly request: traceModule.TraceRequest;
  readonly arrivedAt: number;
  readonly comeback: boolean;
}

const TICK_MS = 100;
const CALL_MS = 3;
const REPORT_MS = 1000;
const WALL_START = 1_700_000_000_000;
const WARM_UP_MS = 5000;

/** Our policy: one or more cores, handed the trace's events in virtual time. */
export class CoreRouter {
  readonly #fleet: engineFleet.EngineFleet;
  readonly #outcome: outcomeModule.Outcome;
  readonly #trace: traceModule.Trace;
  readonly #options: CoreRouterOptions;
  readonly #store = new standIns.KeyValueStore();
  readonly #cores: core.Core[] = [];
  readonly #pending = new Map<string, Pending>();
  readonly #withdrawn = new Set<number>();
  #version = 0;
  #keyValueDown = false;
  #turn = 0;

  /**
   * @param fleet - the engines
   * @param outcome - takes the results
   * @param trace - names team, weight and report lag
   * @param options - what varies
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
    for (let index = 0; index < options.daemons; index++) this.#start(index);
    this.#configure();
    this.#store.subscribe((events) => {
      this.#tellWatches(events);
    });
    this.#every(1000, () => {
      if (!this.#keyValueDown) this.#store.expireLeases(fleet.now);
    });
    fleet.run(WARM_UP_MS);
  }

  /**
   * @param engine - index of the engine
   * @param withdrawn - whether it takes no work
   */
  setWithdrawn(engine: number, withdrawn: boolean): void {
    if (withdrawn) this.#withdrawn.add(engine);
    else this.#withdrawn.delete(engine);
    this.#configure();
  }

  /** @param down - whether the key-value service is out of reach */
  setKeyValueDown(down: boolean): void {
    this.#keyValueDown = down;
    if (!down) for (const target of this.#cores) this.#readAll(target);
  }

  /** @param request - arrives now */
  onRequest(request: traceModule.TraceRequest): void {
    this.#outcome.requests++;
    this.#send(request, false);
  }

  #send(request: traceModule.TraceRequest, comeback: boolean): void {
    const target = this.#cores[this.#turn++ % this.#cores.length];
    if (target) this.#sendTo(target, request, comeback);
  }

  #sendTo(target: core.Core, request: traceModule.TraceRequest, comeback: boolean): void {
    const id = comeback ? `${request.id}/again` : request.id;
    this.#pending.set(id, { request, arrivedAt: this.#fleet.now, comeback });
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

  #start(index: number): void {
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
    const target = new core.Core({ registration, seed: this.#options.seed + index, policy: this.#options.policy });
    this.#cores.push(target);
    this.#readAll(target);
    this.#every(TICK_MS, () => {
      this.#handle(target, { type: core.EventType.Tick });
    });
    this.#every(REPORT_MS, () => {
      this.#exchange(target);
    });
  }

  #handle(target: core.Core, event: core.CoreEvent): void {
    const before = performance.now();
    const actions = target.handle(event, { now: this.#fleet.now, systemTime: WALL_START + this.#fleet.now });
    this.#outcome.decisionMicroseconds += (performance.now() - before) * 1000;
    if (event.type === core.EventType.RequestArrived) this.#outcome.decisions++;
    for (const action of actions) this.#carryOut(target, action);
  }

  #carryOut(target: core.Core, action: core.Action): void {
    switch (action.type) {
      case core.ActionType.Dispatch:
        this.#dispatch(target, action);
        break;
      case core.ActionType.Refuse:
        this.#onRefused(target, action.request, action.problem);
        break;
      case core.ActionType.RenewLease:
        this.#renew(target, action.lease);
        break;
      case core.ActionType.Transact:
        this.#transact(target, action);
        break;
      case core.ActionType.SendOrder:
        this.#order(target, action);
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
    const job = { ...baselines.jobOf(pending.request, action.part), id: attempt };
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
        this.#handle(target, { type: core.EventType.AnswerDone, request, attempt, outputTokens });
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

  #onAnswered({ request, arrivedAt, comeback }: Pending): void {
    const inTime = this.#fleet.now - arrivedAt <= request.deadlineMs;
    if (comeback) {
      if (inTime) this.#outcome.comebacksInTime++;
      return;
    }
    if (inTime) this.#outcome.inTime++;
    else this.#outcome.late++;
    this.#outcome.onEnded(arrivedAt, inTime);
  }

  #onRefused(target: core.Core, id: string, problem: common.Problem): void {
    const pending = this.#pending.get(id);
    this.#pending.delete(id);
    if (!pending || pending.comeback) return;
    this.#outcome.refused++;
    this.#outcome.onEnded(pending.arrivedAt, false);
    const waitMs = problem.retryAfterMs;
    if (!this.#options.comeBack || waitMs === undefined) return;
    this.#outcome.comebacks++;
    this.#fleet.after(waitMs, () => {
      // A caller keeps the address that it was given, so it comes back to the same daemon.
      this.#sendTo(target, pending.request, true);
    });
  }

  #renew(target: core.Core, lease: string | undefined): void {
    const sentAt = this.#fleet.now;
    this.#fleet.after(CALL_MS, () => {
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

  #transact(target: core.Core, action: Extract<core.Action, { type: core.ActionType.Transact }>): void {
    const { token, transaction } = action;
    this.#fleet.after(CALL_MS, () => {
      const result = this.#keyValueDown
        ? { outcome: core.TransactionOutcome.NotSent, revision: 0 }
        : this.#apply(target, transaction);
      this.#handle(target, { type: core.EventType.Transacted, token, result });
    });
  }

  #apply(target: core.Core, transaction: core.Transaction): core.TransactionResult {
    const compares = transaction.conditions.map(({ key, kind, revision }) => ({ key, target: kind, revision }));
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

  #order(target: core.Core, action: core.SendOrderAction): void {
    const { endpoint, number, role } = action;
    const engine = engineIndex(endpoint);
    this.#fleet.changeRole(engine, role);
    const finish = (): void => {
      if (this.#fleet.isAway(engine)) this.#fleet.after(100, finish);
      else {
        const outcome = core.OrderOutcome.Confirmed;
        this.#handle(target, { type: core.EventType.OrderAnswered, endpoint, number, outcome });
      }
    };
    finish();
  }

  #exchange(target: core.Core): void {
    const report = target.heartbeat(this.#fleet.now);
    for (const other of this.#cores) {
      if (other === target) continue;
      const told = this.#options.exchanges
        ? report
        : { ...report, shares: report.shares.map(withoutUse), services: report.services.map(withoutWaiting) };
      this.#handle(other, { type: core.EventType.PeerReported, report: told });
    }
    if (!this.#keyValueDown) this.#handle(target, { type: core.EventType.KeyValueResponded, revision: 0 });
    for (let engine = 0; engine < this.#fleet.size; engine++) this.#report(target, engine);
  }

  #report(target: core.Core, engine: number): void {
    const report = {
      endpoint: `${this.#trace.team}/engine-${engine + 1}`,
      ...this.#fleet.loadOf(engine),
      role: this.#fleet.roleOf(engine),
    };
    this.#fleet.after(this.#trace.reportLagMs, () => {
      this.#handle(target, { type: core.EventType.LoadReported, report });
    });
  }

  #configure(): void {
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
    if (version === 1) for (const target of this.#cores) this.#readAll(target);
  }

  #readAll(target: core.Core): void {
    const prefix = core.constants.CONTROL_PREFIX;
    const records = this.#store.range(prefix, core.prefixEnd(prefix)).map((stored) => ({ ...stored }));
    this.#handle(target, { type: core.EventType.ControlSnapshot, records, revision: this.#store.revision });
  }

  #tellWatches(events: standIns.StoreEvent[]): void {
    if (this.#keyValueDown) return;
    const records = events.map(({ key, revision, stored }) =>
      stored ? { ...stored } : { key, value: "", createRevision: 0, modRevision: revision, deleted: true },
    );
    const completeRevision = events[0]?.revision ?? 0;
    this.#fleet.after(CALL_MS, () => {
      for (const target of this.#cores) {
        this.#handle(target, { type: core.EventType.ControlChanges, records, completeRevision });
      }
    });
  }

  #every(milliseconds: number, run: () => void): void {
    this.#fleet.after(milliseconds, () => {
      run();
      this.#every(milliseconds, run);
    });
  }
}

function engineIndex(endpoint: string): number {
  return Number(/engine-(\d+)$/.exec(endpoint)?.[1] ?? "1") - 1;
}

function withoutUse(share: core.EndpointShare): core.EndpointShare {
  return { ...share, prefillTokens: 0, streams: 0 };
}

function withoutWaiting(share: core.ServiceShare): core.ServiceShare {
  return { ...share, waiting: { tokens: 0, requests: 0 } };
}
