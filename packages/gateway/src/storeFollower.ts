import * as serving from "@camphorcourse/serving";
import type * as fleetViewUpdaters from "./fleetViewUpdater.js";
import type * as decisionLogs from "./decisionLog.js";
import type * as fleetViews from "./fleetView.js";
import * as metricsModule from "./metrics.js";
import * as ports from "./ports.js";

/**
 * Timeout of one watch, in milliseconds; a dead connection is detected after it. A read counts as of its beginning, so
 * that what is known grows as old as two watches and the pause between them where nothing changes. That is to stay below
 * the age from which on the endpoints' versions count as unknown.
 */
const WATCH_WAIT_MS = 800;

/**
 * Delay between two watches, in milliseconds. Endpoints' heartbeats would end a watch several times a second, and each
 * one costs a call. Changes that are read a little later are still well within the time limits for departures and
 * configurations.
 */
const WATCH_PAUSE_MS = 650;

/** Delay between two watches of a daemon that does not read for others and that no peer updates, in milliseconds. */
const LONG_WATCH_PAUSE_MS = 1_500;

/**
 * Longest time without reading for an active daemon that is updated by peers, in milliseconds. It then reads what was
 * lost on the way.
 */
const MAX_READ_GAP_MS = 10_000;

/** Interval at which a waiting daemon checks whether it has to follow closely, in milliseconds. */
const PAUSE_CHECK_MS = 250;

/**
 * First and longest delay after a failed call, in milliseconds. It doubles with each failure, and half of it is random.
 * A standby daemon is updated by active ones, and waits longer so as not to load a failing service.
 */
const RETRY_PAUSE_MS = { first: 120, longest: 900, standby: 3_000 };

/** Time without reading after which everything is listed again instead of the changes since, in milliseconds. */
const RELIST_AFTER_MS = 5_000;

/** Time without an answer after which the key-value service counts as unreachable, in milliseconds. */
const UNREACHABLE_AFTER_MS = 1_000;

/** Dependencies of {@link StoreFollower}. */
export interface FollowerParts {
  readonly store: ports.DurableStore;
  readonly layout: ports.StoreLayout;
  readonly view: fleetViews.FleetView;
  readonly fleetViewUpdater: fleetViewUpdaters.FleetViewUpdater;
  readonly log: decisionLogs.DecisionLog;
  readonly metrics: metricsModule.Metrics;
  /** @returns a uniform random number in [0, 1) */
  readonly draw: () => number;
  /** @returns whether this daemon follows closely, for others too */
  readonly followsClosely: () => boolean;
  /** @returns whether peers read for this daemon and send it what has changed */
  readonly isUpdatedByPeers: () => boolean;
  /** @returns whether this daemon is on standby, and needs no reads of its own while peers update it */
  readonly isStandby: () => boolean;
  /** @returns whether most peers report that the key-value service doesn't answer */
  readonly isStoreUnreachableForPeers: () => boolean;
}

/** Watches the configuration, the endpoints and the other daemons in the key-value service. */
export class StoreFollower {
  readonly #parts: FollowerParts;
  #revision: number | undefined;
  #failures = 0;
  #answeredAt: number | undefined;
  /** Time of the first call since the last answer; undefined while no call is pending. */
  #unansweredSince: number | undefined;
  #unreachable = false;
  #listDueAt: number | undefined;
  #stopped = false;

  /** @param parts - dependencies */
  constructor(parts: FollowerParts) {
    this.#parts = parts;
  }

  /** @returns whether the service counts as unreachable */
  get isUnreachable(): boolean {
    return this.#unreachable;
  }

  /** @returns milliseconds for which the service has not answered; since the first call if it never has */
  get silentMs(): number {
    return this.#unansweredSince === undefined ? 0 : performance.now() - this.#unansweredSince;
  }

  /** Follows the service until it is stopped. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      await this.#waitWhileUpdatedByPeers();
      this.#unansweredSince ??= performance.now();
      const pause = await this.#step();
      if (pause > 0) await sleep(pause);
      if (pause === WATCH_PAUSE_MS) await this.#extendPause();
    }
  }

  /**
   * Waits while peers update this daemon, to read as rarely as possible. The changes of a long time are mostly
   * endpoints' heartbeats, many times as much data as a listing.
   */
  async #waitWhileUpdatedByPeers(): Promise<void> {
    const since = performance.now();
    const { isUpdatedByPeers, isStandby } = this.#parts;
    const canWait = (): boolean => isUpdatedByPeers() && (isStandby() || performance.now() - since < MAX_READ_GAP_MS);
    while (!this.#stopped && this.#revision !== undefined && !this.#unreachable && canWait())
      await sleep(PAUSE_CHECK_MS);
    if (performance.now() - since > RELIST_AFTER_MS) this.#revision = undefined;
  }

  /**
   * Extends the delay between two watches. A daemon that peers update may miss an outage of the service, and entries
   * that lapsed during it would look removed. So it also counts the service as unreachable if its peers do.
   */
  async #extendPause(): Promise<void> {
    const until = performance.now() + LONG_WATCH_PAUSE_MS - WATCH_PAUSE_MS;
    while (!this.#stopped && performance.now() < until && !this.#parts.followsClosely()) {
      if (!this.#unreachable && this.#parts.isStoreUnreachableForPeers()) {
        this.#unreachable = true;
        this.#parts.log.warn("store-lost", { failure: "peers", detail: "most peers report no answer", silentMs: 0 });
        return;
      }
      await sleep(PAUSE_CHECK_MS);
    }
  }

  /** Stops after the current call. */
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
    if (listing.isErr()) return this.#recordFailure(listing.error, started);
    this.#recordAnswer(started);
    if (this.#listDueAt !== undefined && performance.now() >= this.#listDueAt) this.#listDueAt = undefined;
    this.#parts.fleetViewUpdater.applyListing(listing.value, started);
    this.#parts.view.versions.noteListed(started);
    this.#noteConfirmed(started);
    this.#revision = listing.value.revision;
    return 0;
  }

  async #watch(after: number): Promise<number> {
    const started = performance.now();
    const changes = await this.#parts.store.watch(this.#parts.layout.watchedPrefix, after, WATCH_WAIT_MS);
    if (changes.isErr()) {
      if (changes.error.failure === ports.StoreFailure.HistoryLost) {
        this.#parts.log.warn("store-history-lost", { after });
        this.#recordAnswer(started);
        this.#revision = undefined;
        return 0;
      }
      return this.#recordFailure(changes.error, started);
    }
    this.#recordAnswer(started);
    for (const event of changes.value.events) this.#parts.fleetViewUpdater.applyEvent(event, started);
    this.#parts.view.versions.noteFollowed(started);
    this.#noteConfirmed(started);
    this.#revision = Math.max(after, changes.value.revision);
    return WATCH_PAUSE_MS;
  }

  /** All that the service had accepted when the call began is in force now. */
  #noteConfirmed(startedAt: number): void {
    const { freshness, configurationRevision } = this.#parts.view;
    if (configurationRevision > 0) freshness.noteConfirmed(configurationRevision, startedAt);
  }

  #recordAnswer(startedAt: number): void {
    const { log, metrics, view } = this.#parts;
    const now = performance.now();
    metrics.count("store_calls_answered");
    this.#failures = 0;
    if (this.#unreachable) {
      const awayMs = Math.round(now - (this.#answeredAt ?? 0));
      log.info("store-regained", { awayMs });
      this.#unreachable = false;
      view.directory.noteStoreRecovered(now);
      this.#listDueAt = now + serving.REREGISTRATION_GRACE_MS;
    }
    this.#answeredAt = now;
    this.#unansweredSince = undefined;
    metrics.record(metricsModule.Duration.StoreCall, now - startedAt);
  }

  #recordFailure(problem: ports.StoreProblem, startedAt: number): number {
    const { log, metrics } = this.#parts;
    const now = performance.now();
    metrics.count("store_calls_failed");
    this.#failures++;
    const silentForMs = now - (this.#answeredAt ?? startedAt);
    if (!this.#unreachable && (silentForMs > UNREACHABLE_AFTER_MS || this.#failures > 1)) {
      this.#unreachable = true;
      log.warn("store-lost", { failure: problem.failure, detail: problem.detail, silentMs: Math.round(silentForMs) });
    }
    const isIdle = this.#revision !== undefined && this.#parts.isStandby();
    const doubled = Math.min(RETRY_PAUSE_MS.longest, RETRY_PAUSE_MS.first * 2 ** (this.#failures - 1));
    const pause = isIdle ? RETRY_PAUSE_MS.standby : doubled;
    return pause * (0.5 + this.#parts.draw() / 2);
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
