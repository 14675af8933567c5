import type * as daemonEntries from "../daemonEntry.js";
import type * as fleetViews from "../fleetView.js";
import type * as peerTables from "../peerTable.js";
import type * as recipients from "./recipients.js";

/** Dependencies of {@link OtherDaemons}. */
export interface OtherDaemonsParts {
  readonly entry: daemonEntries.DaemonEntry;
  readonly view: fleetViews.FleetView;
  readonly peerTable: peerTables.PeerTable;
  /** @returns whether callers may be directed to this daemon */
  readonly ready: () => boolean;
}

/** The other daemons, from their entries and from the heartbeats that were received from them. */
export class OtherDaemons {
  readonly #parts: OtherDaemonsParts;

  /** @param parts - dependencies */
  constructor(parts: OtherDaemonsParts) {
    this.#parts = parts;
  }

  /** @returns the entries of all other daemons */
  entries(): daemonEntries.DaemonEntry[] {
    const { entry, view } = this.#parts;
    return [...view.daemons.values()].filter((daemon) => daemon.vm !== entry.vm);
  }

  /**
   * @param vm - VM of another daemon
   * @returns its IP:PORT for the other daemons, if it is known
   */
  addressOf(vm: string): string | undefined {
    return this.entries().find((daemon) => daemon.vm === vm)?.peers;
  }

  /**
   * @param now - current time in milliseconds
   * @returns all other daemons, with what their heartbeats and those of others say of them
   */
  known(now: number): recipients.KnownDaemon[] {
    const { peerTable } = this.#parts;
    const reportedActive = new Set(peerTable.live(now).flatMap((peer) => peer.activeVms));
    return this.entries().map((entry) => {
      const state = peerTable.liveState(entry.vm, now);
      return {
        entry,
        live: state !== undefined,
        dispatching: state?.dispatching ?? false,
        reportedActive: reportedActive.has(entry.vm),
      };
    });
  }

  /**
   * Addresses of daemons that have left. They get an occasional heartbeat, so that one that restarts receives it and
   * answers.
   *
   * @param now - current time in milliseconds
   * @returns IP:PORT of those that this daemon is to send to
   */
  formerAddresses(now: number): string[] {
    const { entry, peerTable, view, ready } = this.#parts;
    if (!ready()) return [];
    const candidates = peerTable.live(now).filter((peer) => peer.ready && peer.dispatching && peer.vm !== entry.vm);
    const former = view.former.assignedTo(
      entry.vm,
      candidates.map((peer) => peer.vm),
      now,
    );
    return former.map((daemon) => daemon.peers);
  }
}
