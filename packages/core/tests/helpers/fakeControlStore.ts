import * as standIns from "@camphorcourse/stand-ins";
import * as core from "../../src/index.js";
import type * as simulations from "./simulation.js";

/** The stand-in's key-value store, over calls that take time and may be lost. */
export class FakeControlStore {
  readonly store = new standIns.KeyValueStore();
  /** Whether it is out of reach. */
  down = false;
  readonly #round: simulations.Simulation;

  /** @param round - time, draws and faults */
  constructor(round: simulations.Simulation) {
    this.#round = round;
  }

  /**
   * @param node - the process that writes
   * @param transaction - the write
   * @param done - told how it ended
   */
  transact(
    node: simulations.Node,
    transaction: core.Transaction,
    done: (result: core.TransactionResult) => void,
  ): void {
    const lost = this.#round.random.next();
    this.#round.afterCall(() => {
      if (this.down) {
        done({ outcome: core.TransactionOutcome.NotSent, revision: 0 });
        return;
      }
      const { lostWrite, lostReply } = this.#round.faults;
      if (lost < lostWrite) {
        done({ outcome: core.TransactionOutcome.Unknown, revision: 0 });
        return;
      }
      const applied = this.#apply(transaction, node.core.leaseId ?? "0");
      const replyLost = lost < lostWrite + lostReply;
      const outcome = applied ? core.TransactionOutcome.Applied : core.TransactionOutcome.Refused;
      done({ outcome: replyLost ? core.TransactionOutcome.Unknown : outcome, revision: this.store.revision });
    });
  }

  /**
   * @param lease - the lease to renew, or undefined for a first one
   * @param reply - told how it ended
   */
  renew(lease: string | undefined, reply: simulations.Reply): void {
    const { time } = this.#round;
    const sentAt = time.now;
    this.#round.afterCall(() => {
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
   * @param prefix - of the keys
   * @param token - names the question
   * @param reply - told what was read
   */
  readKeys(prefix: string, token: string, reply: simulations.Reply): void {
    this.#round.afterCall(() => {
      const records = this.down ? undefined : this.read(prefix);
      reply({ type: core.EventType.KeysRead, token, ...(records ? { records } : {}) });
    });
  }

  /**
   * @param prefix - of the keys
   * @returns the records under it, at once
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
 * @returns the record as a watch tells it
 */
export function toRecord(event: standIns.StoreEvent): core.KeyRecord {
  if (event.stored) return { ...event.stored };
  return { key: event.key, value: "", createRevision: 0, modRevision: event.revision, deleted: true };
}
