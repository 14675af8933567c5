import * as serving from "@camphorcourse/serving";
import type * as decisionLogs from "./decisionLog.js";
import type * as fleetViews from "./fleetView.js";
import * as metricsModule from "./metrics.js";
import * as ports from "./ports.js";

/** Longest wait of one watch, in milliseconds: a connection that has gone silent shows after it. */
const WATCH_WAIT_MS = 1_500;

/**
 * Pause between two watches, in milliseconds. Endpoints' heartbeats would wake
 * a watch several times a second, and each return is a call; what is read a
 * little later is still well within the bounds on leaving and configuration.
 */
const WATCH_PAUSE_MS = 650;

/** First and longest pause after a failed call, in milliseconds; doubled each time, with half of it drawn. */
const RETRY_PAUSE_MS = { first: 120, longest: 900 };

/** Time without an answer from which the service counts as away, in milliseconds. */
const AWAY_AFTER_MS = 1_000;

/** What the follower needs. */
export interface FollowerParts {
  readonly store: ports.DurableStore;
  readonly layout: ports.StoreLayout;
  readonly view: fleetViews.FleetView;
  readonly log: decisionLogs.DecisionLog;
  readonly metrics: metricsModule.Metrics;
  /** @returns a uniform number in [0, 1) */
  readonly draw: () => number;
  /** Called for each change of a belief about an endpoint. */
  readonly onEndpoint: (news: serving.EndpointNews) => void;
  /** Called when a configuration has come into force. */
  readonly onConfiguration: () => void;
}

/** Follows the configuration, the endpoints and the other daemons in the key-value service. */
export class StoreFollower {
  readonly #parts: FollowerParts;
  #revision: number | undefined;
  #failures = 0;
  #answeredAt: number | undefined;
  #away = false;
  #listDueAt: number | undefined;
  #stopped = false;

  /** @param parts - what it needs */
  constructor(parts: FollowerParts) {
    this.#parts = parts;
  }

  /** @returns instant of the last answer, in milliseconds, if there was one */
  get answeredAt(): number | undefined {
    return this.#answeredAt;
  }

  /** Follows until it is stopped. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      const pause = await this.#step();
      if (pause > 0) await new Promise((resolve) => setTimeout(resolve, pause));
    }
  }

  /** Ends following after the call that is under way. */
  stop(): void {
    this.#stopped = true;
  }

  async #step(): Promise<number> {
    const listDue = this.#listDueAt !== undefined && performance.now() >= this.#listDueAt;
    if (this.#revision === undefined || listDue) return this.#list();
    return this.#watch(this.#revision);
  }

  async #list(): Promise<number> {
    const started = performance.now();
    const listing = await this.#parts.store.list(this.#parts.layout.watchedPrefix);
    if (listing.isErr()) return this.#failed(listing.error, started);
    this.#answered(started);
    if (this.#listDueAt !== undefined && performance.now() >= this.#listDueAt) this.#listDueAt = undefined;
    this.#takeListing(listing.value);
    this.#revision = listing.value.revision;
    return 0;
  }

  async #watch(after: number): Promise<number> {
    const started = performance.now();
    const changes = await this.#parts.store.watch(this.#parts.layout.watchedPrefix, after, WATCH_WAIT_MS);
    if (changes.isErr()) {
      if (changes.error.failure === ports.StoreFailure.HistoryLost) {
        this.#parts.log.warn("store-history-lost", { after });
        this.#answered(started);
        this.#revision = undefined;
        return 0;
      }
      return this.#failed(changes.error, started);
    }
    this.#answered(started);
    for (const event of changes.value.events) this.#takeEvent(event);
    this.#revision = Math.max(after, changes.value.revision);
    return WATCH_PAUSE_MS;
  }

  #answered(startedAt: number): void {
    const { log, metrics, view } = this.#parts;
    const now = performance.now();
    metrics.count("store_calls_answered");
    this.#failures = 0;
    if (this.#away) {
      const awayMs = Math.round(now - (this.#answeredAt ?? 0));
      log.info("store-regained", { awayMs });
      this.#away = false;
      view.directory.storeReturned(now);
      this.#listDueAt = now + serving.REGISTRATION_RETURN_MS;
    }
    this.#answeredAt = now;
    metrics.record(metricsModule.Duration.StoreCall, now - startedAt);
  }

  #failed(problem: ports.StoreProblem, startedAt: number): number {
    const { log, metrics } = this.#parts;
    const now = performance.now();
    metrics.count("store_calls_failed");
    this.#failures++;
    const awayFor = now - (this.#answeredAt ?? startedAt);
    if (!this.#away && (awayFor > AWAY_AFTER_MS || this.#failures > 1)) {
      this.#away = true;
      log.warn("store-lost", { failure: problem.failure, detail: problem.detail, silentMs: Math.round(awayFor) });
    }
    const pause = Math.min(RETRY_PAUSE_MS.longest, RETRY_PAUSE_MS.first * 2 ** (this.#failures - 1));
    return pause * (0.5 + this.#parts.draw() / 2);
  }

  #takeListing(listing: ports.StoreListing): void {
    const { layout, view } = this.#parts;
    const endpoints: { endpoint: serving.Endpoint; revision: number }[] = [];
    const daemons = new Set<string>();
    for (const item of listing.items) {
      if (item.key.startsWith(layout.endpointPrefix)) {
        const endpoint = this.#decodeEndpoint(item);
        if (endpoint !== undefined) endpoints.push({ endpoint, revision: item.revision });
        continue;
      }
      if (item.key.startsWith(layout.daemonPrefix)) daemons.add(item.key);
      this.#takeItem(item);
    }
    for (const news of view.directory.replace(endpoints, listing.revision, performance.now())) this.#tell(news);
    for (const key of [...view.daemons.keys()]) if (!daemons.has(key)) this.#removeDaemon(key);
  }

  #takeEvent(event: ports.StoreEvent): void {
    const { layout, view } = this.#parts;
    if (event.item !== undefined) {
      this.#takeItem(event.item);
      return;
    }
    if (event.key.startsWith(layout.daemonPrefix)) this.#removeDaemon(event.key);
    if (!event.key.startsWith(layout.endpointPrefix)) return;
    // A removal just after the service's return may be a lapse of the outage; the listing that follows tells.
    if (view.directory.lapsesDoubted(performance.now())) return;
    const news = view.directory.remove(event.key.slice(layout.endpointPrefix.length), event.revision);
    if (news !== undefined) this.#tell(news);
  }

  #takeItem(item: ports.StoredItem): void {
    const { layout, view } = this.#parts;
    if (item.key === layout.configurationKey) {
      this.#takeConfiguration(item);
    } else if (item.key.startsWith(layout.endpointPrefix)) {
      const endpoint = this.#decodeEndpoint(item);
      const news = endpoint === undefined ? undefined : view.directory.put(endpoint, item.revision);
      if (news !== undefined) this.#tell(news);
    } else if (item.key.startsWith(layout.daemonPrefix)) {
      this.#takeDaemon(item);
    }
  }

  #takeConfiguration(item: ports.StoredItem): void {
    const { layout, view, log } = this.#parts;
    if (item.revision <= view.configurationRevision) return;
    const configuration = layout.decodeConfiguration(item.value);
    if (configuration.isErr()) {
      log.warn("configuration-unreadable", { revision: item.revision, detail: configuration.error });
      return;
    }
    if (!view.configure(configuration.value, item.value, item.revision)) return;
    log.info("configuration-in-force", {
      version: configuration.value.version,
      revision: item.revision,
      routes: configuration.value.routes.length,
      source: "store",
    });
    this.#parts.onConfiguration();
  }

  #decodeEndpoint(item: ports.StoredItem): serving.Endpoint | undefined {
    const { layout, log } = this.#parts;
    const endpoint = layout.decodeEndpoint(item.key.slice(layout.endpointPrefix.length), item.value);
    if (endpoint.isOk()) return endpoint.value;
    log.warn("endpoint-entry-unreadable", { key: item.key, revision: item.revision, detail: endpoint.error });
    return undefined;
  }

  #takeDaemon(item: ports.StoredItem): void {
    const { view, log } = this.#parts;
    try {
      const entry = JSON.parse(Buffer.from(item.value).toString()) as fleetViews.DaemonEntry;
      if (!view.daemons.has(item.key)) log.info("daemon-joined", { daemon: entry.vm, revision: item.revision });
      view.daemons.set(item.key, entry);
    } catch (error) {
      log.warn("daemon-entry-unreadable", { key: item.key, detail: String(error) });
    }
  }

  #removeDaemon(key: string): void {
    const entry = this.#parts.view.daemons.get(key);
    if (entry === undefined) return;
    this.#parts.view.daemons.delete(key);
    this.#parts.log.info("daemon-left", { daemon: entry.vm });
  }

  #tell(news: serving.EndpointNews): void {
    this.#parts.log.info("endpoint", {
      change: news.change,
      endpoint: news.endpoint.id,
      service: news.endpoint.service,
      address: news.endpoint.address,
      revision: news.revision,
      source: "store",
    });
    this.#parts.onEndpoint(news);
  }
}
