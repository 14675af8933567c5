import * as serving from "@camphorcourse/serving";
import type * as neverthrow from "neverthrow";
import type * as contexts from "./context.js";
import type * as orderAuthorities from "./orderAuthority.js";
import type * as ports from "./ports.js";

/** Interval at which the balance is looked at, in milliseconds. */
const LOOK_EVERY_MS = 300;

/** Time for an engine's answer to an order or a question, in milliseconds. */
const CALL_TIMEOUT_MS = 1_500;

/**
 * Time for which an engine gets no new work after an order, in milliseconds: it
 * finishes what runs and is away some seconds. Its registered role ends the wait
 * sooner; an order whose answer was lost may be carried out up to 12 s later.
 */
const CHANGING_MS = 12_500;

const OK = 200;
const ACCEPTED = 202;
const FENCED = 412;

interface EngineAnswer {
  readonly status: number;
  readonly body: Buffer;
}

/** What changing roles needs. */
export interface RoleChangerParts {
  readonly context: contexts.ServingContext;
  readonly authority: orderAuthorities.OrderAuthority;
  readonly store: ports.DurableStore;
  /** Key under which the last change is told to all daemons. */
  readonly changeKey: string;
  /** Tokens that all daemons' prompts need read in a millisecond. */
  readonly readTokensPerMs: () => number;
}

/** Gives engines another role when the mix of prompts and answers has shifted for good. */
export class RoleChanger {
  readonly #parts: RoleChangerParts;
  readonly #balances = new Map<string, serving.RoleBalance>();
  #busy = false;
  #timer: NodeJS.Timeout | undefined;

  /** @param parts - what it needs */
  constructor(parts: RoleChangerParts) {
    this.#parts = parts;
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
   * @param agoMs - how long ago it was made, in milliseconds
   */
  changed(service: string, agoMs: number): void {
    this.#balance(service).changed(performance.now() - agoMs);
  }

  #look(): void {
    const { context, authority } = this.#parts;
    if (this.#busy || authority.token() === undefined) return;
    for (const service of context.view.table?.configuration.services ?? []) {
      if (service.engine === undefined) continue;
      const change = this.#decide(service.name);
      if (change === undefined) continue;
      this.#busy = true;
      void this.#carryOut(service.name, change).finally(() => {
        this.#busy = false;
      });
      return;
    }
  }

  #decide(service: string): serving.RoleChange | undefined {
    const { view, board } = this.#parts.context;
    const now = performance.now();
    const engines = view.directory.serving(service).map((engine) => ({
      id: engine.id,
      role: view.roleToCome(engine, now),
      running: board.running(engine.id, now),
      slots: engine.slots,
    }));
    return this.#balance(service).decide({ engines, readTokensPerMs: this.#parts.readTokensPerMs(), now });
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
    const { format, log, view } = context;
    const engine = view.directory.serving(service).find((each) => each.id === change.endpointId);
    if (engine === undefined) return;
    this.changed(service, 0);
    const asked = await this.#ask(engine, format.engineQuestion());
    const state = asked === undefined ? undefined : format.readEngineState(asked.body);
    const hindrance = this.#hindranceOf(engine, state);
    if (state?.isOk() !== true || hindrance !== undefined) {
      log.info("role-change-put-off", { endpoint: engine.id, reason: hindrance });
      return;
    }
    // Between question and order the authority may have ended; the last look is right before sending.
    const token = authority.token();
    if (token === undefined) return;
    const order = { role: change.role, holder: context.settings.vm, token, expectedOrders: state.value.ordersAccepted };
    const until = performance.now() + CHANGING_MS;
    view.changing.set(engine.id, { until, role: change.role, bornAt: engine.bornAt });
    const answer = await this.#ask(engine, format.roleOrder(order));
    log.info("role-change", {
      endpoint: engine.id,
      from: engine.role,
      to: change.role,
      token,
      expectedOrders: order.expectedOrders,
      readingLoad: change.readingLoad.toFixed(2),
      streamsEach: change.streamsEach.toFixed(1),
      status: answer?.status ?? "no answer",
    });
    context.metrics.count("role_orders");
    if (answer?.status === FENCED) authority.refused();
    const carriedOut = answer === undefined || answer.status === ACCEPTED || answer.status === OK;
    if (!carriedOut) {
      view.changing.delete(engine.id);
      return;
    }
    await this.#tellChange(service, engine.id, change.role);
  }

  /**
   * An engine's count of orders starts anew with each life. An order that rests on
   * the entry of one life and the count of another could be carried out by an
   * engine that has just come, whose role nobody has looked at.
   */
  #hindranceOf(
    engine: serving.Endpoint,
    state: neverthrow.Result<ports.EngineState, string> | undefined,
  ): string | undefined {
    if (state === undefined) return "no answer";
    if (state.isErr()) return state.error;
    if (state.value.busy) return "busy";
    const { directory } = this.#parts.context.view;
    const { bornAt } = state.value;
    const otherLife = bornAt !== undefined && engine.bornAt !== undefined && bornAt !== engine.bornAt;
    return otherLife || !directory.isSameLife(engine) ? "started again" : undefined;
  }

  /** All daemons rest after a change, also those that may take the authority over. */
  async #tellChange(service: string, endpoint: string, role: serving.EngineRole): Promise<void> {
    const value = Buffer.from(JSON.stringify({ service, endpoint, role, at: Date.now() }));
    const put = { key: this.#parts.changeKey, value, lease: 0 };
    const written = await this.#parts.store.write({ conditions: [], puts: [put], removals: [] });
    if (written.isErr()) this.#parts.context.log.warn("role-change-not-told", { detail: written.error.detail });
  }

  #ask(engine: serving.Endpoint, call: ports.EngineCall): Promise<EngineAnswer | undefined> {
    return new Promise((resolve) => {
      const chunks: Buffer[] = [];
      let status = 0;
      const timer = setTimeout(() => {
        sending.cancel();
        resolve(undefined);
      }, CALL_TIMEOUT_MS);
      const done = (answer: EngineAnswer | undefined): void => {
        clearTimeout(timer);
        resolve(answer);
      };
      const sending = this.#parts.context.client.send(
        engine,
        {
          method: call.method,
          path: call.path,
          headers: call.headers(engine.id),
          body: call.body === undefined ? undefined : Buffer.from(call.body),
        },
        {
          onHead: (answerStatus) => {
            status = answerStatus;
            return true;
          },
          onData: (chunk) => chunks.push(chunk),
          onEnd: () => done({ status, body: Buffer.concat(chunks) }),
          onBroken: () => done(undefined),
        },
      );
    });
  }
}
