import * as standIns from "@camphorcourse/stand-ins";
import * as core from "../../src/index.js";
import type * as simulations from "./simulation.js";

/** The stand-in's key-value store, accessed by calls with latency that may be lost. */
export class FakeControlStore {
  readonly store = new standIns.KeyValueStore();
  /** Whether the store is unreachable. */
  down = false;
  readonly #simulation: simulations.Simulation;

  /** @param simulation - shared time, random numbers and faults */
  constructor(simulation: simulations.Simulation) {
    this.#simulation = simulation;
  }

  /**
   * @param node - the process that writes
   * @param transaction - the transaction
   * @param done - receives the result
   */
  transact(
    node: simulations.Node,
    transaction: core.Transaction,
    done: (result: core.TransactionResult) => void,
  ): void {
    const draw = this.#simulation.random.next();
    this.#simulation.afterCall(() => {
      if (this.down) {
        done({ outcome: core.TransactionOutcome.NotSent, revision: 0 });
        return;
      }
      const { lostWrite, lostReply } = this.#simulation.faults;
      if (draw < lostWrite) {
        done({ outcome: core.TransactionOutcome.Unknown, revision: 0 });
        return;
      }
      const applied = this.#apply(transaction, node.core.leaseId ?? "0");
      const replyLost = draw < lostWrite + lostReply;
      const outcome = applied ? core.TransactionOutcome.Applied : core.TransactionOutcome.Refused;
      done({ outcome: replyLost ? core.TransactionOutcome.Unknown : outcome, revision: this.store.revision });
    });
  }

  /**
   * @param lease - the lease to renew, or undefined to grant a new one
   * @param reply - receives the outcome
   */
  renew(lease: string | undefined, reply: simulations.Reply): void {
    const { time } = this.#simulation;
    const sentAt = time.now;
    this.#simulation.afterCall(() => {
      if (this.down) {
        reply({ type: core.EventType.KeyValueFailed });
        return;
      }
      const ttlMs = core.constants.LEASE_TTL_MS;
      const id = lease ?? this.store.grantLease(ttlMs, time.now);
      if (lease !== undefined && this.store.keepAlive(lease, time.now) === 0) reply({ type: core.EventType.LeaseLost });
      else reply({ type: core.EventType.LeaseRenewed, lease: id, sentAt, ttlMs });
    });
  }

  /**
   * @param prefix - prefix of the keys
   * @param token - identifies the read in the reply
   * @param reply - receives the records
   */
  readKeys(prefix: string, token: string, reply: simulations.Reply): void {
    this.#simulation.afterCall(() => {
      const records = this.down ? undefined : this.read(prefix);
      reply({ type: core.EventType.KeysRead, token, ...(records ? { records } : {}) });
    });
  }

  /**
   * Reads records without latency or faults.
   *
   * @param prefix - prefix of the keys
   * @returns the records
   */
  read(prefix: string): core.KeyRecord[] {
    return this.store.range(prefix, core.prefixEnd(prefix)).map((stored) => ({ ...stored }));
  }

  #apply(transaction: core.Transaction, lease: string): boolean {
    const compares = transaction.conditions.map(({ key, kind, revision }) => ({ key, target: kind, revision }));
    const puts = transaction.puts.map((put) => ({
      kind: "put" as const,
      key: put.key,
      value: put.value,
      lease: put.leased ? lease : "0",
    }));
    const deletes = (transaction.deletes ?? []).map((range) => ({ kind: "delete" as const, ...range }));
    return this.store.transact(compares, [...puts, ...deletes]);
  }
}

/**
 * @param event - a change in the store
 * @returns the record as a watch reports it
 */
export function toRecord(event: standIns.StoreEvent): core.KeyRecord {
  if (event.stored) return { ...event.stored };
  return { key: event.key, value: "", createRevision: 0, modRevision: event.revision, deleted: true };
}
