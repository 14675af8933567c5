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
 * Carries out planned changes of endpoints at the daemon that holds the shard's
 * lease: drain, write the intention, send the order, write the outcome. Each
 * step updates the endpoint's record in the key-value service on the condition
 * that the lease is still held, so that a successor can tell how far the former
 * holder got.
 */
export class OrderManager {
  readonly #context: orderContext.OrderContext;
  readonly #table: orderTable.OrderTable;
  readonly #writer: orderWriter.OrderWriter;
  readonly #takeoverGuard: takeoverGuard.TakeoverGuard;
  readonly #chooser: changeChooser.ChangeChooser;

  /** @param context - dependencies */
  constructor(context: orderContext.OrderContext) {
    this.#context = context;
    this.#table = new orderTable.OrderTable(context);
    this.#writer = new orderWriter.OrderWriter(context, this.#table);
    this.#takeoverGuard = new takeoverGuard.TakeoverGuard(context);
    this.#chooser = new changeChooser.ChangeChooser({
      tree: context.tree,
      poolOf: (service) => context.poolOf(service),
      hasReported: (endpoint) => context.loadOf(endpoint) !== undefined,
      isSettled: (endpoint) => this.#table.acceptsWork(endpoint),
      roleOf: (endpoint, now) => this.#table.roleOf(endpoint, now),
    });
  }

  /**
   * @param endpoint - `team/endpoint`
   * @returns its latest order, if any
   */
  orderOf(endpoint: string): orderContext.KnownOrder | undefined {
    return this.#table.orderOf(endpoint);
  }

  /** @returns the endpoints whose change is waiting, each with the reasons */
  waiting(): Map<string, string> {
    return this.#table.waiting();
  }

  /**
   * @param endpoint - the endpoint
   * @param now - current time
   * @returns its role, as far as known
   */
  roleOf(endpoint: configuration.EndpointEntry, now: number): configuration.EndpointRole {
    return this.#table.roleOf(endpoint, now);
  }

  /**
   * @param endpoint - `team/endpoint`
   * @returns whether it may be given new requests: it has no order, or its latest one is settled
   */
  acceptsWork(endpoint: string): boolean {
    return this.#table.acceptsWork(endpoint);
  }

  /**
   * @param record - an order record that was read
   * @param revision - its revision
   * @param now - current time
   */
  onRecord(record: orders.OrderRecord, revision: number, now: number): void {
    const known = this.#table.orderOf(record.endpoint);
    if (known && known.revision >= revision) return;
    this.#table.update({ record, revision });
    const progress = this.#table.progressOf(record.endpoint);
    progress.writing = false;
    if (record.phase === orders.OrderPhase.Draining) {
      progress.drainSeenAt = now;
      progress.roleObserver = new orders.RoleChangeObserver(now + constants.MAX_REPORT_DELAY_MS);
    }
    if (record.phase === orders.OrderPhase.Settled) this.#onSettled(record, now);
  }

  /**
   * Advances the changes of all services whose shard lease this daemon holds.
   *
   * @param now - current time
   */
  onTick(now: number): void {
    this.#takeoverGuard.watchReplacements(
      this.#table.all().map(({ record }) => record),
      now,
    );
    this.#observeRoles();
    if (!this.#context.leaseIsValid(now)) return;
    for (const service of this.#context.tree.services()) {
      const epoch = this.#context.shards.epochOf(service.shard, this.#context.incarnation);
      if (epoch === undefined) continue;
      if (service.settings.kind !== configuration.ServiceKind.Engine && !this.#hasDrainingEndpoints(service.id))
        continue;
      this.#advanceService(service, service.shard, epoch, now);
    }
  }

  /**
   * @param endpoint - `team/endpoint`
   * @param result - result of the write of its record
   * @param now - current time
   */
  onWritten(endpoint: string, result: keyValue.TransactionResult, now: number): void {
    const progress = this.#table.progressOf(endpoint);
    if (!progress.writing) return;
    if (
      result.outcome === keyValue.TransactionOutcome.Unknown ||
      result.outcome === keyValue.TransactionOutcome.Refused
    ) {
      // Reading the record back shows whether it was written: it contains the id of the write.
      const key = controlKeys.controlKey(controlKeys.ControlKind.Order, endpoint);
      this.#context.emit({ type: actions.ActionType.ReadKeys, token: `order:${endpoint}`, prefix: key });
      return;
    }
    if (result.outcome === keyValue.TransactionOutcome.NotSent) {
      progress.writing = false;
      progress.retryAt = now + constants.ORDER_RETRY_MS;
    }
  }

  /**
   * The record of an endpoint was read back after a write that was refused or whose outcome is unknown.
   *
   * @param endpoint - `team/endpoint`
   * @param read - whether the read succeeded
   * @param now - current time
   */
  onReadBack(endpoint: string, read: boolean, now: number): void {
    const progress = this.#table.progressOf(endpoint);
    progress.writing = false;
    if (!read) progress.retryAt = now + constants.ORDER_RETRY_MS;
  }

  /**
   * @param endpoint - `team/endpoint`
   * @param number - the order's number
   * @param outcome - the endpoint's answer, or that it was lost
   * @param now - current time
   */
  onAnswered(endpoint: string, number: number, outcome: events.OrderOutcome, now: number): void {
    const progress = this.#table.progressOf(endpoint);
    const known = this.#table.orderOf(endpoint);
    if (progress.sending !== number || !known || known.record.number !== number) return;
    delete progress.sending;
    if (outcome === events.OrderOutcome.Confirmed) {
      this.#writer.rewrite(known, { phase: orders.OrderPhase.Settled });
      return;
    }
    // A stale number or a lost reply: the order is sent again after a delay,
    // with a higher number if the endpoint refused it as stale.
    progress.retryAt = now + constants.ORDER_RETRY_MS;
    if (outcome === events.OrderOutcome.Stale) this.#writer.rewrite(known, { number: known.record.number + 1 });
  }

  /**
   * @param vm - the former holder's VM
   * @param incarnation - the former holder's process
   * @param reset - whether that process has reset its order connections
   * @param shard - the shard
   */
  onDeposed(vm: string, incarnation: string, reset: boolean, shard: string): void {
    if (reset) this.#takeoverGuard.onDeposed(vm, incarnation, shard);
  }

  #advanceService(service: configuration.ServiceEntry, shard: string, epoch: number, now: number): void {
    const endpoints = this.#context.tree.endpointsOf(service.id);
    let isChanging = false;
    for (const endpoint of endpoints) {
      const known = this.#table.orderOf(endpoint.id);
      if (known && this.#advance(endpoint, known, shard, epoch, now)) isChanging = true;
    }
    if (isChanging) return;
    const change = this.#chooser.next(service, now);
    if (change) this.#writer.begin(change, epoch, now);
  }

  /** Advances an unfinished change; returns whether it blocks other changes of the service. */
  #advance(
    endpoint: configuration.EndpointEntry,
    known: orderContext.KnownOrder,
    shard: string,
    epoch: number,
    now: number,
  ): boolean {
    const { record } = known;
    const progress = this.#table.progressOf(endpoint.id);
    if (record.phase === orders.OrderPhase.Settled) return false;
    if (progress.writing || now < progress.retryAt) return true;
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
    const progress = this.#table.progressOf(endpoint.id);
    const forOperator = record.targetRole === record.fromRole;
    if (forOperator && endpoint.settings.state === configuration.EndpointState.Active) {
      this.#writer.rewrite(known, { phase: orders.OrderPhase.Settled, epoch, reason: "reopened by the operator" });
      return;
    }
    const load = this.#context.loadOf(endpoint.id);
    const reportsAfter = progress.drainSeenAt + constants.MAX_REPORT_DELAY_MS;
    const reported = load && load.receivedAt > reportsAfter ? load.report.running + load.report.waiting : undefined;
    const isPlain = this.#context.tree.service(endpoint.serviceId)?.settings.kind === configuration.ServiceKind.Plain;
    const blockers = drains.drainBlockers(
      {
        endpoint: endpoint.id,
        recordRevision: known.revision,
        ownInFlight: this.#context.poolOf(endpoint.serviceId)?.endpoint(endpoint.id)?.inFlight ?? 0,
        reportedRequests: reported,
        needsEndpointReport: !isPlain && this.#context.roster.hasRecentLoss(now),
      },
      this.#context.roster,
    );
    this.#table.setWaitReason(endpoint.id, blockers.join("; "));
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
    const progress = this.#table.progressOf(endpoint.id);
    if (progress.sending !== undefined) return;
    if (progress.roleObserver?.hasSeenChange) {
      this.#writer.rewrite(known, { phase: orders.OrderPhase.Settled, epoch });
      return;
    }
    const isOwn = record.incarnation === this.#context.incarnation && record.epoch === epoch;
    if (!isOwn) {
      const decision = this.#takeoverGuard.decide(endpoint.settings.checksFencing, record, { shard, epoch }, now);
      this.#table.setWaitReason(endpoint.id, decision.allowed ? "" : decision.reason);
      if (!decision.allowed) return;
      this.#writer.rewrite(known, { epoch, number: record.number + 1 });
      return;
    }
    progress.sending = record.number;
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
    this.#table.progressOf(record.endpoint).settledAt = now;
    const endpoint = this.#context.tree.endpoint(record.endpoint);
    const pool = endpoint && this.#context.poolOf(endpoint.serviceId);
    pool?.planner.onRoleChanged(now);
    if (record.fromRole !== record.targetRole) pool?.endpoint(record.endpoint)?.forgetPrefixes();
    this.#table.setWaitReason(record.endpoint, "");
  }

  /** Passes reported roles to the observers. Every daemon does so, since any may have to take over from the holder. */
  #observeRoles(): void {
    for (const { record } of this.#table.all()) {
      const load = this.#context.loadOf(record.endpoint);
      if (load)
        this.#table.progressOf(record.endpoint).roleObserver?.onReport(record, load.report.role, load.receivedAt);
    }
  }

  #hasDrainingEndpoints(service: string): boolean {
    return this.#context.tree
      .endpointsOf(service)
      .some(
        (endpoint) =>
          endpoint.settings.state === configuration.EndpointState.Draining || !this.#table.acceptsWork(endpoint.id),
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
