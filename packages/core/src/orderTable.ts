import * as actions from "./actions.js";
import * as configuration from "./configuration.js";
import * as constants from "./constants.js";
import type * as orderContext from "./orderContext.js";
import * as orders from "./orders.js";
import * as timeline from "./timeline.js";

/** This process's state of a planned change of one endpoint. */
export interface EndpointChangeProgress {
  /** True while a phase is being written, until the write's outcome is known. */
  writing: boolean;
  /** Number of the order that was sent and not yet answered, if any. */
  sending?: number;
  retryAt: number;
  drainSeenAt: number;
  settledAt: number;
  roleObserver?: orders.RoleChangeObserver;
  waitReason: string;
}

/** The endpoints' latest orders, and this process's progress in carrying them out. */
export class OrderTable {
  readonly #context: orderContext.OrderContext;
  readonly #orders = new Map<string, orderContext.KnownOrder>();
  readonly #progress = new Map<string, EndpointChangeProgress>();

  /** @param context - dependencies */
  constructor(context: orderContext.OrderContext) {
    this.#context = context;
  }

  /**
   * @param endpoint - `team/endpoint`
   * @returns its latest order, if any
   */
  orderOf(endpoint: string): orderContext.KnownOrder | undefined {
    return this.#orders.get(endpoint);
  }

  /** @returns the latest order of every endpoint that has had one */
  all(): orderContext.KnownOrder[] {
    return [...this.#orders.values()];
  }

  /** @param order - an endpoint's order, newer than the known one */
  update(order: orderContext.KnownOrder): void {
    this.#orders.set(order.record.endpoint, order);
  }

  /** @returns the endpoints whose change is waiting, each with the reasons */
  waiting(): Map<string, string> {
    const waiting = [...this.#progress].filter(([, progress]) => progress.waitReason !== "");
    return new Map(waiting.map(([endpoint, progress]) => [endpoint, progress.waitReason]));
  }

  /**
   * @param endpoint - the endpoint
   * @param now - current time
   * @returns its role, as far as known: from an unfinished order, a recent load report, the last order or the configuration
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
   * @returns whether it may be given new requests: it has no order, or its latest one is settled
   */
  acceptsWork(endpoint: string): boolean {
    const order = this.#orders.get(endpoint)?.record;
    return order === undefined || order.phase === orders.OrderPhase.Settled;
  }

  /**
   * Sets why an endpoint's change waits, and adds a new reason to the timeline.
   *
   * @param endpoint - `team/endpoint`
   * @param reason - the reason, empty if the change doesn't wait
   */
  setWaitReason(endpoint: string, reason: string): void {
    const progress = this.progressOf(endpoint);
    if (progress.waitReason === reason) return;
    progress.waitReason = reason;
    if (reason === "") return;
    this.#context.emit({
      type: actions.ActionType.Note,
      note: { kind: timeline.EventKind.OrderWaits, fields: { endpoint, waitsFor: reason } },
    });
  }

  /**
   * @param endpoint - `team/endpoint`
   * @returns this process's progress in its change
   */
  progressOf(endpoint: string): EndpointChangeProgress {
    const present = this.#progress.get(endpoint);
    if (present) return present;
    const created: EndpointChangeProgress = {
      writing: false,
      retryAt: 0,
      drainSeenAt: 0,
      settledAt: Number.NEGATIVE_INFINITY,
      waitReason: "",
    };
    this.#progress.set(endpoint, created);
    return created;
  }

  /** Returns the role of a recent report, unless the report came so soon after an order that it may predate the order. */
  #reportedRole(endpoint: string, now: number): configuration.EndpointRole | undefined {
    const load = this.#context.loadOf(endpoint);
    if (!load || now - load.receivedAt > constants.VIEW_MAX_AGE_MS) return undefined;
    return load.receivedAt > this.progressOf(endpoint).settledAt + constants.MAX_REPORT_DELAY_MS
      ? load.report.role
      : undefined;
  }
}
