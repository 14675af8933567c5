import * as core from "@camphorcourse/core";
import * as fleetState from "@camphorcourse/fleet-state";

/** Passes an event to the core. */
export type EventSink = (event: core.CoreEvent) => void;

const MIN_BACKOFF_MS = 200;
const MAX_BACKOFF_MS = 3000;

/** Executes the core's actions on the key-value service and reports the results as events. */
export class KeyValueAdapter {
  readonly #client: fleetState.KeyValueClient;
  readonly #emit: EventSink;
  readonly #now: () => number;
  readonly #stop = new AbortController();

  /**
   * @param client - client of the key-value service
   * @param emit - passes events to the core
   * @param now - returns the monotonic time in milliseconds
   */
  constructor(client: fleetState.KeyValueClient, emit: EventSink, now: () => number) {
    this.#client = client;
    this.#emit = emit;
    this.#now = now;
  }

  /**
   * Watches the control records until {@link close}. A broken watch resumes from
   * the last revision, so that an outage costs one call per daemon instead of a
   * full read. The delay before it is random, so that the daemons don't all
   * reconnect at once.
   *
   * @param random - returns a random number in [0, 1)
   */
  async follow(random: () => number): Promise<void> {
    let revision: number | undefined;
    let backoff = MIN_BACKOFF_MS;
    while (!this.#stop.signal.aborted) {
      const previous = revision;
      revision = revision === undefined ? await this.#readAll() : await this.#watch(revision);
      const advanced = revision !== previous;
      if (revision === undefined || previous !== undefined) this.#emit({ type: core.EventType.KeyValueFailed });
      if (advanced && previous === undefined) continue;
      backoff = advanced ? MIN_BACKOFF_MS : Math.min(MAX_BACKOFF_MS, backoff * 2);
      await this.#delay(backoff * (0.5 + random()));
    }
  }

  /**
   * Renews the daemon's lease, or requests a new one.
   *
   * @param lease - id of the lease to renew; undefined to request a new one
   */
  async renew(lease: string | undefined): Promise<void> {
    const sentAt = this.#now();
    if (lease === undefined) {
      const granted = await this.#client.grantLease(core.constants.LEASE_TTL_MS);
      if (granted.isErr()) this.#emit({ type: core.EventType.KeyValueFailed });
      else this.#reportRenewal(granted.value, sentAt, core.constants.LEASE_TTL_MS);
      return;
    }
    const ttl = await this.#client.keepAlive(lease);
    if (ttl.isErr()) this.#emit({ type: core.EventType.KeyValueFailed });
    else if (ttl.value <= 0) this.#emit({ type: core.EventType.LeaseLost });
    else this.#reportRenewal(lease, sentAt, ttl.value);
  }

  /**
   * Executes a transaction and reports its result to the core.
   *
   * @param token - identifies the transaction in the result event
   * @param transaction - the transaction
   * @param lease - id of the daemon's lease
   */
  async transact(token: string, transaction: core.Transaction, lease: string | undefined): Promise<void> {
    const result = await this.write(transaction, lease);
    this.#emit({ type: core.EventType.Transacted, token, result });
  }

  /**
   * Executes a transaction. Doesn't send it if it needs a lease and there is none.
   *
   * @param transaction - the transaction
   * @param lease - id of the daemon's lease
   * @returns the outcome and the revision
   */
  async write(transaction: core.Transaction, lease?: string): Promise<core.TransactionResult> {
    if (transaction.puts.some((put) => put.leased) && lease === undefined) {
      return { outcome: core.TransactionOutcome.NotSent, revision: 0 };
    }
    const reply = await this.#client.transact({
      conditions: transaction.conditions,
      puts: transaction.puts.map(({ key, value, leased }) => ({
        key,
        value,
        ...(leased && lease ? { lease } : {}),
      })),
      deletes: transaction.deletes ?? [],
    });
    if (reply.isErr()) {
      const notSent = reply.error.delivery === fleetState.DeliveryStatus.NeverSent;
      return { outcome: notSent ? core.TransactionOutcome.NotSent : core.TransactionOutcome.Unknown, revision: 0 };
    }
    const outcome = reply.value.succeeded ? core.TransactionOutcome.Applied : core.TransactionOutcome.Refused;
    return { outcome, revision: reply.value.revision };
  }

  /**
   * Reads all records with a key prefix and reports them to the core.
   *
   * @param token - identifies the read in the result event
   * @param prefix - key prefix
   */
  async readKeys(token: string, prefix: string): Promise<void> {
    const records = await this.read(prefix);
    this.#emit({ type: core.EventType.KeysRead, token, ...(records ? { records } : {}) });
  }

  /**
   * Reads all records with a key prefix.
   *
   * @param prefix - key prefix
   * @returns the records, or undefined if the read failed
   */
  async read(prefix: string): Promise<core.KeyRecord[] | undefined> {
    const reply = await this.#client.range(prefix, core.prefixEnd(prefix));
    return reply.isOk() ? [...reply.value.entries] : undefined;
  }

  /**
   * Revokes a lease at a graceful shutdown.
   *
   * @param lease - id of the lease
   */
  async revoke(lease: string): Promise<void> {
    await this.#client.revokeLease(lease);
  }

  /** Stops the watch and closes the connections. */
  async close(): Promise<void> {
    this.#stop.abort();
    await this.#client.close();
  }

  async #readAll(): Promise<number | undefined> {
    const prefix = core.constants.CONTROL_PREFIX;
    const reply = await this.#client.range(prefix, core.prefixEnd(prefix));
    if (reply.isErr()) return undefined;
    const { entries, revision } = reply.value;
    this.#emit({ type: core.EventType.ControlSnapshot, records: entries, revision });
    return revision;
  }

  /** Watches until the connection ends; returns the last revision seen, or undefined if compaction removed changes. */
  async #watch(from: number): Promise<number | undefined> {
    const prefix = core.constants.CONTROL_PREFIX;
    const seen = { revision: from, compacted: false };
    await this.#client.watch(
      prefix,
      core.prefixEnd(prefix),
      from + 1,
      (reply) => {
        if (reply.compacted) seen.compacted = true;
        else this.#onWatchReply(reply, seen);
      },
      this.#stop.signal,
    );
    return seen.compacted ? undefined : seen.revision;
  }

  #onWatchReply(reply: fleetState.WatchReply, seen: { revision: number }): void {
    if (reply.entries.length > 0) {
      this.#emit({ type: core.EventType.ControlChanges, records: reply.entries, completeRevision: reply.revision });
    }
    seen.revision = Math.max(seen.revision, reply.revision);
    this.#emit({ type: core.EventType.KeyValueResponded, revision: reply.revision });
  }

  #reportRenewal(lease: string, sentAt: number, ttlMs: number): void {
    this.#emit({ type: core.EventType.LeaseRenewed, lease, sentAt, ttlMs });
  }

  #delay(milliseconds: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, milliseconds));
  }
}
