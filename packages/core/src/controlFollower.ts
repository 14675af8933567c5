import type * as common from "@camphorcourse/common";
import * as actions from "./actions.js";
import * as configuration from "./configuration.js";
import * as controlKeys from "./controlKeys.js";
import type * as controlStore from "./controlStore.js";
import type * as keyValue from "./keyValueTypes.js";
import type * as leases from "./leases.js";
import type * as membership from "./membership.js";
import type * as orderManager from "./orderManager.js";
import type * as orders from "./orders.js";
import * as servicePool from "./servicePool.js";
import * as timeline from "./timeline.js";

/** State that control records change. */
export interface FollowerContext {
  readonly vm: string;
  readonly random: common.SeededRandom;
  readonly policy: servicePool.PolicySettings;
  readonly store: controlStore.ControlStore;
  readonly tree: configuration.ConfigurationTree;
  readonly roster: membership.Roster;
  readonly shards: leases.ShardLeases;
  readonly orders: orderManager.OrderManager;
  readonly pools: Map<string, servicePool.ServicePool>;
  /** Called when this daemon's own registration was deleted. */
  onUnregistered(): void;
  emit(action: actions.Action): void;
}

/** Applies control records: team documents, members, leases and orders. */
export class ControlFollower {
  readonly #context: FollowerContext;

  /** @param context - the state that records change */
  constructor(context: FollowerContext) {
    this.#context = context;
  }

  /**
   * Applies the records that are newer than the known ones.
   *
   * @param records - records that were read, watched or pushed by a peer
   * @param now - current time
   */
  apply(records: readonly keyValue.KeyRecord[], now: number): void {
    const changed = records.filter((record) => this.#context.store.apply(record));
    for (const record of changed) this.#applyRecord(record, now);
    if (changed.length > 0) this.refreshEndpoints(now);
  }

  #applyRecord(record: keyValue.KeyRecord, now: number): void {
    const parsed = controlKeys.parseControlKey(record.key);
    if (parsed?.kind === controlKeys.ControlKind.Member) this.#applyMember(parsed.name, record, now);
    if (parsed?.kind === controlKeys.ControlKind.Lease) this.#applyLease(parsed.name, record);
    if (record.deleted) return;
    if (parsed?.kind === controlKeys.ControlKind.Team) this.#applyTeam(parsed.name, record);
    if (parsed?.kind === controlKeys.ControlKind.Order) {
      const order = JSON.parse(record.value) as orders.OrderRecord;
      this.#context.orders.onRecord(order, record.modRevision, now);
      this.#noteOrder(order);
    }
  }

  #applyTeam(team: string, record: keyValue.KeyRecord): void {
    const { text, version } = JSON.parse(record.value) as controlKeys.TeamRecord;
    const parsed = configuration.parseTeamDocument(text, team);
    if (parsed.isErr() || !this.#context.tree.accept(parsed.value, record.modRevision)) return;
    this.#note(timeline.EventKind.ConfigurationApplied, { team, version, revision: record.modRevision });
    this.#configurePools(team);
  }

  #configurePools(team: string): void {
    for (const service of this.#context.tree.services()) {
      if (service.team !== team) continue;
      const pool =
        this.#context.pools.get(service.id) ??
        new servicePool.ServicePool(service, this.#context.random, this.#context.policy);
      pool.configure(service, this.#context.tree.endpointsOf(service.id));
      this.#context.pools.set(service.id, pool);
    }
    for (const [id, pool] of this.#context.pools) {
      if (pool.entry.team === team && !this.#context.tree.service(id)) pool.configure(pool.entry, []);
    }
  }

  #applyMember(vm: string, record: keyValue.KeyRecord, now: number): void {
    if (record.deleted) {
      this.#context.roster.onUnregistered(vm);
      if (vm === this.#context.vm) this.#context.onUnregistered();
      return;
    }
    const registration = JSON.parse(record.value) as membership.Registration;
    if (vm === this.#context.vm) return;
    if (this.#context.roster.onRegistered(registration, now)) this.#note(timeline.EventKind.MemberJoined, { vm });
  }

  #applyLease(shard: string, record: keyValue.KeyRecord): void {
    if (record.deleted) {
      this.#context.shards.onEnded(shard);
      return;
    }
    const { vm, incarnation } = JSON.parse(record.value) as leases.LeaseValue;
    this.#context.shards.onRead({ shard, vm, incarnation, epoch: record.createRevision });
    this.#note(timeline.EventKind.LeaseTaken, { shard, holder: vm, epoch: record.createRevision });
  }

  /**
   * Updates the roles and states of all endpoints.
   *
   * @param now - current time
   */
  refreshEndpoints(now: number): void {
    for (const pool of this.#context.pools.values()) {
      for (const endpoint of pool.endpoints) {
        const entry = this.#context.tree.endpoint(endpoint.id);
        endpoint.accepting =
          entry?.settings.state === configuration.EndpointState.Active && this.#context.orders.acceptsWork(endpoint.id);
        if (entry) endpoint.role = this.#context.orders.roleOf(entry, now);
      }
    }
  }

  #noteOrder(order: orders.OrderRecord): void {
    const kinds: Record<orders.OrderPhase, timeline.EventKind> = {
      draining: timeline.EventKind.OrderDraining,
      intended: timeline.EventKind.OrderIntended,
      settled: timeline.EventKind.OrderSettled,
      drained: timeline.EventKind.OrderSettled,
    };
    const { endpoint, number, epoch, targetRole, reason } = order;
    this.#note(kinds[order.phase], { endpoint, number, epoch, targetRole, reason });
  }

  #note(kind: timeline.EventKind, fields: Record<string, common.Field>): void {
    this.#context.emit({ type: actions.ActionType.Note, note: { kind, fields } });
  }
}
