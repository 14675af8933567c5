import type * as daemonEntries from "./daemonEntry.js";
import type * as fleetViews from "./fleetView.js";
import * as peerTables from "./peerTable.js";
import type * as activeSetTrackers from "./peers/activeSetTracker.js";
import * as closeFollowers from "./closeFollowers.js";

/** Time within which peers have to send a configuration that they have in force, in milliseconds. */
const UPDATE_GRACE_MS = 400;

/** Dependencies of {@link StoreReadingMode}. */
export interface StoreReadingModeParts {
  readonly entry: daemonEntries.DaemonEntry;
  readonly view: fleetViews.FleetView;
  readonly peerTable: peerTables.PeerTable;
  readonly activeSet: activeSetTrackers.ActiveSetTracker;
  /** Whether this daemon can serve callers. */
  readonly ready: () => boolean;
}

/**
 * Decides from the current peer states whether this daemon reads the key-value service for others, or is updated by
 * peers.
 */
export class StoreReadingMode {
  readonly #parts: StoreReadingModeParts;
  /** Time since which peers have reported a newer configuration in force. */
  #behindSince: number | undefined;

  /** @param parts - dependencies */
  constructor(parts: StoreReadingModeParts) {
    this.#parts = parts;
  }

  /**
   * @param now - current time in milliseconds
   * @returns whether this daemon reads for others too
   */
  followsClosely(now: number): boolean {
    const { entry, view, peerTable, activeSet, ready } = this.#parts;
    // A standby daemon receives heartbeats from a few daemons only, and can't tell which others read.
    if (!activeSet.active && this.#hasUpdatingPeers(now)) return false;
    const eligible = new Map(
      peerTable
        .live(now)
        .filter((peer) => peer.ready && peer.storeSilentMs <= peerTables.STORE_SILENT_MS)
        .map((peer) => [peer.vm, peer.active] as const),
    );
    if (ready()) eligible.set(entry.vm, activeSet.active);
    const others = [...view.daemons.values()].filter((daemon) => daemon.vm !== entry.vm);
    const followers = [entry, ...others].map(({ vm, dataCentre, capacity }) => ({
      vm,
      dataCentre,
      capacity,
      eligible: eligible.has(vm),
      active: eligible.get(vm) ?? false,
    }));
    return closeFollowers.followsClosely(entry.vm, followers);
  }

  /**
   * @param now - current time in milliseconds
   * @returns whether peers read for this daemon and send it what has changed
   */
  isUpdatedByPeers(now: number): boolean {
    return !this.followsClosely(now) && this.#hasUpdatingPeers(now);
  }

  /**
   * A daemon reads for itself if a configuration that peers report is not sent to it in time: datagrams may get through
   * in one direction only.
   */
  #hasUpdatingPeers(now: number): boolean {
    const { entry, view, peerTable, activeSet, ready } = this.#parts;
    const live = peerTable.live(now);
    const isBehind = live.some((peer) => peer.configurationRevision > view.configurationRevision);
    this.#behindSince = isBehind ? (this.#behindSince ?? now) : undefined;
    if (!ready() || now - (this.#behindSince ?? now) > UPDATE_GRACE_MS) return false;
    return closeFollowers.isUpdatedByPeers(entry, activeSet.active, live);
  }
}
