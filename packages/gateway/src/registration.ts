import * as neverthrow from "neverthrow";
import type * as decisionLogs from "./decisionLog.js";
import type * as daemonEntries from "./daemonEntry.js";
import * as ports from "./ports.js";

/**
 * Time to live of a daemon's entry, in milliseconds: long enough to outlast a few lost renewals. Whether a daemon lives
 * is told by its pulses, so an entry may outlive it.
 */
const ENTRY_TTL_MS = 12_000;

/** Interval of renewals, in milliseconds: three fit into the time to live. */
const RENEW_EVERY_MS = 3_800;

/** Pause after a failed call, in milliseconds. */
const RETRY_PAUSE_MS = 500;

/** Keeps this daemon's entry in the key-value service, by which the others find it. */
export class Registration {
  readonly #store: ports.DurableStore;
  readonly #key: string;
  readonly #entry: daemonEntries.DaemonEntry;
  readonly #log: decisionLogs.DecisionLog;
  /** The lease under which the entry is written, once it is granted. */
  #granted: number | undefined;
  /** The same lease once the entry is known to be written. */
  #lease: number | undefined;
  #stopped = false;

  /**
   * @param store - the key-value service
   * @param key - key of the entry
   * @param entry - the entry
   * @param log - takes what is decided
   */
  constructor(store: ports.DurableStore, key: string, entry: daemonEntries.DaemonEntry, log: decisionLogs.DecisionLog) {
    this.#store = store;
    this.#key = key;
    this.#entry = entry;
    this.#log = log;
  }

  /** @returns whether the entry was written and is not known to have lapsed */
  get registered(): boolean {
    return this.#lease !== undefined;
  }

  /** Keeps the entry until {@link Registration.end}. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      const kept = this.#lease === undefined ? await this.#register() : await this.#renew(this.#lease);
      await new Promise((resolve) => setTimeout(resolve, kept ? RENEW_EVERY_MS : RETRY_PAUSE_MS));
    }
  }

  /** Takes the entry away, so that callers and peers turn to others. */
  async end(): Promise<void> {
    this.#stopped = true;
    if (this.#granted === undefined) return;
    const ended = await this.#store.endLease(this.#granted);
    if (ended.isErr()) this.#log.warn("registration-not-ended", { detail: ended.error.detail });
  }

  async #register(): Promise<boolean> {
    const lease = await this.#grant();
    if (lease.isErr()) return this.#failed(lease.error);
    const value = Buffer.from(JSON.stringify(this.#entry));
    const written = await this.#store.write({
      conditions: [],
      puts: [{ key: this.#key, value, lease: lease.value }],
      removals: [],
    });
    if (written.isErr()) return this.#failed(written.error);
    this.#lease = lease.value;
    this.#log.info("registered", { key: this.#key, lease: lease.value, revision: written.value });
    return true;
  }

  /**
   * A write whose answer was lost may be carried out seconds later. Under a lease
   * of its own it would replace the entry, which would end with that lease while
   * another one is renewed, and the daemon would stay unlisted. So all writes go
   * under one lease, until the service says that it has ended.
   */
  async #grant(): Promise<neverthrow.Result<number, ports.StoreProblem>> {
    if (this.#granted !== undefined) return neverthrow.ok(this.#granted);
    const lease = await this.#store.grantLease(ENTRY_TTL_MS);
    if (lease.isErr()) return neverthrow.err(lease.error);
    this.#granted = lease.value.id;
    return neverthrow.ok(lease.value.id);
  }

  async #renew(lease: number): Promise<boolean> {
    const renewed = await this.#store.renewLease(lease);
    if (renewed.isOk()) return true;
    return this.#failed(renewed.error);
  }

  #failed(problem: ports.StoreProblem): boolean {
    this.#log.warn("registration-call-failed", { failure: problem.failure, detail: problem.detail });
    if (problem.failure !== ports.StoreFailure.LeaseEnded) return false;
    this.#log.warn("registration-lapsed", { lease: this.#granted });
    this.#lease = undefined;
    this.#granted = undefined;
    return false;
  }
}
