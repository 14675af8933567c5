import * as serving from "@camphorcourse/serving";
import * as neverthrow from "neverthrow";
import type * as contexts from "../context.js";
import * as engineCalls from "../engineCalls.js";
import type * as dutyLeases from "./dutyLease.js";
import type * as ports from "../ports.js";

/** Interval at which the balance of the roles is checked, in milliseconds. */
const CHECK_INTERVAL_MS = 300;

/**
 * Time for which an engine gets no new work after an order, in milliseconds: it finishes its running requests and is
 * then unavailable for some seconds. The time ends early once the engine registers with its new role.
 */
const CHANGING_MS = 12_500;

const OK = 200;
const ACCEPTED = 202;
const PRECONDITION_FAILED = 412;

/** What changing roles needs. */
export interface RoleChangerParts {
  readonly context: contexts.ServingContext;
  readonly lease: dutyLeases.DutyLease;
  readonly store: ports.DurableStore;
  /** Key under which the last change is published to all daemons. */
  readonly changeKey: string;
  /** Number of prefill engines that the prompts of all daemons keep busy. */
  readonly prefillLoad: () => number;
  /** Stream events per millisecond that the requests of all daemons ask for. */
  readonly eventsPerMs: () => number;
}

/** Orders engines to take another role after a lasting change in the ratio of prefill to decode work. */
export class RoleChanger {
  readonly #parts: RoleChangerParts;
  readonly #calls: engineCalls.EngineCalls;
  readonly #balances = new Map<string, serving.RoleBalance>();
  /** Engines that gave no answer or were busy, with the instant at which they were last asked, in milliseconds. */
  readonly #failedAt = new Map<string, number>();
  readonly #loggedOutlooks = new Map<string, string>();
  #busy = false;
  #timer: NodeJS.Timeout | undefined;

  /** @param parts - what it needs */
  constructor(parts: RoleChangerParts) {
    this.#parts = parts;
    this.#calls = new engineCalls.EngineCalls(parts.context);
  }

  /** Starts the periodic check. */
  start(): void {
    clearInterval(this.#timer);
    this.#timer = setInterval(() => this.#check(), CHECK_INTERVAL_MS);
  }

  /** Stops the periodic check. */
  stop(): void {
    clearInterval(this.#timer);
  }

  /**
   * Takes note of a role change that this daemon or another one has made.
   *
   * @param service - the engine's service
   * @param role - the engine's new role
   * @param agoMs - how long ago it was made, in milliseconds
   */
  noteRoleChange(service: string, role: serving.EngineRole, agoMs: number): void {
    this.#balance(service).recordChange(performance.now() - agoMs, role);
  }

  /** @param endpointId - an endpoint that is gone */
  forget(endpointId: string): void {
    this.#failedAt.delete(endpointId);
  }

  #check(): void {
    const { context, lease } = this.#parts;
    if (this.#busy || !lease.held) return;
    for (const service of context.view.table?.configuration.services ?? []) {
      if (service.engine === undefined) continue;
      const change = this.#decide(service.name, service.engine);
      this.#logOutlook(service.name);
      // Evaluated also while the authority is held but not yet usable: once it is, the need for the change has lasted.
      if (change === undefined || lease.token() === undefined) continue;
      this.#busy = true;
      void this.#carryOut(service.name, change).finally(() => {
        this.#busy = false;
      });
      return;
    }
  }

  #decide(service: string, limits: serving.EngineLimits): serving.RoleChange | undefined {
    const { distances, loads, demand, speeds, view } = this.#parts.context;
    const now = performance.now();
    const shareOf = this.#parts.context.limits.capacityShares(view.directory.availableEndpoints(service), now);
    const engines = view.directory.availableEndpoints(service).map((engine) => ({
      id: engine.id,
      role: view.targetRole(engine, now),
      running: loads.runningRequests(engine.id, now),
      slots: engine.slots,
      capacityShare: shareOf(engine),
      changing: view.isChangingRole(engine, now),
      failedAt: this.#failedAt.get(engine.id),
      region: distances?.regionOf(engine.dataCentre),
    }));
    return this.#balance(service).decide({
      engines,
      readingLoad: this.#parts.prefillLoad(),
      eventsPerMs: this.#parts.eventsPerMs(),
      speeds: speeds.of(service),
      streamCapacity: limits.memoryTokens / Math.max(1, demand.meanPromptTokens(now) ?? 1),
      now,
    });
  }

  /** Logs each change of the wanted role or the split of the roles; without it, nothing shows why no order was sent. */
  #logOutlook(service: string): void {
    const outlook = this.#balance(service).outlook;
    if (outlook === undefined) return;
    const { wanted, urgent, prefill, decode } = outlook;
    const summary = `${wanted} ${urgent} ${prefill} ${decode}`;
    if (this.#loggedOutlooks.get(service) === summary) return;
    this.#loggedOutlooks.set(service, summary);
    const { heldMs, cooldownMs: restMs } = outlook;
    this.#parts.context.log.info("role-outlook", {
      service,
      wanted,
      urgent,
      prefill,
      decode,
      heldMs: Math.round(heldMs),
      restMs: Math.round(restMs),
    });
  }

  #balance(service: string): serving.RoleBalance {
    let balance = this.#balances.get(service);
    if (balance === undefined) {
      balance = new serving.RoleBalance();
      this.#balances.set(service, balance);
    }
    return balance;
  }

  async #carryOut(service: string, change: serving.RoleChange): Promise<void> {
    const { context, lease } = this.#parts;
    const engine = context.view.directory.availableEndpoints(service).find((each) => each.id === change.endpointId);
    if (engine === undefined) return;
    this.#balance(service).putOff();
    const fetched = await this.#calls.fetchState(engine);
    const state = fetched.andThen((reported) => this.#checkState(engine, reported));
    if (state.isErr()) {
      this.#putOff(engine, state.error);
      return;
    }
    this.#failedAt.delete(engine.id);
    // The authority may have ended since the state was requested, so it is checked again right before the order is sent.
    const token = lease.token();
    if (token === undefined) return;
    const order = {
      role: change.role,
      holder: context.settings.vm,
      token,
      expectedOrders: state.value.ordersAccepted,
    };
    if (!(await this.#sendOrder(engine, change, order))) return;
    this.noteRoleChange(service, change.role, 0);
    await this.#publishChange(service, engine.id, change.role);
  }

  /** @returns whether the engine carries out the order */
  async #sendOrder(engine: serving.Endpoint, change: serving.RoleChange, order: ports.RoleOrder): Promise<boolean> {
    const { context, lease } = this.#parts;
    const { log, view } = context;
    const until = performance.now() + CHANGING_MS;
    view.pendingRoleChanges.set(engine.id, { until, role: change.role, bornAt: engine.bornAt });
    const status = await this.#calls.sendRoleOrder(engine, order);
    log.info("role-change", {
      endpoint: engine.id,
      from: engine.role,
      to: change.role,
      token: order.token,
      expectedOrders: order.expectedOrders,
      readingLoad: change.readingLoad.toFixed(2),
      streamsEach: change.streamsPerEngine.toFixed(1),
      status: status ?? "no answer",
    });
    context.metrics.count("role_orders");
    if (status === PRECONDITION_FAILED) lease.onTokenRefused();
    const accepted = status === undefined ? await this.#wasAccepted(engine, order) : isAcceptance(status);
    if (!accepted) view.pendingRoleChanges.delete(engine.id);
    return accepted;
  }

  /**
   * Asks the engine whether it has accepted an order that got no answer.
   *
   * An order lost on the way would otherwise keep the engine out of use, and the service without its role, for the whole
   * time of a change. If the engine has accepted no order since, this one may be sent again: both name the number of
   * orders before them, so that only one of two that arrive is carried out. An engine that has restarted has not
   * accepted an order that was sent to its earlier incarnation.
   */
  async #wasAccepted(engine: serving.Endpoint, order: ports.RoleOrder): Promise<boolean> {
    const state = await this.#calls.fetchState(engine);
    if (state.isErr()) {
      this.#putOff(engine, state.error);
      return false;
    }
    const restarted = this.#hasRestarted(engine, state.value);
    const accepted = !restarted && (state.value.busy || state.value.ordersAccepted !== order.expectedOrders);
    this.#parts.context.log.info("role-change-read-back", {
      endpoint: engine.id,
      accepted,
      startedAgain: restarted,
      expectedOrders: order.expectedOrders,
      ordersAccepted: state.value.ordersAccepted,
    });
    return accepted;
  }

  /** @returns the state, or why the engine can't take an order */
  #checkState(engine: serving.Endpoint, state: ports.EngineState): neverthrow.Result<ports.EngineState, string> {
    if (state.busy) return neverthrow.err("busy");
    if (this.#hasRestarted(engine, state)) return neverthrow.err("started again");
    return neverthrow.ok(state);
  }

  /**
   * Whether the state was reported by another incarnation than the known entry. An engine's count of orders restarts
   * with each incarnation: an order based on the entry of one and the count of another could be carried out by an engine
   * that has just started and whose role nobody has checked.
   */
  #hasRestarted(engine: serving.Endpoint, state: ports.EngineState): boolean {
    const { directory } = this.#parts.context.view;
    const { bornAt } = state;
    const otherIncarnation = bornAt !== undefined && engine.bornAt !== undefined && bornAt !== engine.bornAt;
    return otherIncarnation || !directory.isSameIncarnation(engine);
  }

  #putOff(engine: serving.Endpoint, reason: string): void {
    this.#failedAt.set(engine.id, performance.now());
    this.#parts.context.log.info("role-change-put-off", { endpoint: engine.id, reason });
  }

  /** Starts the cooldown at all daemons, including those that may take over the lease. */
  async #publishChange(service: string, endpoint: string, role: serving.EngineRole): Promise<void> {
    const value = Buffer.from(JSON.stringify({ service, endpoint, role, at: Date.now() }));
    const put = { key: this.#parts.changeKey, value, lease: 0 };
    const written = await this.#parts.store.write({ conditions: [], puts: [put], removals: [] });
    if (written.isErr()) this.#parts.context.log.warn("role-change-not-told", { detail: written.error.detail });
  }
}

function isAcceptance(status: number): boolean {
  return status === ACCEPTED || status === OK;
}
