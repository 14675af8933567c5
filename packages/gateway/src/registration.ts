import type * as decisionLogs from "./decisionLog.js";
import type * as fleetViews from "./fleetView.js";
import * as ports from "./ports.js";

/** Time to live of a daemon's entry, in milliseconds: long enough to outlast a few lost renewals. */
const ENTRY_TTL_MS = 6_000;

/** Interval of renewals, in milliseconds: three fit into the time to live. */
const RENEW_EVERY_MS = 1_900;

/** Pause after a failed call, in milliseconds. */
const RETRY_PAUSE_MS = 500;

/** Keeps this daemon's entry in the key-value service, by which the others find it. */
export class Registration {
  readonly #store: ports.DurableStore;
  readonly #key: string;
  readonly #entry: fleetViews.DaemonEntry;
  readonly #log: decisionLogs.DecisionLog;
  #lease: number | undefined;
  #stopped = false;

  /**
   * @param store - the key-value service
   * @param key - key of the entry
   * @param entry - the entry
   * @param log - takes what is decided
   */
  constructor(store: ports.DurableStore, key: string, entry: fleetViews.DaemonEntry, log: decisionLogs.DecisionLog) {
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
    if (this.#lease === undefined) return;
    const ended = await this.#store.endLease(this.#lease);
    if (ended.isErr()) this.#log.warn("registration-not-ended", { detail: ended.error.detail });
  }

  async #register(): Promise<boolean> {
    const lease = await this.#store.grantLease(ENTRY_TTL_MS);
    if (lease.isErr()) return this.#failed(lease.error);
    const value = Buffer.from(JSON.stringify(this.#entry));
    const written = await this.#store.write({
      conditions: [],
      puts: [{ key: this.#key, value, lease: lease.value.id }],
      removals: [],
    });
    if (written.isErr()) return this.#failed(written.error);
    this.#lease = lease.value.id;
    this.#log.info("registered", { key: this.#key, lease: lease.value.id, revision: written.value });
    return true;
  }

  async #renew(lease: number): Promise<boolean> {
    const renewed = await this.#store.renewLease(lease);
    if (renewed.isOk()) return true;
    if (renewed.error.failure === ports.StoreFailure.LeaseEnded) {
      this.#log.warn("registration-lapsed", { lease });
      this.#lease = undefined;
    }
    return this.#failed(renewed.error);
  }

  #failed(problem: ports.StoreProblem): boolean {
    this.#log.warn("registration-call-failed", { failure: problem.failure, detail: problem.detail });
    return false;
  }
}
