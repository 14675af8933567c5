import * as serving from "@camphorcourse/serving";
import * as neverthrow from "neverthrow";
import type * as contexts from "./context.js";
import * as engineCalls from "./engineCalls.js";
import type * as orderAuthorities from "./orderAuthority.js";
import type * as ports from "./ports.js";

/** Interval at which the balance is looked at, in milliseconds. */
const LOOK_EVERY_MS = 300;

/**
 * Time for which an engine gets no new work after an order, in milliseconds: it
 * finishes what runs and is away some seconds. Its registered role ends the wait
 * sooner.
 */
const CHANGING_MS = 12_500;

const OK = 200;
const ACCEPTED = 202;
const FENCED = 412;

/** What changing roles needs. */
export interface RoleChangerParts {
  readonly context: contexts.ServingContext;
  readonly authority: orderAuthorities.OrderAuthority;
  readonly store: ports.DurableStore;
  /** Key under which the last change is told to all daemons. */
  readonly changeKey: string;
  /** Prefill engines that reading all daemons' prompts keeps busy. */
  readonly prefillLoad: () => number;
  /** Events that all daemons' streams ask for in a millisecond. */
  readonly eventsPerMs: () => number;
}

/** Gives engines another role when the mix of prompts and answers has shifted for good. */
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

  /** Begins to look at the balance. */
  start(): void {
    this.#timer = setInterval(() => this.#look(), LOOK_EVERY_MS);
  }

  /** Ends changing roles. */
  stop(): void {
    clearInterval(this.#timer);
  }

  /**
   * @param service - a service of which a change became known
   * @param role - the engine's role to come
   * @param agoMs - how long ago it was made, in milliseconds
   */
  noteRoleChange(service: string, role: serving.EngineRole, agoMs: number): void {
    this.#balance(service).changed(performance.now() - agoMs, role);
  }

  /** @param endpointId - an endpoint that is gone */
  forget(endpointId: string): void {
    this.#failedAt.delete(endpointId);
  }

  #look(): void {
    const { context, authority } = this.#parts;
    if (this.#busy || !authority.held) return;
    for (const service of context.view.table?.configuration.services ?? []) {
      if (service.engine === undefined) continue;
      const change = this.#decide(service.name, service.engine);
      this.#logOutlook(service.name);
      // Looked at while the right is held and can't be used yet: by then the reason has held.
      if (change === undefined || authority.token() === undefined) continue;
      this.#busy = true;
      void this.#carryOut(service.name, change).finally(() => {
        this.#busy = false;
      });
      return;
    }
  }

  #decide(service: string, limits: serving.EngineLimits): serving.RoleChange | undefined {
    const { board, demand, speeds, view } = this.#parts.context;
    const now = performance.now();
    const engines = view.directory.serving(service).map((engine) => ({
      id: engine.id,
      role: view.roleToCome(engine, now),
      running: board.running(engine.id, now),
      slots: engine.slots,
      changing: view.isChanging(engine, now),
      failedAt: this.#failedAt.get(engine.id),
    }));
    return this.#balance(service).decide({
      engines,
      readingLoad: this.#parts.prefillLoad(),
      eventsPerMs: this.#parts.eventsPerMs(),
      speeds: speeds.of(service),
      streamsInMemory: limits.memoryTokens / Math.max(1, demand.meanPromptTokens(now) ?? 1),
      now,
    });
  }

  /** One line each time that another role is wanted or the split differs: without it nothing tells why no order came. */
  #logOutlook(service: string): void {
    const outlook = this.#balance(service).outlook;
    if (outlook === undefined) return;
    const { wanted, urgent, prefill, decode } = outlook;
    const seen = `${wanted} ${urgent} ${prefill} ${decode}`;
    if (this.#loggedOutlooks.get(service) === seen) return;
    this.#loggedOutlooks.set(service, seen);
    const { heldMs, restMs } = outlook;
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
    const { context, authority } = this.#parts;
    const engine = context.view.directory.serving(service).find((each) => each.id === change.endpointId);
    if (engine === undefined) return;
    this.#balance(service).putOff();
    const asked = await this.#calls.askState(engine);
    const state = asked.andThen((reported) => this.#checkState(engine, reported));
    if (state.isErr()) {
      this.#putOff(engine, state.error);
      return;
    }
    this.#failedAt.delete(engine.id);
    // Between question and order the authority may have ended; the last look is right before sending.
    const token = authority.token();
    if (token === undefined) return;
    const order = { role: change.role, holder: context.settings.vm, token, expectedOrders: state.value.ordersAccepted };
    if (!(await this.#give(engine, change, order))) return;
    this.noteRoleChange(service, change.role, 0);
    await this.#tellChange(service, engine.id, change.role);
  }

  /** @returns whether the engine carries the order out */
  async #give(engine: serving.Endpoint, change: serving.RoleChange, order: ports.RoleOrder): Promise<boolean> {
    const { context, authority } = this.#parts;
    const { log, view } = context;
    const until = performance.now() + CHANGING_MS;
    view.changing.set(engine.id, { until, role: change.role, bornAt: engine.bornAt });
    const status = await this.#calls.order(engine, order);
    log.info("role-change", {
      endpoint: engine.id,
      from: engine.role,
      to: change.role,
      token: order.token,
      expectedOrders: order.expectedOrders,
      readingLoad: change.readingLoad.toFixed(2),
      streamsEach: change.streamsEach.toFixed(1),
      status: status ?? "no answer",
    });
    context.metrics.count("role_orders");
    if (status === FENCED) authority.refused();
    const accepted = status === undefined ? await this.#wasAccepted(engine, order) : isAcceptance(status);
    if (!accepted) view.changing.delete(engine.id);
    return accepted;
  }

  /**
   * An order without an answer is open until the engine has been asked again. One
   * that was lost on the way would otherwise keep the engine out of use, and the
   * service without its role, for the whole time of a change. If the engine has
   * accepted none since, the order may be given again: both name the number of
   * orders before them, so that only one of two that arrive is carried out. A later
   * life has accepted nothing that was sent to the one before.
   */
  async #wasAccepted(engine: serving.Endpoint, order: ports.RoleOrder): Promise<boolean> {
    const state = await this.#calls.askState(engine);
    if (state.isErr()) {
      this.#putOff(engine, state.error);
      return false;
    }
    const startedAgain = this.#hasStartedAgain(engine, state.value);
    const accepted = !startedAgain && (state.value.busy || state.value.ordersAccepted !== order.expectedOrders);
    this.#parts.context.log.info("role-change-read-back", {
      endpoint: engine.id,
      accepted,
      startedAgain,
      expectedOrders: order.expectedOrders,
      ordersAccepted: state.value.ordersAccepted,
    });
    return accepted;
  }

  /** @returns the state, or what keeps the engine from an order */
  #checkState(engine: serving.Endpoint, state: ports.EngineState): neverthrow.Result<ports.EngineState, string> {
    if (state.busy) return neverthrow.err("busy");
    if (this.#hasStartedAgain(engine, state)) return neverthrow.err("started again");
    return neverthrow.ok(state);
  }

  /**
   * An engine's count of orders starts anew with each life. An order that rests on
   * the entry of one life and the count of another could be carried out by an
   * engine that has just come, whose role nobody has looked at.
   */
  #hasStartedAgain(engine: serving.Endpoint, state: ports.EngineState): boolean {
    const { directory } = this.#parts.context.view;
    const { bornAt } = state;
    const otherLife = bornAt !== undefined && engine.bornAt !== undefined && bornAt !== engine.bornAt;
    return otherLife || !directory.isSameLife(engine);
  }

  #putOff(engine: serving.Endpoint, reason: string): void {
    this.#failedAt.set(engine.id, performance.now());
    this.#parts.context.log.info("role-change-put-off", { endpoint: engine.id, reason });
  }

  /** All daemons rest after a change, also those that may take the authority over. */
  async #tellChange(service: string, endpoint: string, role: serving.EngineRole): Promise<void> {
    const value = Buffer.from(JSON.stringify({ service, endpoint, role, at: Date.now() }));
    const put = { key: this.#parts.changeKey, value, lease: 0 };
    const written = await this.#parts.store.write({ conditions: [], puts: [put], removals: [] });
    if (written.isErr()) this.#parts.context.log.warn("role-change-not-told", { detail: written.error.detail });
  }
}

function isAcceptance(status: number): boolean {
  return status === ACCEPTED || status === OK;
}
