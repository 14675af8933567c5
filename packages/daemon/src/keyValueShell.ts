import * as core from "@camphorcourse/core";
import * as platform from "@camphorcourse/fleet-state";

/** Hands an event to the core. */
export type EventSink = (event: core.CoreEvent) => void;

const LEAST_BACKOFF_MS = 200;
const LONGEST_BACKOFF_MS = 3000;

/** Carries out what the core asks of the key-value service. */
export class KeyValueShell {
  readonly #client: platform.KeyValueClient;
  readonly #sink: EventSink;
  readonly #now: () => number;
  readonly #stop = new AbortController();

  /**
   * @param client - of the key-value service
   * @param sink - takes the events
   * @param now - monotonic time
   */
  constructor(client: platform.KeyValueClient, sink: EventSink, now: () => number) {
    this.#client = client;
    this.#sink = sink;
    this.#now = now;
  }

  /**
   * Follows the control records until {@link close}. After the watch has
   * broken off it goes on from the last revision, so that an outage costs one
   * call a daemon and not a reading of everything; the wait before it is drawn
   * at random, so that daemons don't all come back at once.
   *
   * @param random - a number in [0, 1)
   */
  async follow(random: () => number): Promise<void> {
    let revision: number | undefined;
    let backoff = LEAST_BACKOFF_MS;
    while (!this.#stop.signal.aborted) {
      const before = revision;
      revision = revision === undefined ? await this.#readAll() : await this.#watch(revision);
      const advanced = revision !== before;
      if (revision === undefined || before !== undefined) this.#sink({ type: core.EventType.KeyValueFailed });
      if (advanced && before === undefined) continue;
      backoff = advanced ? LEAST_BACKOFF_MS : Math.min(LONGEST_BACKOFF_MS, backoff * 2);
      await this.#pause(backoff * (0.5 + random()));
    }
  }

  /**
   * @param lease - the lease to renew; missing to be granted one
   */
  async renew(lease: string | undefined): Promise<void> {
    const sentAt = this.#now();
    if (lease === undefined) {
      const granted = await this.#client.grantLease(core.constants.LEASE_TTL_MS);
      if (granted.isErr()) this.#sink({ type: core.EventType.KeyValueFailed });
      else this.#renewed(granted.value, sentAt, core.constants.LEASE_TTL_MS);
      return;
    }
    const ttl = await this.#client.keepAlive(lease);
    if (ttl.isErr()) this.#sink({ type: core.EventType.KeyValueFailed });
    else if (ttl.value <= 0) this.#sink({ type: core.EventType.LeaseLost });
    else this.#renewed(lease, sentAt, ttl.value);
  }

  /**
   * @param token - names the transaction
   * @param transaction - what is to be written
   * @param lease - id of the daemon's lease
   */
  async transact(token: string, transaction: core.Transaction, lease: string | undefined): Promise<void> {
    const result = await this.write(transaction, lease);
    this.#sink({ type: core.EventType.Transacted, token, result });
  }

  /**
   * @param transaction - what is to be written
   * @param lease - id of the daemon's lease
   * @returns how it ended
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
      const notSent = reply.error.delivery === platform.DeliveryStatus.NeverSent;
      return { outcome: notSent ? core.TransactionOutcome.NotSent : core.TransactionOutcome.Unknown, revision: 0 };
    }
    const outcome = reply.value.succeeded ? core.TransactionOutcome.Applied : core.TransactionOutcome.Refused;
    return { outcome, revision: reply.value.revision };
  }

  /**
   * @param token - names the reading
   * @param prefix - of the keys
   */
  async readKeys(token: string, prefix: string): Promise<void> {
    const records = await this.read(prefix);
    this.#sink({ type: core.EventType.KeysRead, token, ...(records ? { records } : {}) });
  }

  /**
   * @param prefix - of the keys
   * @returns the records, or undefined if the service can't be asked
   */
  async read(prefix: string): Promise<core.KeyRecord[] | undefined> {
    const reply = await this.#client.range(prefix, core.prefixEnd(prefix));
    return reply.isOk() ? [...reply.value.entries] : undefined;
  }

  /** @param lease - the lease to end, at a planned stop */
  async revoke(lease: string): Promise<void> {
    await this.#client.revokeLease(lease);
  }

  /** Ends the watch and closes the connections. */
  async close(): Promise<void> {
    this.#stop.abort();
    await this.#client.close();
  }

  async #readAll(): Promise<number | undefined> {
    const prefix = core.constants.CONTROL_PREFIX;
    const reply = await this.#client.range(prefix, core.prefixEnd(prefix));
    if (reply.isErr()) return undefined;
    const { entries, revision } = reply.value;
    this.#sink({ type: core.EventType.ControlSnapshot, records: entries, revision });
    return revision;
  }

  /** Watches until the connection ends; returns the last revision seen, or undefined if changes were lost. */
  async #watch(from: number): Promise<number | undefined> {
    const prefix = core.constants.CONTROL_PREFIX;
    const seen = { revision: from, compacted: false };
    await this.#client.watch(
      prefix,
      core.prefixEnd(prefix),
      from + 1,
      (reply) => {
        if (reply.compacted) seen.compacted = true;
        else this.#onWatched(reply, seen);
      },
      this.#stop.signal,
    );
    return seen.compacted ? undefined : seen.revision;
  }

  #onWatched(reply: platform.WatchReply, seen: { revision: number }): void {
    if (reply.entries.length > 0) {
      this.#sink({ type: core.EventType.ControlChanges, records: reply.entries, completeRevision: reply.revision });
    }
    seen.revision = Math.max(seen.revision, reply.revision);
    this.#sink({ type: core.EventType.KeyValueResponded, revision: reply.revision });
  }

  #renewed(lease: string, sentAt: number, ttlMs: number): void {
    this.#sink({ type: core.EventType.LeaseRenewed, lease, sentAt, ttlMs });
  }

  #pause(milliseconds: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, milliseconds));
  }
}
