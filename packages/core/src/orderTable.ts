import * as actions from "./actions.js";
import * as configuration from "./configuration.js";
import * as constants from "./constants.js";
import type * as orderContext from "./orderContext.js";
import * as orders from "./orders.js";
import * as timeline from "./timeline.js";

/** How far a planned change of one endpoint has come in this process. */
export interface EndpointChangeProgress {
  /** Set while a phase is being written, until the write's outcome is known. */
  writing: boolean;
  /** Set while an order is out: its number. */
  sending?: number;
  retryAt: number;
  drainSeenAt: number;
  settledAt: number;
  roleObserver?: orders.RoleChangeObserver;
  waitReason: string;
}

/** The endpoints' latest orders, and what is known here of their changes. */
export class OrderTable {
  readonly #context: orderContext.OrderContext;
  readonly #orders = new Map<string, orderContext.KnownOrder>();
  readonly #work = new Map<string, EndpointChangeProgress>();

  /** @param context - the daemon round the desk */
  constructor(context: orderContext.OrderContext) {
    this.#context = context;
  }

  /**
   * @param endpoint - `team/endpoint`
   * @returns its latest order
   */
  orderOf(endpoint: string): orderContext.KnownOrder | undefined {
    return this.#orders.get(endpoint);
  }

  /** @returns the latest order of every endpoint that ever had one */
  all(): orderContext.KnownOrder[] {
    return [...this.#orders.values()];
  }

  /** @param order - an endpoint's order, newer than the one known */
  update(order: orderContext.KnownOrder): void {
    this.#orders.set(order.record.endpoint, order);
  }

  /** @returns endpoints whose change waits, with the reasons */
  waiting(): Map<string, string> {
    const waits = [...this.#work].filter(([, work]) => work.waitReason !== "");
    return new Map(waits.map(([endpoint, work]) => [endpoint, work.waitReason]));
  }

  /**
   * @param endpoint - `team/endpoint`
   * @param now - current time
   * @returns the role that it has as far as is known
   */
  roleOf(endpoint: configuration.EndpointEntry, now: number): configuration.EndpointRole {
    const order = this.#orders.get(endpoint.id)?.record;
    if (order && order.phase !== orders.OrderPhase.Settled) return order.fromRole;
    const reported = this.#reportedRole(endpoint.id, now);
    if (reported) return reported;
    if (order) return order.targetRole;
    const chosen = endpoint.settings.role;
    return chosen === configuration.RoleChoice.Auto
      ? configuration.EndpointRole.Mixed
      : (chosen as unknown as configuration.EndpointRole);
  }

  /**
   * @param endpoint - `team/endpoint`
   * @returns whether its latest order lets it take new work
   */
  acceptsWork(endpoint: string): boolean {
    const order = this.#orders.get(endpoint)?.record;
    return order === undefined || order.phase === orders.OrderPhase.Settled;
  }

  /**
   * @param endpoint - `team/endpoint`
   * @param waitsFor - what its change waits for, empty if for nothing; a new reason is noted
   */
  setWaitReason(endpoint: string, waitsFor: string): void {
    const work = this.progressOf(endpoint);
    if (work.waitReason === waitsFor) return;
    work.waitReason = waitsFor;
    if (waitsFor === "") return;
    this.#context.emit({
      type: actions.ActionType.Note,
      note: { kind: timeline.EventKind.OrderWaits, fields: { endpoint, waitsFor } },
    });
  }

  /**
   * @param endpoint - `team/endpoint`
   * @returns what is known here of its change
   */
  progressOf(endpoint: string): EndpointChangeProgress {
    const present = this.#work.get(endpoint);
    if (present) return present;
    const fresh: EndpointChangeProgress = {
      writing: false,
      retryAt: 0,
      drainSeenAt: 0,
      settledAt: Number.NEGATIVE_INFINITY,
      waitReason: "",
    };
    this.#work.set(endpoint, fresh);
    return fresh;
  }

  /** A report that arrives soon after an order may still tell the role before it. */
  #reportedRole(endpoint: string, now: number): configuration.EndpointRole | undefined {
    const load = this.#context.loadOf(endpoint);
    if (!load || now - load.receivedAt > constants.VIEW_MAX_AGE_MS) return undefined;
    return load.receivedAt > this.progressOf(endpoint).settledAt + constants.MAX_REPORT_DELAY_MS
      ? load.report.role
      : undefined;
  }
}
