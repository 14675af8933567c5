import * as neverthrow from "neverthrow";
import type * as decisionLogs from "./decisionLog.js";
import type * as daemonEntries from "./daemonEntry.js";
import * as ports from "./ports.js";

/**
 * Time to live of a daemon's entry, in milliseconds; long enough for a few lost renewals. Heartbeats show whether a
 * daemon is alive, so the entry may outlive it.
 */
const ENTRY_TTL_MS = 12_000;

/** Interval of lease renewals, in milliseconds: three fit into the time to live. */
const RENEW_INTERVAL_MS = 3_800;

/**
 * Interval of the renewals of a daemon that nobody relies on, in milliseconds: two fit into the time to live, and half a
 * dozen retries before it ends. It serves no callers and reads for nobody; while others rely on it, as soon as the usual
 * interval has passed, it renews.
 */
const STANDBY_RENEW_INTERVAL_MS = 5_800;

/** Interval at which a daemon that nobody relies on checks whether others rely on it by now, in milliseconds. */
const STANDBY_CHECK_MS = 250;

/** Delay after a failed call, in milliseconds. */
const RETRY_PAUSE_MS = 500;

/**
 * @param sinceMs - time since the last renewal in milliseconds
 * @param isReliedOn - whether callers are sent to this daemon, or peers get from it what it reads
 * @returns time until the next renewal in milliseconds, as of now; 0 if it is due
 */
export function untilRenewalMs(sinceMs: number, isReliedOn: boolean): number {
  return Math.max(0, (isReliedOn ? RENEW_INTERVAL_MS : STANDBY_RENEW_INTERVAL_MS) - sinceMs);
}

/** Maintains this daemon's entry in the key-value service, by which the others discover it. */
export class Registration {
  readonly #store: ports.DurableStore;
  readonly #key: string;
  readonly #entry: daemonEntries.DaemonEntry;
  readonly #log: decisionLogs.DecisionLog;
  readonly #isReliedOn: () => boolean;
  /** The lease for the entry, once it is granted. */
  #grantedLease: number | undefined;
  /** The same lease, once the entry is known to be written. */
  #writtenLease: number | undefined;
  #stopped = false;

  /**
   * @param store - the key-value service
   * @param key - key of the entry
   * @param entry - the entry
   * @param log - logs registration events
   * @param isReliedOn - whether callers are sent to this daemon, or peers get from it what it reads
   */
  constructor(
    store: ports.DurableStore,
    key: string,
    entry: daemonEntries.DaemonEntry,
    log: decisionLogs.DecisionLog,
    isReliedOn: () => boolean,
  ) {
    this.#store = store;
    this.#key = key;
    this.#entry = entry;
    this.#log = log;
    this.#isReliedOn = isReliedOn;
  }

  /** @returns whether the entry was written and is not known to have lapsed */
  get registered(): boolean {
    return this.#writtenLease !== undefined;
  }

  /** Maintains the entry until {@link Registration.end}. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      const succeeded =
        this.#writtenLease === undefined ? await this.#register() : await this.#renew(this.#writtenLease);
      if (succeeded) await this.#waitForRenewal();
      else await sleep(RETRY_PAUSE_MS);
    }
  }

  /** Others may begin to rely on this daemon while it waits. */
  async #waitForRenewal(): Promise<void> {
    const since = performance.now();
    await sleep(RENEW_INTERVAL_MS);
    while (!this.#stopped && untilRenewalMs(performance.now() - since, this.#isReliedOn()) > 0)
      await sleep(STANDBY_CHECK_MS);
  }

  /** Removes the entry by ending its lease, so that callers and peers turn to other daemons. */
  async end(): Promise<void> {
    this.#stopped = true;
    if (this.#grantedLease === undefined) return;
    const ended = await this.#store.endLease(this.#grantedLease);
    if (ended.isErr()) this.#log.warn("registration-not-ended", { detail: ended.error.detail });
  }

  async #register(): Promise<boolean> {
    const lease = await this.#ensureLease();
    if (lease.isErr()) return this.#recordFailure(lease.error);
    const value = Buffer.from(JSON.stringify(this.#entry));
    const written = await this.#store.write({
      conditions: [],
      puts: [{ key: this.#key, value, lease: lease.value }],
      removals: [],
    });
    if (written.isErr()) return this.#recordFailure(written.error);
    this.#writtenLease = lease.value;
    this.#log.info("registered", { key: this.#key, lease: lease.value, revision: written.value });
    return true;
  }

  /**
   * Returns the current lease, or requests one. A write whose answer was lost may still be executed seconds later.
   * Under a lease of its own it would replace the entry and expire with that lease while another one is renewed, and
   * the daemon would stay unlisted. So all writes use one lease until the service reports that it has ended.
   */
  async #ensureLease(): Promise<neverthrow.Result<number, ports.StoreProblem>> {
    if (this.#grantedLease !== undefined) return neverthrow.ok(this.#grantedLease);
    const lease = await this.#store.grantLease(ENTRY_TTL_MS);
    if (lease.isErr()) return neverthrow.err(lease.error);
    this.#grantedLease = lease.value.id;
    return neverthrow.ok(lease.value.id);
  }

  async #renew(lease: number): Promise<boolean> {
    const renewed = await this.#store.renewLease(lease);
    if (renewed.isOk()) return true;
    return this.#recordFailure(renewed.error);
  }

  #recordFailure(problem: ports.StoreProblem): boolean {
    this.#log.warn("registration-call-failed", { failure: problem.failure, detail: problem.detail });
    if (problem.failure !== ports.StoreFailure.LeaseEnded) return false;
    this.#log.warn("registration-lapsed", { lease: this.#grantedLease });
    this.#writtenLease = undefined;
    this.#grantedLease = undefined;
    return false;
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
