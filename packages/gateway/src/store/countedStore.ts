import type * as neverthrow from "neverthrow";
import type * as metricsModule from "../metrics.js";
import type * as ports from "../ports.js";

/** What a call to the key-value service is for. */
export enum Purpose {
  /** Changes since the last read. */
  Watch = "watch",
  /** Everything, after a start, a lost history or a long time without reading. */
  List = "list",
  /** A read of the configuration alone, for a request that the known one may not decide on. */
  Configuration = "configuration",
  /** This daemon's entry, except for the renewals of its lease. */
  Registration = "registration",
  LeaseRenewal = "lease_renewal",
  /** The lease on the duties of the fleet, and what is kept about the orders. */
  Orders = "orders",
  UsageRecords = "usage_records",
  Suspects = "suspects",
  /** The longest timeout of streams, where it has been raised. */
  StreamTimeout = "stream_timeout",
}

/** What calls of one user of the service are for, where it differs from the others of that user. */
export interface SpecialPurposes {
  readonly watch?: Purpose;
  readonly renewLease?: Purpose;
}

/** Counts the calls of one user of the key-value service by what they are for; all else is the service's. */
export class CountedStore implements ports.DurableStore {
  readonly #store: ports.DurableStore;
  readonly #metrics: Pick<metricsModule.Metrics, "count">;
  readonly #purpose: Purpose;
  readonly #special: SpecialPurposes;

  /**
   * @param store - the key-value service
   * @param metrics - counts the calls
   * @param purpose - what the user's calls are for
   * @param special - calls that are for something else
   */
  constructor(
    store: ports.DurableStore,
    metrics: Pick<metricsModule.Metrics, "count">,
    purpose: Purpose,
    special: SpecialPurposes = {},
  ) {
    this.#store = store;
    this.#metrics = metrics;
    this.#purpose = purpose;
    this.#special = special;
  }

  /** {@inheritDoc ports.DurableStore.list} */
  async list(prefix: string): Promise<neverthrow.Result<ports.StoreListing, ports.StoreProblem>> {
    const listing = await this.#store.list(prefix);
    this.#count(this.#purpose, listing.isOk() ? listing.value.calls : undefined);
    return listing;
  }

  /** {@inheritDoc ports.DurableStore.watch} */
  watch(
    prefix: string,
    afterRevision: number,
    waitMs: number,
  ): Promise<neverthrow.Result<ports.StoreChanges, ports.StoreProblem>> {
    this.#count(this.#special.watch ?? this.#purpose);
    return this.#store.watch(prefix, afterRevision, waitMs);
  }

  /** {@inheritDoc ports.DurableStore.write} */
  write(write: ports.ConditionalWrite): Promise<neverthrow.Result<number, ports.StoreProblem>> {
    this.#count(this.#purpose);
    return this.#store.write(write);
  }

  /** {@inheritDoc ports.DurableStore.grantLease} */
  grantLease(ttlMs: number): Promise<neverthrow.Result<ports.GrantedLease, ports.StoreProblem>> {
    this.#count(this.#purpose);
    return this.#store.grantLease(ttlMs);
  }

  /** {@inheritDoc ports.DurableStore.renewLease} */
  renewLease(lease: number): Promise<neverthrow.Result<void, ports.StoreProblem>> {
    this.#count(this.#special.renewLease ?? this.#purpose);
    return this.#store.renewLease(lease);
  }

  /** {@inheritDoc ports.DurableStore.endLease} */
  endLease(lease: number): Promise<neverthrow.Result<void, ports.StoreProblem>> {
    this.#count(this.#purpose);
    return this.#store.endLease(lease);
  }

  #count(purpose: Purpose, calls = 1): void {
    this.#metrics.count(`store_calls_total{purpose="${purpose}"}`, calls);
  }
}

/**
 * @param store - the key-value service
 * @param metrics - counts the calls
 * @returns the service as each of its users calls it
 */
export function countedStores(
  store: ports.DurableStore,
  metrics: Pick<metricsModule.Metrics, "count">,
): Record<
  "follower" | "configuration" | "registration" | "duties" | "usage" | "suspects" | "streamTimeout",
  ports.DurableStore
> {
  return {
    follower: new CountedStore(store, metrics, Purpose.List, { watch: Purpose.Watch }),
    configuration: new CountedStore(store, metrics, Purpose.Configuration),
    registration: new CountedStore(store, metrics, Purpose.Registration, { renewLease: Purpose.LeaseRenewal }),
    duties: new CountedStore(store, metrics, Purpose.Orders),
    usage: new CountedStore(store, metrics, Purpose.UsageRecords),
    suspects: new CountedStore(store, metrics, Purpose.Suspects),
    streamTimeout: new CountedStore(store, metrics, Purpose.StreamTimeout),
  };
}
