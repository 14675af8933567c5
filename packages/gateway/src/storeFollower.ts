import * as serving from "@camphorcourse/serving";
import type * as beliefsModule from "./fleetViewUpdater.js";
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

/** Pause between two watches of a daemon that does not read for others, while nobody reads for it, in milliseconds. */
const SELDOM_PAUSE_MS = 1_500;

/**
 * Time without reading for a daemon that takes callers and is told what has changed, in milliseconds: what was lost on
 * the way is made good by then.
 */
const TOLD_PAUSE_MS = 10_000;

/** Interval at which a pausing daemon looks whether it is to follow closely now, in milliseconds. */
const PAUSE_CHECK_MS = 250;

/**
 * First and longest pause after a failed call, in milliseconds; doubled each time, with half of it drawn. A daemon that
 * stands by is told what those that take callers read, and leaves an ailing service to them.
 */
const RETRY_PAUSE_MS = { first: 120, longest: 900, standingBy: 3_000 };

/** Time without reading after which everything is listed anew instead of what has changed since, in milliseconds. */
const LIST_AFTER_MS = 5_000;

/** Time without an answer from which the service counts as away, in milliseconds. */
const AWAY_AFTER_MS = 1_000;

/** What the follower needs. */
export interface FollowerParts {
  readonly store: ports.DurableStore;
  readonly layout: ports.StoreLayout;
  readonly view: fleetViews.FleetView;
  readonly fleetViewUpdater: beliefsModule.FleetViewUpdater;
  readonly log: decisionLogs.DecisionLog;
  readonly metrics: metricsModule.Metrics;
  /** @returns a uniform number in [0, 1) */
  readonly draw: () => number;
  /** @returns whether this daemon follows closely, for others too */
  readonly followsClosely: () => boolean;
  /** @returns whether others read for this daemon and tell it what has changed */
  readonly isUpdatedByPeers: () => boolean;
  /** @returns whether this daemon takes no callers, and needs no reading of its own while it is told */
  readonly isStandby: () => boolean;
  /** @returns whether the other daemons say that the service is away */
  readonly isStoreUnreachableForPeers: () => boolean;
}

/** Follows the configuration, the endpoints and the other daemons in the key-value service. */
export class StoreFollower {
  readonly #parts: FollowerParts;
  #revision: number | undefined;
  #failures = 0;
  #answeredAt: number | undefined;
  /** Instant of the first call since the last answer; undefined while nothing is asked. */
  #askedSince: number | undefined = 0;
  #away = false;
  #listDueAt: number | undefined;
  #stopped = false;

  /** @param parts - what it needs */
  constructor(parts: FollowerParts) {
    this.#parts = parts;
  }

  /** @returns milliseconds for which the service was asked and has not answered; since the start if it never has */
  get silentMs(): number {
    return this.#askedSince === undefined ? 0 : performance.now() - this.#askedSince;
  }

  /** Follows until it is stopped. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      await this.#whileTold();
      this.#askedSince ??= performance.now();
      const pause = await this.#step();
      if (pause > 0) await sleep(pause);
      if (pause === WATCH_PAUSE_MS) await this.#pauseLonger();
    }
  }

  /**
   * A daemon that is told reads as seldom as it may. The changes of a long time are mostly endpoints' heartbeats, many
   * times what a listing holds.
   */
  async #whileTold(): Promise<void> {
    const since = performance.now();
    const { isUpdatedByPeers: isTold, isStandby: standsBy } = this.#parts;
    const rests = (): boolean => isTold() && (standsBy() || performance.now() - since < TOLD_PAUSE_MS);
    while (!this.#stopped && this.#revision !== undefined && !this.#away && rests()) await sleep(PAUSE_CHECK_MS);
    if (performance.now() - since > LIST_AFTER_MS) this.#revision = undefined;
  }

  /**
   * A daemon that is told by others may sleep through an outage. Entries that
   * lapse in it look removed afterwards, so the others' word of it counts.
   */
  async #pauseLonger(): Promise<void> {
    const until = performance.now() + SELDOM_PAUSE_MS - WATCH_PAUSE_MS;
    while (!this.#stopped && performance.now() < until && !this.#parts.followsClosely()) {
      if (!this.#away && this.#parts.isStoreUnreachableForPeers()) {
        this.#away = true;
        this.#parts.log.warn("store-lost", { failure: "peers", detail: "most peers get no answer", silentMs: 0 });
        return;
      }
      await sleep(PAUSE_CHECK_MS);
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
    this.#parts.fleetViewUpdater.applyListing(listing.value);
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
    for (const event of changes.value.events) this.#parts.fleetViewUpdater.applyEvent(event);
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
      view.directory.noteStoreRecovered(now);
      this.#listDueAt = now + serving.REREGISTRATION_GRACE_MS;
    }
    this.#answeredAt = now;
    this.#askedSince = undefined;
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
    const isIdle = this.#revision !== undefined && this.#parts.isStandby();
    const doubled = Math.min(RETRY_PAUSE_MS.longest, RETRY_PAUSE_MS.first * 2 ** (this.#failures - 1));
    const pause = isIdle ? RETRY_PAUSE_MS.standingBy : doubled;
    return pause * (0.5 + this.#parts.draw() / 2);
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
