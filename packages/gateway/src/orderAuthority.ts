import type * as decisionLogs from "./decisionLog.js";
import * as ports from "./ports.js";

/** Share of the lease's time after which a holder that can't renew stops believing in it. */
const BELIEVED_PART = 0.7;

/** Renewals in the lease's time. */
const RENEWALS = 3;

/** Difference between steady clock and time of day that shows that the process stood still, in milliseconds. */
const STOOD_STILL_MS = 250;

/** Pause after a failed try to take the authority, in milliseconds. */
const RETRY_PAUSE_MS = 1_500;

/** What the authority needs. */
export interface AuthorityParts {
  readonly store: ports.DurableStore;
  readonly key: string;
  readonly vm: string;
  readonly log: decisionLogs.DecisionLog;
  /** Time for which the lease is granted, in milliseconds. */
  readonly leaseMs: number;
  /** Whether this daemon is the one that should hold the authority. */
  readonly eligible: () => boolean;
}

/**
 * The right to give orders to engines: a key under a lease, created by one
 * daemon at a time. Its creation revision is the fencing token: each holder's is
 * higher than all before. Orders are given only after a whole lease time has
 * passed since the key was created, so that a holder before, who may not know
 * that its lease has ended, has stopped by itself.
 */
export class OrderAuthority {
  readonly #parts: AuthorityParts;
  #lease: number | undefined;
  #token = 0;
  #usableFrom = 0;
  #believedUntil = 0;
  #clockOffset = 0;
  #stopped = false;

  /** @param parts - what it needs */
  constructor(parts: AuthorityParts) {
    this.#parts = parts;
  }

  /** Takes and keeps the authority while this daemon is eligible. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      const pause = this.#lease === undefined ? await this.#take() : await this.#keep(this.#lease);
      await new Promise((resolve) => setTimeout(resolve, pause));
    }
  }

  /** Gives the authority up, with its lease. */
  async end(): Promise<void> {
    this.#stopped = true;
    const lease = this.#lease;
    this.#drop("stopping");
    if (lease === undefined) return;
    const ended = await this.#parts.store.endLease(lease);
    if (ended.isErr()) this.#parts.log.warn("authority-not-ended", { detail: ended.error.detail });
  }

  /** @returns whether the key is this daemon's, as far as it knows; orders may have to wait all the same */
  get held(): boolean {
    return this.#lease !== undefined;
  }

  /**
   * @returns the fencing token, if orders may be given now
   */
  token(): number | undefined {
    const now = performance.now();
    if (this.#lease === undefined || now < this.#usableFrom || now >= this.#believedUntil) return undefined;
    // A frozen process's steady clock may not count the time it stood still; its lease ran on.
    if (Math.abs(clockOffset() - this.#clockOffset) > STOOD_STILL_MS) {
      this.#believedUntil = 0;
      this.#parts.log.warn("authority-doubted", { reason: "clocks differ since the last renewal" });
      return undefined;
    }
    return this.#token;
  }

  /** An engine has refused the token for a higher one: another daemon holds the authority. */
  onTokenRefused(): void {
    this.#drop("an engine has seen a higher token");
  }

  async #take(): Promise<number> {
    if (!this.#parts.eligible()) return RETRY_PAUSE_MS;
    const offset = clockOffset();
    const sentAt = performance.now();
    const lease = await this.#parts.store.grantLease(this.#parts.leaseMs);
    if (lease.isErr()) return RETRY_PAUSE_MS;
    const written = await this.#parts.store.write({
      conditions: [{ key: this.#parts.key, revision: 0 }],
      puts: [{ key: this.#parts.key, value: Buffer.from(this.#parts.vm), lease: lease.value.id }],
      removals: [],
    });
    if (written.isErr()) {
      this.#parts.log.info("authority-not-taken", { failure: written.error.failure });
      // Soon enough to follow a holder that has died before it is back from its restart.
      return this.#parts.leaseMs / 2;
    }
    this.#lease = lease.value.id;
    this.#token = written.value;
    this.#usableFrom = performance.now() + this.#parts.leaseMs;
    this.#believe(sentAt, offset);
    this.#parts.log.info("authority-taken", { token: this.#token, lease: this.#lease });
    return this.#parts.leaseMs / RENEWALS;
  }

  async #keep(lease: number): Promise<number> {
    const offset = clockOffset();
    const sentAt = performance.now();
    const renewed = await this.#parts.store.renewLease(lease);
    if (renewed.isOk()) this.#believe(sentAt, offset);
    // Any other failure says nothing of the lease. The key may stand, and forgetting it would mean to wait for one's own
    // key to lapse; that it is not believed in meanwhile is enough to keep orders back.
    else if (renewed.error.failure === ports.StoreFailure.LeaseEnded) this.#drop("the lease has ended");
    return this.#parts.leaseMs / RENEWALS;
  }

  /** Counted from before the call was sent: the holder always gives up before the service does. */
  #believe(sentAt: number, offset: number): void {
    this.#believedUntil = sentAt + this.#parts.leaseMs * BELIEVED_PART;
    this.#clockOffset = offset;
  }

  #drop(reason: string): void {
    if (this.#lease === undefined) return;
    this.#parts.log.warn("authority-lost", { token: this.#token, reason });
    this.#lease = undefined;
    this.#believedUntil = 0;
  }
}

function clockOffset(): number {
  return Date.now() - performance.now();
}
