import * as actions from "./actions.js";
import * as changeChooser from "./changeChooser.js";
import * as configuration from "./configuration.js";
import * as constants from "./constants.js";
import * as controlKeys from "./controlKeys.js";
import * as drains from "./drains.js";
import * as events from "./events.js";
import * as keyValue from "./keyValueTypes.js";
import * as orderTable from "./orderTable.js";
import type * as orderContext from "./orderContext.js";
import * as orders from "./orders.js";
import * as orderWriter from "./orderWriter.js";
import * as takeoverGuard from "./takeoverGuard.js";
import * as timeline from "./timeline.js";

/**
 * Planned changes of endpoints, carried out by the daemon that holds the shard's
 * lease: drain, write the intention, order, write the outcome. Each step is one
 * record in the key-value service, written under the condition that the lease
 * still stands, so that a successor can tell how far its predecessor came.
 */
export class OrderManager {
  readonly #context: orderContext.OrderContext;
  readonly #book: orderTable.OrderTable;
  readonly #writer: orderWriter.OrderWriter;
  readonly #takeoverGuard: takeoverGuard.TakeoverGuard;
  readonly #chooser: changeChooser.ChangeChooser;

  /** @param context - the daemon round the desk */
  constructor(context: orderContext.OrderContext) {
    this.#context = context;
    this.#book = new orderTable.OrderTable(context);
    this.#writer = new orderWriter.OrderWriter(context, this.#book);
    this.#takeoverGuard = new takeoverGuard.TakeoverGuard(context);
    this.#chooser = new changeChooser.ChangeChooser({
      tree: context.tree,
      poolOf: (service) => context.poolOf(service),
      hasReported: (endpoint) => context.loadOf(endpoint) !== undefined,
      isSettled: (endpoint) => this.#book.acceptsWork(endpoint),
      roleOf: (endpoint, now) => this.#book.roleOf(endpoint, now),
    });
  }

  /**
   * @param endpoint - `team/endpoint`
   * @returns its latest order
   */
  orderOf(endpoint: string): orderContext.KnownOrder | undefined {
    return this.#book.orderOf(endpoint);
  }

  /** @returns endpoints whose change waits, with the reasons */
  waiting(): Map<string, string> {
    return this.#book.waiting();
  }

  /**
   * @param endpoint - `team/endpoint`
   * @param now - current time
   * @returns the role that it has as far as is known
   */
  roleOf(endpoint: configuration.EndpointEntry, now: number): configuration.EndpointRole {
    return this.#book.roleOf(endpoint, now);
  }

  /**
   * @param endpoint - `team/endpoint`
   * @returns whether its latest order lets it take new work
   */
  acceptsWork(endpoint: string): boolean {
    return this.#book.acceptsWork(endpoint);
  }

  /**
   * @param record - an order record that was read
   * @param revision - its revision
   * @param now - current time
   */
  onRecord(record: orders.OrderRecord, revision: number, now: number): void {
    const known = this.#book.orderOf(record.endpoint);
    if (known && known.revision >= revision) return;
    this.#book.update({ record, revision });
    const work = this.#book.progressOf(record.endpoint);
    work.writing = false;
    if (record.phase === orders.OrderPhase.Draining) {
      work.drainSeenAt = now;
      work.roleObserver = new orders.RoleChangeObserver(now + constants.MAX_REPORT_DELAY_MS);
    }
    if (record.phase === orders.OrderPhase.Settled) this.#onSettled(record, now);
  }

  /**
   * Advances the changes of all services whose shard this daemon holds.
   *
   * @param now - current time
   */
  onTick(now: number): void {
    this.#takeoverGuard.watchReplacements(
      this.#book.all().map(({ record }) => record),
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
    const work = this.#book.progressOf(endpoint);
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
    const work = this.#book.progressOf(endpoint);
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
    const work = this.#book.progressOf(endpoint);
    const known = this.#book.orderOf(endpoint);
    if (work.sending !== number || !known || known.record.number !== number) return;
    delete work.sending;
    if (outcome === events.OrderOutcome.Confirmed) {
      this.#writer.rewrite(known, { phase: orders.OrderPhase.Settled });
      return;
    }
    // A stale number or a lost reply: the order goes out again after a while,
    // with a higher number if a newer one was refused.
    work.retryAt = now + constants.ORDER_RETRY_MS;
    if (outcome === events.OrderOutcome.Stale) this.#writer.rewrite(known, { number: known.record.number + 1 });
  }

  /**
   * @param vm - the former holder's VM
   * @param incarnation - the process that answered
   * @param reset - whether it reset its order connections
   * @param shard - the shard
   */
  onDeposed(vm: string, incarnation: string, reset: boolean, shard: string): void {
    if (reset) this.#takeoverGuard.onDeposed(vm, incarnation, shard);
  }

  #advanceService(service: configuration.ServiceEntry, shard: string, epoch: number, now: number): void {
    const endpoints = this.#context.tree.endpointsOf(service.id);
    let busy = false;
    for (const endpoint of endpoints) {
      const known = this.#book.orderOf(endpoint.id);
      if (known && this.#advance(endpoint, known, shard, epoch, now)) busy = true;
    }
    if (busy) return;
    const change = this.#chooser.next(service, now);
    if (change) this.#writer.begin(change, epoch, now);
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
    const work = this.#book.progressOf(endpoint.id);
    if (record.phase === orders.OrderPhase.Settled) return false;
    if (work.writing || now < work.retryAt) return true;
    if (record.phase === orders.OrderPhase.Drained) return this.#reopenIfWanted(endpoint, known, epoch);
    if (record.phase === orders.OrderPhase.Draining) this.#advanceDrain(endpoint, known, epoch, now);
    else this.#advanceOrder(endpoint, known, shard, epoch, now);
    return true;
  }

  #reopenIfWanted(endpoint: configuration.EndpointEntry, known: orderContext.KnownOrder, epoch: number): boolean {
    if (endpoint.settings.state === configuration.EndpointState.Draining) return false;
    this.#writer.rewrite(known, { phase: orders.OrderPhase.Settled, epoch, reason: "reopened by the operator" });
    return true;
  }

  #advanceDrain(
    endpoint: configuration.EndpointEntry,
    known: orderContext.KnownOrder,
    epoch: number,
    now: number,
  ): void {
    const { record } = known;
    const work = this.#book.progressOf(endpoint.id);
    const forOperator = record.targetRole === record.fromRole;
    if (forOperator && endpoint.settings.state === configuration.EndpointState.Active) {
      this.#writer.rewrite(known, { phase: orders.OrderPhase.Settled, epoch, reason: "reopened by the operator" });
      return;
    }
    const load = this.#context.loadOf(endpoint.id);
    const reportedSince = work.drainSeenAt + constants.MAX_REPORT_DELAY_MS;
    const reported = load && load.receivedAt > reportedSince ? load.report.running + load.report.waiting : undefined;
    const plain = this.#context.tree.service(endpoint.serviceId)?.settings.kind === configuration.ServiceKind.Plain;
    const blockers = drains.drainBlockers(
      {
        endpoint: endpoint.id,
        recordRevision: known.revision,
        ownInFlight: this.#context.poolOf(endpoint.serviceId)?.endpoint(endpoint.id)?.inFlight ?? 0,
        reportedRequests: reported,
        needsEndpointReport: !plain && this.#context.roster.hasRecentLoss(now),
      },
      this.#context.roster,
    );
    this.#book.setWaitReason(endpoint.id, blockers.join("; "));
    if (blockers.length > 0) return;
    const phase = forOperator ? orders.OrderPhase.Drained : orders.OrderPhase.Intended;
    this.#writer.rewrite(known, { phase, epoch });
  }

  #advanceOrder(
    endpoint: configuration.EndpointEntry,
    known: orderContext.KnownOrder,
    shard: string,
    epoch: number,
    now: number,
  ): void {
    const { record } = known;
    const work = this.#book.progressOf(endpoint.id);
    if (work.sending !== undefined) return;
    if (work.roleObserver?.hasSeenChange) {
      this.#writer.rewrite(known, { phase: orders.OrderPhase.Settled, epoch });
      return;
    }
    const own = record.incarnation === this.#context.incarnation && record.epoch === epoch;
    if (!own) {
      const verdict = this.#takeoverGuard.decide(endpoint.settings.checksFencing, record, { shard, epoch }, now);
      this.#book.setWaitReason(endpoint.id, verdict.allowed ? "" : verdict.reason);
      if (!verdict.allowed) return;
      this.#writer.rewrite(known, { epoch, number: record.number + 1 });
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

  #onSettled(record: orders.OrderRecord, now: number): void {
    this.#book.progressOf(record.endpoint).settledAt = now;
    const endpoint = this.#context.tree.endpoint(record.endpoint);
    const pool = endpoint && this.#context.poolOf(endpoint.serviceId);
    pool?.planner.onRoleChanged(now);
    if (record.fromRole !== record.targetRole) pool?.endpoint(record.endpoint)?.forgetPrefixes();
    this.#book.setWaitReason(record.endpoint, "");
  }

  /** Every daemon watches, since any may have to succeed the holder. */
  #watchRoles(): void {
    for (const { record } of this.#book.all()) {
      const load = this.#context.loadOf(record.endpoint);
      if (load)
        this.#book.progressOf(record.endpoint).roleObserver?.onReport(record, load.report.role, load.receivedAt);
    }
  }

  #hasDrains(service: string): boolean {
    return this.#context.tree
      .endpointsOf(service)
      .some(
        (endpoint) =>
          endpoint.settings.state === configuration.EndpointState.Draining || !this.#book.acceptsWork(endpoint.id),
      );
  }

  #note(kind: timeline.EventKind, record: orders.OrderRecord): void {
    const { endpoint, number, epoch, targetRole } = record;
    this.#context.emit({
      type: actions.ActionType.Note,
      note: { kind, fields: { endpoint, number, epoch, targetRole } },
    });
  }
}
