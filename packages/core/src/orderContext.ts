import type * as common from "@camphorcourse/common";
import type * as actions from "./actions.js";
import type * as configuration from "./configuration.js";
import type * as events from "./events.js";
import type * as leases from "./leases.js";
import type * as membership from "./membership.js";
import type * as orders from "./orders.js";
import type * as servicePool from "./servicePool.js";

/** An order record with the revision at which it was written. */
export interface KnownOrder {
  readonly record: orders.OrderRecord;
  readonly revision: number;
}

/** An endpoint's last load report and when it was received. */
export interface ReceivedLoadReport {
  readonly report: events.LoadReport;
  readonly receivedAt: number;
}

/** Dependencies of the order manager and its parts. */
export interface OrderContext {
  readonly vm: string;
  readonly incarnation: string;
  readonly random: common.SeededRandom;
  readonly lingerMs: number;
  readonly roster: membership.Roster;
  readonly shards: leases.ShardLeases;
  readonly tree: configuration.ConfigurationTree;
  poolOf(service: string): servicePool.ServicePool | undefined;
  loadOf(endpoint: string): ReceivedLoadReport | undefined;
  leaseIsValid(now: number): boolean;
  emit(action: actions.Action): void;
}
