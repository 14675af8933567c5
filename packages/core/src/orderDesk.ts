import * as actions from "./actions.js";
import * as changeChooser from "./changeChooser.js";
import * as configuration from "./configuration.js";
import * as constants from "./constants.js";
import * as controlKeys from "./controlKeys.js";
import * as drains from "./drains.js";
import * as events from "./events.js";
import * as keyValue from "./keyValueTypes.js";
import type * as orderContext from "./orderContext.js";
import * as orders from "./orders.js";
import * as succession from "./succession.js";
import * as timeline from "./timeline.js";

interface EndpointWork {
  /** Set while a phase is being written, until the write's outcome is known. */
  writing: boolean;
  /** Set while an order is out: its number. */
  sending?: number;
  retryAt: number;
  drainSeenAt: number;
  settledAt: number;
  witness?: orders.RoleWitness;
  waitsFor: string;
}

/**
 * Planned changes of endpoints, carried out by the daemon that holds the shard's
 * lease: drain, write the intention, order, write the outcome. Each step is one
 * record in the key-value service, written under the condition that the lease
 * still stands, so that a successor can tell how far its predecessor came.
 */
export class OrderDesk {
  readonly #context: orderContext.OrderContext;
  readonly #orders = new Map<string, orderContext.KnownOrder>();
  readonly #work = new Map<string, EndpointWork>();
  readonly #succession: succession.Succession;
  readonly #chooser: changeChooser.ChangeChooser;

  /** @param context - the daemon round the desk */
  constructor(context: orderContext.OrderContext) {
    this.#context = context;
    this.#succession = new succession.Succession(context);
    this.#chooser = new changeChooser.ChangeChooser({
      tree: context.tree,
      poolOf: (service) => context.poolOf(service),
      hasReported: (endpoint) => context.loadOf(endpoint) !== undefined,
      isSettled: (endpoint) => this.acceptsWork(endpoint),
      roleOf: (endpoint, now) => this.roleOf(endpoint, now),
    });
  }

  /**
   * @param endpoint - `team/endpoint`
   * @returns its latest order
   */
  orderOf(endpoint: string): orderContext.KnownOrder | undefined {
    return this.#orders.get(endpoint);
  }

  /** @returns endpoints whose change waits, with the reasons */
  waiting(): Map<string, string> {
    const waits = [...this.#work].filter(([, work]) => work.waitsFor !== "");
    return new Map(waits.map(([endpoint, work]) => [endpoint, work.waitsFor]));
  }

  /**
   * @param record - an order record that was read
   * @param revision - its revision
   * @param now - current time
   */
  onRecord(record: orders.OrderRecord, revision: number, now: number): void {
    const known = this.#orders.get(record.endpoint);
    if (known && known.revision >= revision) return;
    this.#orders.set(record.endpoint, { record, revision });
    const work = this.#workOf(record.endpoint);
    work.writing = false;
    if (record.phase === orders.OrderPhase.Draining) {
      work.drainSeenAt = now;
      work.witness = new orders.RoleWitness(now + constants.REPORT_LAG_MS);
    }
    if (record.phase === orders.OrderPhase.Settled) this.#onSettled(record, now);
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
   * Advances the changes of all services whose shard this daemon holds.
   *
   * @param now - current time
   */
  onTick(now: number): void {
    this.#succession.watchReplacements(
      [...this.#orders.values()].map(({ record }) => record),
      now,
    );
    this.#watchRoles();
    if (!this.#context.leaseIsValid(now)) return;
    for (const service of this.#context.tree.services()) {
      const epoch = this.#context.shards.epochOf(service.shard, this.#context.incarnation);
      if (epoch === undefined) continue;
      if (service.settings.kind !== configuration.ServiceKind.Engine && !this.#hasDrains(service.id)) continue;
      this.#advanceService(service, service.shard, epoch, now);
    }
  }

  /**
   * @param endpoint - `team/endpoint`
   * @param result - how the write of its record ended
   * @param now - current time
   */
  onWritten(endpoint: string, result: keyValue.TransactionResult, now: number): void {
    const work = this.#workOf(endpoint);
    if (!work.writing) return;
    if (
      result.outcome === keyValue.TransactionOutcome.Unknown ||
      result.outcome === keyValue.TransactionOutcome.Refused
    ) {
      // The record itself tells whether our write stands: it carries our attempt.
      const key = controlKeys.controlKey(controlKeys.ControlKind.Order, endpoint);
      this.#context.emit({ type: actions.ActionType.ReadKeys, token: `order:${endpoint}`, prefix: key });
      return;
    }
    if (result.outcome === keyValue.TransactionOutcome.NotSent) {
      work.writing = false;
      work.retryAt = now + constants.ORDER_RETRY_MS;
    }
  }

  /**
   * The record of an endpoint was read back after a write whose outcome was open.
   *
   * @param endpoint - `team/endpoint`
   * @param read - whether the service could be asked
   * @param now - current time
   */
  onReadBack(endpoint: string, read: boolean, now: number): void {
    const work = this.#workOf(endpoint);
    work.writing = false;
    if (!read) work.retryAt = now + constants.ORDER_RETRY_MS;
  }

  /**
   * @param endpoint - `team/endpoint`
   * @param number - the order's number
   * @param outcome - how it ended
   * @param now - current time
   */
  onAnswered(endpoint: string, number: number, outcome: events.OrderOutcome, now: number): void {
    const work = this.#workOf(endpoint);
    const known = this.#orders.get(endpoint);
    if (work.sending !== number || !known || known.record.number !== number) return;
    delete work.sending;
    if (outcome === events.OrderOutcome.Confirmed) {
      this.#rewrite(known, { phase: orders.OrderPhase.Settled });
      return;
    }
    // A stale number or a lost reply: the order goes out again after a while,
    // with a higher number if a newer one was refused.
    work.retryAt = now + constants.ORDER_RETRY_MS;
    if (outcome === events.OrderOutcome.Stale) this.#rewrite(known, { number: known.record.number + 1 });
  }

  /**
   * @param vm - the former holder's VM
   * @param incarnation - the process that answered
   * @param reset - whether it reset its order connections
   * @param shard - the shard
   */
  onDeposed(vm: string, incarnation: string, reset: boolean, shard: string): void {
    if (reset) this.#succession.onDeposed(vm, incarnation, shard);
  }

  /** A report that arrives soon after an order may still tell the role before it. */
  #reportedRole(endpoint: string, now: number): configuration.EndpointRole | undefined {
    const load = this.#context.loadOf(endpoint);
    if (!load || now - load.at > constants.VIEW_FRESHNESS_MS) return undefined;
    return load.at > this.#workOf(endpoint).settledAt + constants.REPORT_LAG_MS ? load.report.role : undefined;
  }

  #advanceService(service: configuration.ServiceEntry, shard: string, epoch: number, now: number): void {
    const endpoints = this.#context.tree.endpointsOf(service.id);
    let busy = false;
    for (const endpoint of endpoints) {
      const known = this.#orders.get(endpoint.id);
      if (known && this.#advance(endpoint, known, shard, epoch, now)) busy = true;
    }
    if (busy) return;
    const change = this.#chooser.next(service, now);
    if (change) this.#begin(change, epoch, now);
  }

  /** Moves an unfinished change on; returns whether one of the service's engines is taken up by it. */
  #advance(
    endpoint: configuration.EndpointEntry,
    known: orderContext.KnownOrder,
    shard: string,
    epoch: number,
    now: number,
  ): boolean {
    const { record } = known;
    const work = this.#workOf(endpoint.id);
    if (record.phase === orders.OrderPhase.Settled) return false;
    if (work.writing || now < work.retryAt) return true;
    if (record.phase === orders.OrderPhase.Drained) return this.#reopenIfWanted(endpoint, known, epoch);
    if (record.phase === orders.OrderPhase.Draining) this.#advanceDrain(endpoint, known, epoch, now);
    else this.#advanceOrder(endpoint, known, shard, epoch, now);
    return true;
  }

  #reopenIfWanted(endpoint: configuration.EndpointEntry, known: orderContext.KnownOrder, epoch: number): boolean {
    if (endpoint.settings.state === configuration.EndpointState.Draining) return false;
    this.#rewrite(known, { phase: orders.OrderPhase.Settled, epoch, reason: "reopened by the operator" });
    return true;
  }

  #advanceDrain(
    endpoint: configuration.EndpointEntry,
    known: orderContext.KnownOrder,
    epoch: number,
    now: number,
  ): void {
    const { record } = known;
    const work = this.#workOf(endpoint.id);
    const forOperator = record.targetRole === record.fromRole;
    if (forOperator && endpoint.settings.state === configuration.EndpointState.Active) {
      this.#rewrite(known, { phase: orders.OrderPhase.Settled, epoch, reason: "reopened by the operator" });
      return;
    }
    const load = this.#context.loadOf(endpoint.id);
    const reportedSince = work.drainSeenAt + constants.REPORT_LAG_MS;
    const reported = load && load.at > reportedSince ? load.report.running + load.report.waiting : undefined;
    const plain = this.#context.tree.service(endpoint.serviceId)?.settings.kind === configuration.ServiceKind.Plain;
    const blockers = drains.drainBlockers(
      {
        endpoint: endpoint.id,
        recordRevision: known.revision,
        ownInFlight: this.#context.poolOf(endpoint.serviceId)?.endpoint(endpoint.id)?.inFlight ?? 0,
        endpointReports: reported,
        needsEndpointReport: !plain && this.#context.roster.hasVanishedLately(now),
      },
      this.#context.roster,
    );
    this.#setWaits(endpoint.id, work, blockers.join("; "));
    if (blockers.length > 0) return;
    const phase = forOperator ? orders.OrderPhase.Drained : orders.OrderPhase.Intended;
    this.#rewrite(known, { phase, epoch });
  }

  #advanceOrder(
    endpoint: configuration.EndpointEntry,
    known: orderContext.KnownOrder,
    shard: string,
    epoch: number,
    now: number,
  ): void {
    const { record } = known;
    const work = this.#workOf(endpoint.id);
    if (work.sending !== undefined) return;
    if (work.witness?.sawChange) {
      this.#rewrite(known, { phase: orders.OrderPhase.Settled, epoch });
      return;
    }
    const own = record.incarnation === this.#context.incarnation && record.epoch === epoch;
    if (!own) {
      const verdict = this.#succession.decide(endpoint.settings.checksFencing, record, { shard, epoch }, now);
      this.#setWaits(endpoint.id, work, verdict.allowed ? "" : verdict.reason);
      if (!verdict.allowed) return;
      this.#rewrite(known, { epoch, number: record.number + 1 });
      return;
    }
    work.sending = record.number;
    this.#note(timeline.EventKind.OrderSent, record);
    this.#context.emit({
      type: actions.ActionType.SendOrder,
      endpoint: endpoint.id,
      url: endpoint.settings.url,
      shard,
      epoch,
      number: record.number,
      role: record.targetRole,
    });
  }

  #begin(change: changeChooser.WantedChange, epoch: number, now: number): void {
    const { endpoint, fromRole, targetRole, reason } = change;
    const work = this.#workOf(endpoint.id);
    if (work.writing || now < work.retryAt) return;
    const known = this.#orders.get(endpoint.id);
    const number = (known?.record.number ?? 0) + 1;
    const { vm, incarnation } = this.#context;
    const attempt = this.#context.random.identifier();
    const phase = orders.OrderPhase.Draining;
    const record = {
      endpoint: endpoint.id,
      number,
      epoch,
      vm,
      incarnation,
      attempt,
      phase,
      fromRole,
      targetRole,
      reason,
    };
    this.#write(record, known?.revision ?? 0);
  }

  #rewrite(known: orderContext.KnownOrder, change: Partial<orders.OrderRecord>): void {
    const { vm, incarnation } = this.#context;
    const attempt = this.#context.random.identifier();
    this.#write({ ...known.record, ...change, vm, incarnation, attempt }, known.revision);
  }

  /**
   * The write names both the record's revision and the lease's: a holder whose
   * lease has ended can neither begin nor advance a change, however late its
   * write arrives.
   */
  #write(record: orders.OrderRecord, revision: number): void {
    const key = controlKeys.controlKey(controlKeys.ControlKind.Order, record.endpoint);
    const service = this.#context.tree.endpoint(record.endpoint)?.serviceId ?? "";
    const leaseKey = controlKeys.controlKey(controlKeys.ControlKind.Lease, configuration.controlShardOf(service));
    this.#workOf(record.endpoint).writing = true;
    this.#context.emit({
      type: actions.ActionType.Transact,
      token: `order:${record.endpoint}`,
      transaction: {
        conditions: [
          { key, kind: keyValue.RevisionKind.Modified, revision },
          { key: leaseKey, kind: keyValue.RevisionKind.Created, revision: record.epoch },
        ],
        puts: [{ key, value: JSON.stringify(record) }],
      },
    });
  }

  #onSettled(record: orders.OrderRecord, now: number): void {
    this.#workOf(record.endpoint).settledAt = now;
    const endpoint = this.#context.tree.endpoint(record.endpoint);
    const pool = endpoint && this.#context.poolOf(endpoint.serviceId);
    pool?.planner.onChanged(now);
    if (record.fromRole !== record.targetRole) pool?.endpoint(record.endpoint)?.forgetPrefixes();
    this.#setWaits(record.endpoint, this.#workOf(record.endpoint), "");
  }

  /** Every daemon watches, since any may have to succeed the holder. */
  #watchRoles(): void {
    for (const { record } of this.#orders.values()) {
      const load = this.#context.loadOf(record.endpoint);
      if (load) this.#workOf(record.endpoint).witness?.onReport(record, load.report.role, load.at);
    }
  }

  #hasDrains(service: string): boolean {
    return this.#context.tree
      .endpointsOf(service)
      .some(
        (endpoint) =>
          endpoint.settings.state === configuration.EndpointState.Draining || !this.acceptsWork(endpoint.id),
      );
  }

  #setWaits(endpoint: string, work: EndpointWork, waitsFor: string): void {
    if (work.waitsFor === waitsFor) return;
    work.waitsFor = waitsFor;
    if (waitsFor === "") return;
    this.#context.emit({
      type: actions.ActionType.Note,
      note: { kind: timeline.EventKind.OrderWaits, fields: { endpoint, waitsFor } },
    });
  }

  #workOf(endpoint: string): EndpointWork {
    const present = this.#work.get(endpoint);
    if (present) return present;
    const fresh: EndpointWork = {
      writing: false,
      retryAt: 0,
      drainSeenAt: 0,
      settledAt: Number.NEGATIVE_INFINITY,
      waitsFor: "",
    };
    this.#work.set(endpoint, fresh);
    return fresh;
  }

  #note(kind: timeline.EventKind, record: orders.OrderRecord): void {
    const { endpoint, number, epoch, targetRole } = record;
    this.#context.emit({
      type: actions.ActionType.Note,
      note: { kind, fields: { endpoint, number, epoch, targetRole } },
    });
  }
}
