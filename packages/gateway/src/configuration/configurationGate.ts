import type * as serving from "@camphorcourse/serving";
import type * as callerRequests from "../callerRequest.js";
import type * as decisionLogs from "../decisionLog.js";
import * as fleetViewUpdaters from "../fleetViewUpdater.js";
import type * as fleetViews from "../fleetView.js";
import type * as metricsModule from "../metrics.js";
import type * as ports from "../ports.js";

/**
 * Greatest age of the configuration by which a request is refused for good, in milliseconds: a route or a key may have
 * been added since. An accepted configuration has to be in force within seconds.
 */
const MAX_REFUSING_AGE_MS = 1_500;

/**
 * Greatest age by which a request is served without a look at the key-value service, in milliseconds. It is more than
 * readers and heartbeats need in steady state.
 */
const MAX_SERVING_AGE_MS = 2_500;

/** Time from the beginning of a read for which requests wait for it, in milliseconds; a slow service delays few of them. */
const MAX_WAIT_MS = 400;

/**
 * Shortest time between the beginnings of two reads, in milliseconds: one that fails, or that finds a configuration which
 * can't be decoded here, would be repeated for each request.
 */
const MIN_INTERVAL_MS = 500;

/** Dependencies of {@link ConfigurationGate}. */
export interface ConfigurationGateParts {
  readonly store: Pick<ports.DurableStore, "list">;
  readonly layout: Pick<ports.StoreLayout, "configurationKey">;
  readonly view: fleetViews.FleetView;
  readonly fleetViewUpdater: Pick<fleetViewUpdaters.FleetViewUpdater, "applyConfiguration">;
  readonly log: decisionLogs.DecisionLog;
  readonly metrics: metricsModule.Metrics;
  /** @returns whether the key-value service doesn't answer */
  readonly isStoreUnreachable: () => boolean;
}

/**
 * Decides which requests the configuration in force may decide on, by the instant as of which it is known to be the
 * newest, and reads it again where that is too long ago. A request is refused for good only by a configuration that was
 * the newest a moment ago. One that the configuration allows is served by an older one, too, if the key-value service
 * doesn't answer: nothing newer can be accepted then.
 */
export class ConfigurationGate {
  readonly #parts: ConfigurationGateParts;
  /** The read that is under way. */
  #reading: Promise<void> | undefined;
  /** When the latest read began, in milliseconds. */
  #begunAt = Number.NEGATIVE_INFINITY;

  /** @param parts - dependencies */
  constructor(parts: ConfigurationGateParts) {
    this.#parts = parts;
  }

  /** @returns time since the instant as of which the configuration in force is known to be the newest, in milliseconds */
  get ageMs(): number {
    return this.#parts.view.freshness.ageMs(performance.now());
  }

  /** @returns whether a request may be refused for good by the configuration in force */
  get isCurrent(): boolean {
    return this.ageMs <= MAX_REFUSING_AGE_MS;
  }

  /**
   * @param request - a caller's request
   * @returns whether the configuration has to be confirmed before the request is decided on
   */
  mustConfirm(request: callerRequests.CallerRequest): boolean {
    const { view } = this.#parts;
    const { ageMs } = this;
    if (ageMs <= MAX_REFUSING_AGE_MS || view.table === undefined) return false;
    return ageMs > MAX_SERVING_AGE_MS || isRefused(request, view.table);
  }

  /**
   * Reads the configuration unless it is current or the key-value service doesn't answer. Requests that arrive together
   * share one read.
   *
   * @returns a promise that is fulfilled when the configuration is confirmed, or can't be soon
   */
  async confirm(): Promise<void> {
    if (this.isCurrent || this.#parts.isStoreUnreachable()) return;
    const now = performance.now();
    if (this.#reading === undefined && now - this.#begunAt >= MIN_INTERVAL_MS) this.#begin(now);
    const waitMs = this.#begunAt + MAX_WAIT_MS - now;
    if (this.#reading === undefined || waitMs <= 0) return;
    await Promise.race([this.#reading, new Promise((resolve) => setTimeout(resolve, waitMs))]);
  }

  #begin(now: number): void {
    this.#begunAt = now;
    this.#reading = this.#read(now).finally(() => {
      this.#reading = undefined;
    });
  }

  async #read(begunAt: number): Promise<void> {
    const { fleetViewUpdater, layout, log, metrics, store, view } = this.#parts;
    const ageMs = Math.round(this.ageMs);
    const listing = await store.list(layout.configurationKey);
    const tookMs = Math.round(performance.now() - begunAt);
    const before = view.configurationRevision;
    if (listing.isErr()) {
      metrics.count("configuration_reads_failed");
      log.info("configuration-unconfirmed", { revision: before, ageMs, tookMs, detail: listing.error.detail });
      return;
    }
    const item = listing.value.items.find(({ key }) => key === layout.configurationKey);
    if (item === undefined) return;
    fleetViewUpdater.applyConfiguration(item.value, item.revision, fleetViewUpdaters.Source.Store, begunAt);
    view.freshness.noteConfirmed(view.configurationRevision, begunAt);
    metrics.count("configuration_reads");
    log.info("configuration-confirmed", { revision: view.configurationRevision, before, ageMs, tookMs });
  }
}

/** Whether the configuration refuses a request for good: it has no such route, or no such key. */
function isRefused({ headers, host, path }: callerRequests.CallerRequest, table: serving.RouteTable): boolean {
  const route = table.find(host, path);
  return route === undefined || table.organisations.admit(route, headers.credential, () => true).isErr();
}
