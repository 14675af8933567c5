import type * as decisionLogs from "../decisionLog.js";
import * as ports from "../ports.js";

/** Share of the lease time after which a holder that can't renew the lease no longer relies on it. */
const VALID_LEASE_SHARE = 0.7;

/** Number of renewals per lease time. */
const RENEWALS_PER_LEASE = 3;

/** Change of the offset between monotonic and wall clock that shows that the process was suspended, in milliseconds. */
const MAX_CLOCK_DRIFT_MS = 250;

/** Delay after a failed attempt to acquire the authority, in milliseconds. */
const RETRY_PAUSE_MS = 1_500;

/** Interval at which a candidate looks whether a peer still holds the authority, in milliseconds; it makes no call. */
const HELD_CHECK_MS = 100;

/** Dependencies of {@link DutyLease}. */
export interface DutyLeaseParts {
  readonly store: ports.DurableStore;
  readonly key: string;
  readonly vm: string;
  readonly log: decisionLogs.DecisionLog;
  /** Lease time, in milliseconds. */
  readonly leaseMs: number;
  /** Whether whoever takes orders refuses a lower fencing token than it has seen. */
  readonly isFenced?: boolean;
  /** Whether this daemon is the one that should hold the authority. */
  readonly eligible: () => boolean;
  /**
   * Until when peers rely on the lease, as they say in their heartbeats, in milliseconds. The service ends no lease before
   * that.
   */
  readonly heldElsewhereUntil?: () => readonly number[];
  /** Called when this daemon has taken or lost the lease. */
  readonly onHeldChange?: (isHeld: boolean) => void;
}

/**
 * Distributed lock on the duties of the fleet, such as orders to engines: a key under a lease, created by one daemon at
 * a time. Its creation revision is the fencing token, which increases with every holder. Where tokens are checked, the
 * holder acts at once. Elsewhere it acts only after a whole lease time has passed since the key was created: by then a
 * previous holder, which may not know that its lease has ended, has stopped by itself. A daemon that takes the lease
 * again also waits, so that holders don't take turns within a lease time.
 */
export class DutyLease {
  readonly #parts: DutyLeaseParts;
  #lease: number | undefined;
  #token = 0;
  #usableFrom = 0;
  #lostAt = Number.NEGATIVE_INFINITY;
  #validUntil = 0;
  #clockOffset = 0;
  #stopped = false;

  /** @param parts - dependencies */
  constructor(parts: DutyLeaseParts) {
    this.#parts = parts;
  }

  /** Acquires and renews the authority while this daemon is eligible. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      const pause = this.#lease === undefined ? await this.#acquire() : await this.#renew(this.#lease);
      await new Promise((resolve) => setTimeout(resolve, pause));
    }
  }

  /** Releases the authority by ending its lease. */
  async end(): Promise<void> {
    this.#stopped = true;
    const lease = this.#lease;
    this.#lose("stopping");
    if (lease === undefined) return;
    const ended = await this.#parts.store.endLease(lease);
    if (ended.isErr()) this.#parts.log.warn("authority-not-ended", { detail: ended.error.detail });
  }

  /** @returns whether this daemon holds the key, as far as it knows; orders may still have to wait */
  get held(): boolean {
    return this.#lease !== undefined;
  }

  /** @returns the fencing token, if orders may be given now */
  token(): number | undefined {
    const now = performance.now();
    if (this.#lease === undefined || now < this.#usableFrom || now >= this.#validUntil) return undefined;
    // The monotonic clock may not advance while the process is suspended, but its lease keeps running.
    if (Math.abs(clockOffset() - this.#clockOffset) > MAX_CLOCK_DRIFT_MS) {
      this.#validUntil = 0;
      this.#parts.log.warn("authority-doubted", { reason: "clock offset changed since the last renewal" });
      return undefined;
    }
    return this.#token;
  }

  /** @returns time for which this daemon relies on the lease in milliseconds, if it holds it */
  get validMs(): number | undefined {
    const leftMs = this.#validUntil - performance.now();
    return this.#lease === undefined || leftMs <= 0 ? undefined : leftMs;
  }

  /** Handles a refusal of the token in favour of a higher one: another daemon holds the lease. */
  onTokenRefused(): void {
    this.#lose("a higher token has been seen");
  }

  async #acquire(): Promise<number> {
    if (!this.#parts.eligible()) return RETRY_PAUSE_MS;
    if (this.#isHeldElsewhere()) return HELD_CHECK_MS;
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
      // Early enough to take over from a holder that died, before it has restarted.
      return this.#parts.leaseMs / 2;
    }
    // Taken while this daemon was stopping, it would keep the duties running and the lease from others.
    if (this.#stopped) {
      await this.#parts.store.endLease(lease.value.id);
      return 0;
    }
    this.#lease = lease.value.id;
    this.#token = written.value;
    const mayActAtOnce = this.#parts.isFenced === true;
    this.#usableFrom = (mayActAtOnce ? this.#lostAt : performance.now()) + this.#parts.leaseMs;
    this.#extendValidity(sentAt, offset);
    this.#parts.log.info("authority-taken", { token: this.#token, lease: this.#lease });
    this.#parts.onHeldChange?.(true);
    return this.#parts.leaseMs / RENEWALS_PER_LEASE;
  }

  /**
   * Each attempt to take a lease that is held costs two calls, and the candidate would make one twice in each lease time:
   * the holder keeps the lease when another daemon becomes the candidate. A claim for longer than a lease time is
   * impossible.
   */
  #isHeldElsewhere(): boolean {
    const { heldElsewhereUntil, leaseMs } = this.#parts;
    const now = performance.now();
    return heldElsewhereUntil?.().some((until) => until > now && until <= now + leaseMs) ?? false;
  }

  async #renew(lease: number): Promise<number> {
    const offset = clockOffset();
    const sentAt = performance.now();
    const renewed = await this.#parts.store.renewLease(lease);
    if (renewed.isOk()) this.#extendValidity(sentAt, offset);
    // Any other failure says nothing about the lease. The key may still exist, and giving it up would mean waiting for
    // this daemon's own key to expire. No orders are given meanwhile, because the lease is no longer valid locally.
    else if (renewed.error.failure === ports.StoreFailure.LeaseEnded) this.#lose("the lease has ended");
    return this.#parts.leaseMs / RENEWALS_PER_LEASE;
  }

  /** Counts from before the call was sent, so that the holder always stops before the service ends the lease. */
  #extendValidity(sentAt: number, offset: number): void {
    this.#validUntil = sentAt + this.#parts.leaseMs * VALID_LEASE_SHARE;
    this.#clockOffset = offset;
  }

  #lose(reason: string): void {
    if (this.#lease === undefined) return;
    this.#parts.log.warn("authority-lost", { token: this.#token, reason });
    this.#lease = undefined;
    this.#validUntil = 0;
    this.#lostAt = performance.now();
    this.#parts.onHeldChange?.(false);
  }
}

function clockOffset(): number {
  return Date.now() - performance.now();
}
