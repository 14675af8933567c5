import * as actions from "./actions.js";
import type * as changeChooser from "./changeChooser.js";
import * as configuration from "./configuration.js";
import * as controlKeys from "./controlKeys.js";
import * as keyValue from "./keyValueTypes.js";
import type * as orderTable from "./orderTable.js";
import type * as orderContext from "./orderContext.js";
import * as orders from "./orders.js";

/** Writes order records, each on the condition that the shard's lease is still held. */
export class OrderWriter {
  readonly #context: orderContext.OrderContext;
  readonly #table: orderTable.OrderTable;

  /**
   * @param context - dependencies
   * @param table - the known orders
   */
  constructor(context: orderContext.OrderContext, table: orderTable.OrderTable) {
    this.#context = context;
    this.#table = table;
  }

  /**
   * Begins a change by writing its draining record.
   *
   * @param change - the change to begin
   * @param epoch - epoch of the shard's lease
   * @param now - current time
   */
  begin(change: changeChooser.WantedChange, epoch: number, now: number): void {
    const { endpoint, fromRole, targetRole, reason } = change;
    const progress = this.#table.progressOf(endpoint.id);
    if (progress.writing || now < progress.retryAt) return;
    const known = this.#table.orderOf(endpoint.id);
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

  /**
   * Updates an order's record.
   *
   * @param known - the order
   * @param change - the fields to change
   */
  rewrite(known: orderContext.KnownOrder, change: Partial<orders.OrderRecord>): void {
    const { vm, incarnation } = this.#context;
    const attempt = this.#context.random.identifier();
    this.#write({ ...known.record, ...change, vm, incarnation, attempt }, known.revision);
  }

  /**
   * The write is conditional on the record's revision and on the lease's epoch,
   * so that a holder whose lease has ended can neither begin nor advance a
   * change, however late its write arrives.
   */
  #write(record: orders.OrderRecord, revision: number): void {
    const key = controlKeys.controlKey(controlKeys.ControlKind.Order, record.endpoint);
    const service = this.#context.tree.endpoint(record.endpoint)?.serviceId ?? "";
    const leaseKey = controlKeys.controlKey(controlKeys.ControlKind.Lease, configuration.controlShardOf(service));
    this.#table.progressOf(record.endpoint).writing = true;
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
}
