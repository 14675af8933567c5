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

interface RunnerWork {
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
 * Planned changes of runners, carried out by the daemon that holds the shard's
 * lease: drain, write the intention, order, write the outcome. Each step is one
 * record in the key-value service, written under the condition that the lease
 * still stands, so that a successor can tell how far its predecessor came.
 */
export class OrderDesk {
  readonly #context: orderContext.OrderContext;
  readonly #orders = new Map<string, orderContext.KnownOrder>();
  readonly #work = new Map<string, RunnerWork>();
  readonly #succession: succession.Succession;
  readonly #chooser: changeChooser.ChangeChooser;

  /** @param context - the daemon round the desk */
  constructor(context: orderContext.OrderContext) {
    this.#context = context;
    this.#succession = new succession.Succession(context);
    this.#chooser = new changeChooser.ChangeChooser({
      tree: context.tree,
      poolOf: (service) => context.poolOf(service),
      hasReported: (runner) => context.loadOf(runner) !== undefined,
      isSettled: (runner) => this.acceptsWork(runner),
      roleOf: (runner, now) => this.roleOf(runner, now),
    });
  }

  /**
   * @param runner - `team/runner`
   * @returns its latest order
   */
  orderOf(runner: string): orderContext.KnownOrder | undefined {
    return this.#orders.get(runner);
  }

  /** @returns runners whose change waits, with the reasons */
  waiting(): Map<string, string> {
    const waits = [...this.#work].filter(([, work]) => work.waitsFor !== "");
    return new Map(waits.map(([runner, work]) => [runner, work.waitsFor]));
  }

  /**
   * @param record - an order record that was read
   * @param revision - its revision
   * @param now - current time
   */
  onRecord(record: orders.OrderRecord, revision: number, now: number): void {
    const known = this.#orders.get(record.runner);
    if (known && known.revision >= revision) return;
    this.#orders.set(record.runner, { record, revision });
    const work = this.#workOf(record.runner);
    work.writing = false;
    if (record.phase === orders.OrderPhase.Draining) {
      work.drainSeenAt = now;
      work.witness = new orders.RoleWitness(now + constants.REPORT_LAG_MS);
    }
    if (record.phase === orders.OrderPhase.Settled) this.#onSettled(record, now);
  }

  /**
   * @param runner - `team/runner`
   * @param now - current time
   * @returns the role that it has as far as is known
   */
  roleOf(runner: configuration.RunnerEntry, now: number): configuration.RunnerRole {
    const order = this.#orders.get(runner.id)?.record;
    if (order && order.phase !== orders.OrderPhase.Settled) return order.fromRole;
    const reported = this.#reportedRole(runner.id, now);
    if (reported) return reported;
    if (order) return order.targetRole;
    const chosen = runner.settings.role;
    return chosen === configuration.RoleChoice.Auto
      ? configuration.RunnerRole.Mixed
      : (chosen as unknown as configuration.RunnerRole);
  }

  /**
   * @param runner - `team/runner`
   * @returns whether its latest order lets it take new work
   */
  acceptsWork(runner: string): boolean {
    const order = this.#orders.get(runner)?.record;
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
   * @param runner - `team/runner`
   * @param result - how the write of its record ended
   * @param now - current time
   */
  onWritten(runner: string, result: keyValue.TransactionResult, now: number): void {
    const work = this.#workOf(runner);
    if (!work.writing) return;
    if (
      result.outcome === keyValue.TransactionOutcome.Unknown ||
      result.outcome === keyValue.TransactionOutcome.Refused
    ) {
      // The record itself tells whether our write stands: it carries our attempt.
      const key = controlKeys.controlKey(controlKeys.ControlKind.Order, runner);
      this.#context.emit({ type: actions.ActionType.ReadKeys, token: `order:${runner}`, prefix: key });
      return;
    }
    if (result.outcome === keyValue.TransactionOutcome.NotSent) {
      work.writing = false;
      work.retryAt = now + constants.ORDER_RETRY_MS;
    }
  }

  /**
   * The record of a runner was read back after a write whose outcome was open.
   *
   * @param runner - `team/runner`
   * @param read - whether the service could be asked
   * @param now - current time
   */
  onReadBack(runner: string, read: boolean, now: number): void {
    const work = this.#workOf(runner);
    work.writing = false;
    if (!read) work.retryAt = now + constants.ORDER_RETRY_MS;
  }

  /**
   * @param runner - `team/runner`
   * @param number - the order's number
   * @param outcome - how it ended
   * @param now - current time
   */
  onAnswered(runner: string, number: number, outcome: events.OrderOutcome, now: number): void {
    const work = this.#workOf(runner);
    const known = this.#orders.get(runner);
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
  #reportedRole(runner: string, now: number): configuration.RunnerRole | undefined {
    const load = this.#context.loadOf(runner);
    if (!load || now - load.at > constants.VIEW_FRESHNESS_MS) return undefined;
    return load.at > this.#workOf(runner).settledAt + constants.REPORT_LAG_MS ? load.report.role : undefined;
  }

  #advanceService(service: configuration.ServiceEntry, shard: string, epoch: number, now: number): void {
    const runners = this.#context.tree.runnersOf(service.id);
    let busy = false;
    for (const runner of runners) {
      const known = this.#orders.get(runner.id);
      if (known && this.#advance(runner, known, shard, epoch, now)) busy = true;
    }
    if (busy) return;
    const change = this.#chooser.next(service, now);
    if (change) this.#begin(change, epoch, now);
  }

  /** Moves an unfinished change on; returns whether one of the service's engines is taken up by it. */
  #advance(
    runner: configuration.RunnerEntry,
    known: orderContext.KnownOrder,
    shard: string,
    epoch: number,
    now: number,
  ): boolean {
    const { record } = known;
    const work = this.#workOf(runner.id);
    if (record.phase === orders.OrderPhase.Settled) return false;
    if (work.writing || now < work.retryAt) return true;
    if (record.phase === orders.OrderPhase.Drained) return this.#reopenIfWanted(runner, known, epoch);
    if (record.phase === orders.OrderPhase.Draining) this.#advanceDrain(runner, known, epoch, now);
    else this.#advanceOrder(runner, known, shard, epoch, now);
    return true;
  }

  #reopenIfWanted(runner: configuration.RunnerEntry, known: orderContext.KnownOrder, epoch: number): boolean {
    if (runner.settings.state === configuration.RunnerState.Draining) return false;
    this.#rewrite(known, { phase: orders.OrderPhase.Settled, epoch, reason: "reopened by the operator" });
    return true;
  }

  #advanceDrain(runner: configuration.RunnerEntry, known: orderContext.KnownOrder, epoch: number, now: number): void {
    const { record } = known;
    const work = this.#workOf(runner.id);
    const forOperator = record.targetRole === record.fromRole;
    if (forOperator && runner.settings.state === configuration.RunnerState.Active) {
      this.#rewrite(known, { phase: orders.OrderPhase.Settled, epoch, reason: "reopened by the operator" });
      return;
    }
    const load = this.#context.loadOf(runner.id);
    const reportedSince = work.drainSeenAt + constants.REPORT_LAG_MS;
    const reported = load && load.at > reportedSince ? load.report.running + load.report.waiting : undefined;
    const plain = this.#context.tree.service(runner.serviceId)?.settings.kind === configuration.ServiceKind.Plain;
    const blockers = drains.drainBlockers(
      {
        runner: runner.id,
        recordRevision: known.revision,
        ownInFlight: this.#context.poolOf(runner.serviceId)?.runner(runner.id)?.inFlight ?? 0,
        runnerReports: reported,
        needsRunnerReport: !plain && this.#context.roster.hasVanishedLately(now),
      },
      this.#context.roster,
    );
    this.#setWaits(runner.id, work, blockers.join("; "));
    if (blockers.length > 0) return;
    const phase = forOperator ? orders.OrderPhase.Drained : orders.OrderPhase.Intended;
    this.#rewrite(known, { phase, epoch });
  }

  #advanceOrder(
    runner: configuration.RunnerEntry,
    known: orderContext.KnownOrder,
    shard: string,
    epoch: number,
    now: number,
  ): void {
    const { record } = known;
    const work = this.#workOf(runner.id);
    if (work.sending !== undefined) return;
    if (work.witness?.sawChange) {
      this.#rewrite(known, { phase: orders.OrderPhase.Settled, epoch });
      return;
    }
    const own = record.incarnation === this.#context.incarnation && record.epoch === epoch;
    if (!own) {
      const verdict = this.#succession.decide(runner.settings.checksFencing, record, { shard, epoch }, now);
      this.#setWaits(runner.id, work, verdict.allowed ? "" : verdict.reason);
      if (!verdict.allowed) return;
      this.#rewrite(known, { epoch, number: record.number + 1 });
      return;
    }
    work.sending = record.number;
    this.#note(timeline.EventKind.OrderSent, record);
    this.#context.emit({
      type: actions.ActionType.SendOrder,
      runner: runner.id,
      url: runner.settings.url,
      shard,
      epoch,
      number: record.number,
      role: record.targetRole,
    });
  }

  #begin(change: changeChooser.WantedChange, epoch: number, now: number): void {
    const { runner, fromRole, targetRole, reason } = change;
    const work = this.#workOf(runner.id);
    if (work.writing || now < work.retryAt) return;
    const known = this.#orders.get(runner.id);
    const number = (known?.record.number ?? 0) + 1;
    const { vm, incarnation } = this.#context;
    const attempt = this.#context.random.identifier();
    const phase = orders.OrderPhase.Draining;
    const record = { runner: runner.id, number, epoch, vm, incarnation, attempt, phase, fromRole, targetRole, reason };
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
    const key = controlKeys.controlKey(controlKeys.ControlKind.Order, record.runner);
    const service = this.#context.tree.runner(record.runner)?.serviceId ?? "";
    const leaseKey = controlKeys.controlKey(controlKeys.ControlKind.Lease, configuration.controlShardOf(service));
    this.#workOf(record.runner).writing = true;
    this.#context.emit({
      type: actions.ActionType.Transact,
      token: `order:${record.runner}`,
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
    this.#workOf(record.runner).settledAt = now;
    const runner = this.#context.tree.runner(record.runner);
    const pool = runner && this.#context.poolOf(runner.serviceId);
    pool?.planner.onChanged(now);
    if (record.fromRole !== record.targetRole) pool?.runner(record.runner)?.forgetPrefixes();
    this.#setWaits(record.runner, this.#workOf(record.runner), "");
  }

  /** Every daemon watches, since any may have to succeed the holder. */
  #watchRoles(): void {
    for (const { record } of this.#orders.values()) {
      const load = this.#context.loadOf(record.runner);
      if (load) this.#workOf(record.runner).witness?.onReport(record, load.report.role, load.at);
    }
  }

  #hasDrains(service: string): boolean {
    return this.#context.tree
      .runnersOf(service)
      .some((runner) => runner.settings.state === configuration.RunnerState.Draining || !this.acceptsWork(runner.id));
  }

  #setWaits(runner: string, work: RunnerWork, waitsFor: string): void {
    if (work.waitsFor === waitsFor) return;
    work.waitsFor = waitsFor;
    if (waitsFor === "") return;
    this.#context.emit({
      type: actions.ActionType.Note,
      note: { kind: timeline.EventKind.OrderWaits, fields: { runner, waitsFor } },
    });
  }

  #workOf(runner: string): RunnerWork {
    const present = this.#work.get(runner);
    if (present) return present;
    const fresh: RunnerWork = {
      writing: false,
      retryAt: 0,
      drainSeenAt: 0,
      settledAt: Number.NEGATIVE_INFINITY,
      waitsFor: "",
    };
    this.#work.set(runner, fresh);
    return fresh;
  }

  #note(kind: timeline.EventKind, record: orders.OrderRecord): void {
    const { runner, number, epoch, targetRole } = record;
    this.#context.emit({
      type: actions.ActionType.Note,
      note: { kind, fields: { runner, number, epoch, targetRole } },
    });
  }
}
