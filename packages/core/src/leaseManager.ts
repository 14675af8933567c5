import * as common from "@camphorcourse/common";
import * as actions from "./actions.js";
import * as constants from "./constants.js";
import * as controlKeys from "./controlKeys.js";
import * as keyValue from "./keyValueTypes.js";
import * as leases from "./leases.js";
import type * as membership from "./membership.js";

/** What the desk asks of its surroundings. */
export interface LeaseContext {
  readonly random: common.SeededRandom;
  readonly shards: leases.ShardLeases;
  /** The shards that have any service. */
  wantedShards(): Set<string>;
  servingMembers(): membership.Registration[];
  emit(action: actions.Action): void;
}

/** Keeps the daemon's lease, its registration under it, and the shards that fall to it. */
export class LeaseManager {
  readonly #context: LeaseContext;
  readonly #lease = new leases.OwnLease();
  readonly #takingShards = new Set<string>();
  #registration: membership.Registration;
  #registeredUnder = "";
  #registering = false;
  #renewing = false;
  #nextRenewalAt = 0;

  /**
   * @param registration - of this daemon
   * @param context - the daemon round the desk
   */
  constructor(registration: membership.Registration, context: LeaseContext) {
    this.#registration = registration;
    this.#context = context;
  }

  /** @returns this daemon's registration as it should stand */
  get registration(): membership.Registration {
    return this.#registration;
  }

  /** @returns the id of the lease in the key-value service */
  get leaseId(): string | undefined {
    return this.#lease.id;
  }

  /**
   * @param now - current time
   * @returns whether orders may be given under the lease
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

  /** @param now - current time; renews the lease if that is due */
  renew(now: number): void {
    if (this.#renewing || now < this.#nextRenewalAt || this.#registration.stopped) return;
    this.#renewing = true;
    // Jitter keeps daemons that lost the service together from returning together.
    this.#nextRenewalAt = now + constants.LEASE_RENEWAL_INTERVAL_MS * (0.9 + 0.2 * this.#context.random.next());
    const lease = this.#lease.id;
    this.#context.emit({ type: actions.ActionType.RenewLease, ...(lease === undefined ? {} : { lease }) });
  }

  /**
   * @param lease - lease that was granted or renewed
   * @param sentAt - time before the call was sent
   * @param ttlMs - time to live
   */
  onRenewed(lease: string, sentAt: number, ttlMs: number): void {
    this.#renewing = false;
    this.#lease.onRenewed(lease, sentAt, ttlMs);
    this.#register();
  }

  /** A call to the service failed; the next renewal is tried at its time. */
  onFailed(): void {
    this.#renewing = false;
  }

  /** @param now - current time; the service says that the lease has ended */
  onLost(now: number): void {
    this.#renewing = false;
    this.#nextRenewalAt = now;
    this.#lease.onLost();
  }

  /** The registration has gone from the service: it is written again. */
  onUnregistered(): void {
    this.#registeredUnder = "";
  }

  /** @param outcome - how the write of the registration ended */
  onRegistered(outcome: keyValue.TransactionOutcome): void {
    this.#registering = false;
    if (outcome === keyValue.TransactionOutcome.Applied) this.#register();
    else this.#registeredUnder = "";
  }

  /** @param shard - the write that was to take it has ended */
  onShardWritten(shard: string): void {
    this.#takingShards.delete(shard);
  }

  /** The daemon leaves: callers are sent elsewhere. */
  markLeaving(): void {
    this.#registration = { ...this.#registration, leaving: true };
    this.#register();
  }

  /** Nothing runs here any more. */
  markStopped(): void {
    this.#registration = { ...this.#registration, stopped: true };
    this.#registering = false;
    this.#register();
  }

  /** @param now - current time; takes the free shards for which this daemon is the preferred one */
  takeShards(now: number): void {
    if (!this.#lease.isValid(now) || this.#registration.leaving) return;
    const candidates = this.#context.servingMembers().map((member) => member.vm);
    for (const shard of this.#context.wantedShards()) {
      if (this.#context.shards.get(shard) || this.#takingShards.has(shard)) continue;
      const [preferred] = common.rendezvousOrder(`shard/${shard}`, candidates);
      if (preferred === this.#registration.vm) this.#take(shard);
    }
  }

  #take(shard: string): void {
    this.#takingShards.add(shard);
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
    const under = `${this.#lease.id ?? ""}/${value}`;
    if (this.#registering || this.#registeredUnder === under) return;
    this.#registering = true;
    this.#registeredUnder = under;
    const key = controlKeys.controlKey(controlKeys.ControlKind.Member, this.#registration.vm);
    this.#transact("register", { conditions: [], puts: [{ key, value, leased: true }] });
  }

  #transact(token: string, transaction: keyValue.Transaction): void {
    this.#context.emit({ type: actions.ActionType.Transact, token, transaction });
  }
}
