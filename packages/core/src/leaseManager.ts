import * as common from "@camphorcourse/common";
import * as actions from "./actions.js";
import * as constants from "./constants.js";
import * as controlKeys from "./controlKeys.js";
import * as keyValue from "./keyValueTypes.js";
import * as leases from "./leases.js";
import type * as membership from "./membership.js";

/** Dependencies of {@link LeaseManager}. */
export interface LeaseContext {
  readonly random: common.SeededRandom;
  readonly shards: leases.ShardLeases;
  /** The control shards that have at least one service. */
  wantedShards(): Set<string>;
  servingMembers(): membership.Registration[];
  emit(action: actions.Action): void;
}

/** Maintains the daemon's lease, its registration under that lease, and the control shards assigned to it. */
export class LeaseManager {
  readonly #context: LeaseContext;
  readonly #lease = new leases.OwnLease();
  readonly #acquiringShards = new Set<string>();
  #registration: membership.Registration;
  #lastRegistered = "";
  #isRegistering = false;
  #isRenewing = false;
  #nextRenewalAt = 0;

  /**
   * @param registration - this daemon's registration
   * @param context - dependencies
   */
  constructor(registration: membership.Registration, context: LeaseContext) {
    this.#registration = registration;
    this.#context = context;
  }

  /** @returns this daemon's intended registration, which may not be written yet */
  get registration(): membership.Registration {
    return this.#registration;
  }

  /** @returns the id of the lease in the key-value service */
  get leaseId(): string | undefined {
    return this.#lease.id;
  }

  /**
   * @param now - current time
   * @returns whether orders may be sent under the lease
   */
  isValid(now: number): boolean {
    return this.#lease.isValid(now);
  }

  /**
   * @param now - current time
   * @returns how long the process was paused, 0 if it was not
   */
  detectPause(now: number): number {
    const pausedMs = this.#lease.onTick(now);
    if (pausedMs > 0) this.#nextRenewalAt = now;
    return pausedMs;
  }

  /**
   * Renews the lease if a renewal is due.
   *
   * @param now - current time
   */
  renew(now: number): void {
    if (this.#isRenewing || now < this.#nextRenewalAt || this.#registration.stopped) return;
    this.#isRenewing = true;
    // Jitter prevents daemons that lost the service at the same time from all renewing at the same time.
    this.#nextRenewalAt = now + constants.LEASE_RENEWAL_INTERVAL_MS * (0.9 + 0.2 * this.#context.random.next());
    const lease = this.#lease.id;
    this.#context.emit({ type: actions.ActionType.RenewLease, ...(lease === undefined ? {} : { lease }) });
  }

  /**
   * @param lease - id of the lease that was granted or renewed
   * @param sentAt - time before the call was sent
   * @param ttlMs - time to live
   */
  onRenewed(lease: string, sentAt: number, ttlMs: number): void {
    this.#isRenewing = false;
    this.#lease.onRenewed(lease, sentAt, ttlMs);
    this.#register();
  }

  /** A call to the key-value service failed; the next renewal is sent on schedule. */
  onFailed(): void {
    this.#isRenewing = false;
  }

  /**
   * The key-value service reported that the lease has ended.
   *
   * @param now - current time
   */
  onLost(now: number): void {
    this.#isRenewing = false;
    this.#nextRenewalAt = now;
    this.#lease.onLost();
  }

  /** The registration was deleted from the key-value service; it is written again. */
  onUnregistered(): void {
    this.#lastRegistered = "";
  }

  /** @param outcome - outcome of the write of the registration */
  onRegistered(outcome: keyValue.TransactionOutcome): void {
    this.#isRegistering = false;
    if (outcome === keyValue.TransactionOutcome.Applied) this.#register();
    else this.#lastRegistered = "";
  }

  /** @param shard - the shard whose lease write has ended */
  onShardWritten(shard: string): void {
    this.#acquiringShards.delete(shard);
  }

  /** Registers the daemon as leaving, so that callers are given other daemons. */
  markLeaving(): void {
    this.#registration = { ...this.#registration, leaving: true };
    this.#register();
  }

  /** Registers the daemon as stopped: it has no requests any more. */
  markStopped(): void {
    this.#registration = { ...this.#registration, stopped: true };
    this.#isRegistering = false;
    this.#register();
  }

  /**
   * Acquires the free shards for which this daemon is the preferred one.
   *
   * @param now - current time
   */
  takeShards(now: number): void {
    if (!this.#lease.isValid(now) || this.#registration.leaving) return;
    const candidates = this.#context.servingMembers().map((member) => member.vm);
    for (const shard of this.#context.wantedShards()) {
      if (this.#context.shards.get(shard) || this.#acquiringShards.has(shard)) continue;
      const [preferred] = common.rendezvousOrder(`shard/${shard}`, candidates);
      if (preferred === this.#registration.vm) this.#acquire(shard);
    }
  }

  #acquire(shard: string): void {
    this.#acquiringShards.add(shard);
    const key = controlKeys.controlKey(controlKeys.ControlKind.Lease, shard);
    const { vm, incarnation } = this.#registration;
    const value: leases.LeaseValue = { vm, incarnation };
    this.#transact(`lease:${shard}`, {
      conditions: [{ key, kind: keyValue.RevisionKind.Created, revision: 0 }],
      puts: [{ key, value: JSON.stringify(value), leased: true }],
    });
  }

  #register(): void {
    const value = JSON.stringify(this.#registration);
    const leaseAndValue = `${this.#lease.id ?? ""}/${value}`;
    if (this.#isRegistering || this.#lastRegistered === leaseAndValue) return;
    this.#isRegistering = true;
    this.#lastRegistered = leaseAndValue;
    const key = controlKeys.controlKey(controlKeys.ControlKind.Member, this.#registration.vm);
    this.#transact("register", { conditions: [], puts: [{ key, value, leased: true }] });
  }

  #transact(token: string, transaction: keyValue.Transaction): void {
    this.#context.emit({ type: actions.ActionType.Transact, token, transaction });
  }
}
