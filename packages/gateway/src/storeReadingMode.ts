import type * as daemonEntries from "./daemonEntry.js";
import type * as fleetViews from "./fleetView.js";
import * as peerBooks from "./peerTable.js";
import type * as standings from "./peers/activeSetTracker.js";
import * as watchDuties from "./closeFollowers.js";

/** Time within which a configuration that others have in force is told, in milliseconds. */
const TOLD_WITHIN_MS = 400;

/** What the duty is decided by. */
export interface StoreDutyParts {
  readonly entry: daemonEntries.DaemonEntry;
  readonly view: fleetViews.FleetView;
  readonly peerTable: peerBooks.PeerTable;
  readonly activeSet: standings.Standing;
  /** Whether this daemon can serve callers. */
  readonly ready: () => boolean;
}

/** Whether this daemon reads the key-value service for others, or is told by others, as things are heard now. */
export class StoreReadingMode {
  readonly #parts: StoreDutyParts;
  /** Instant since which others are heard to have a newer configuration in force. */
  #aheadSince: number | undefined;

  /** @param parts - what it is decided by */
  constructor(parts: StoreDutyParts) {
    this.#parts = parts;
  }

  /**
   * @param now - current instant in milliseconds
   * @returns whether this daemon reads for others too
   */
  followsClosely(now: number): boolean {
    const { entry, view, peerTable: book, activeSet: standing, ready } = this.#parts;
    // One that stands by hears a few only, and can't tell who else reads.
    if (!standing.active && this.#isToldByOthers(now)) return false;
    const able = new Map(
      book
        .live(now)
        .filter((peer) => peer.ready && peer.storeSilentMs <= peerBooks.STORE_SILENT_MS)
        .map((peer) => [peer.vm, peer.active] as const),
    );
    if (ready()) able.set(entry.vm, standing.active);
    const others = [...view.daemons.values()].filter((daemon) => daemon.vm !== entry.vm);
    const followers = [entry, ...others].map(({ vm, dataCentre, capacity }) => ({
      vm,
      dataCentre,
      capacity,
      able: able.has(vm),
      active: able.get(vm) ?? false,
    }));
    return watchDuties.followsClosely(entry.vm, followers);
  }

  /**
   * @param now - current instant in milliseconds
   * @returns whether others read for this daemon and tell it what has changed
   */
  isUpdatedByPeers(now: number): boolean {
    return !this.followsClosely(now) && this.#isToldByOthers(now);
  }

  /**
   * If a configuration that it hears of is not told in time, a daemon reads for itself: the datagrams may reach it one
   * way only.
   */
  #isToldByOthers(now: number): boolean {
    const { entry, view, peerTable: book, activeSet: standing, ready } = this.#parts;
    const live = book.live(now);
    const isAhead = live.some((peer) => peer.configurationRevision > view.configurationRevision);
    this.#aheadSince = isAhead ? (this.#aheadSince ?? now) : undefined;
    if (!ready() || now - (this.#aheadSince ?? now) > TOLD_WITHIN_MS) return false;
    return watchDuties.isTold(entry, standing.active, live);
  }
}
