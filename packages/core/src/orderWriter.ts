import * as actions from "./actions.js";
import type * as changeChooser from "./changeChooser.js";
import * as configuration from "./configuration.js";
import * as controlKeys from "./controlKeys.js";
import * as keyValue from "./keyValueTypes.js";
import type * as orderTable from "./orderTable.js";
import type * as orderContext from "./orderContext.js";
import * as orders from "./orders.js";

/** Writes orders' records, each under the condition that the lease still stands. */
export class OrderWriter {
  readonly #context: orderContext.OrderContext;
  readonly #book: orderTable.OrderTable;

  /**
   * @param context - the daemon round the desk
   * @param book - the orders that are known
   */
  constructor(context: orderContext.OrderContext, book: orderTable.OrderTable) {
    this.#context = context;
    this.#book = book;
  }

  /**
   * @param change - the change that begins
   * @param epoch - the epoch of the shard's lease
   * @param now - current time
   */
  begin(change: changeChooser.WantedChange, epoch: number, now: number): void {
    const { endpoint, fromRole, targetRole, reason } = change;
    const work = this.#book.progressOf(endpoint.id);
    if (work.writing || now < work.retryAt) return;
    const known = this.#book.orderOf(endpoint.id);
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
   * @param known - an order
   * @param change - what is new in its record
   */
  rewrite(known: orderContext.KnownOrder, change: Partial<orders.OrderRecord>): void {
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
    this.#book.progressOf(record.endpoint).writing = true;
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
