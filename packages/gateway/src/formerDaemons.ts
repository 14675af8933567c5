import * as common from "@camphorcourse/common";
import type * as daemonEntries from "./daemonEntry.js";

/**
 * Time for which the address of a daemon that has left is kept, in milliseconds: well over a planned restart (8 s grace
 * period, plus the start).
 */
export const FORMER_KEPT_MS = 30_000;

/**
 * Maximum number of daemons kept after they have left: a tenth of a fleet of hundreds, restarted within the time above.
 */
export const MAX_FORMER_DAEMONS = 64;

/** Daemons that send heartbeats to each daemon that has left; two of them may be dead or cut off. */
export const SENDERS_PER_FORMER_DAEMON = 3;

/**
 * Daemons whose entry is gone and that may restart. A daemon that starts while the key-value service is unreachable
 * can't write its entry. Without this record nobody would send it heartbeats, and it would refuse all callers until the
 * service recovers. It is enough that a few daemons send to it for the duration of a restart: it answers every sender,
 * and receives the rest from them.
 */
export class FormerDaemons {
  readonly #entries = new Map<string, { readonly entry: daemonEntries.DaemonEntry; readonly until: number }>();

  /**
   * Adds a daemon that has left, and drops the oldest one if there are too many.
   *
   * @param entry - a daemon that has left
   * @param now - current time in milliseconds
   */
  add(entry: daemonEntries.DaemonEntry, now: number): void {
    this.#entries.delete(entry.vm);
    this.#entries.set(entry.vm, { entry, until: now + FORMER_KEPT_MS });
    const [oldest] = this.#entries.keys();
    if (this.#entries.size > MAX_FORMER_DAEMONS && oldest !== undefined) this.#entries.delete(oldest);
  }

  /** @returns the number of daemons kept */
  get count(): number {
    return this.#entries.size;
  }

  /**
   * Removes a daemon that has joined.
   *
   * @param vm - VM of the daemon
   * @returns its previous entry, if it left recently
   */
  remove(vm: string): daemonEntries.DaemonEntry | undefined {
    const entry = this.#entries.get(vm)?.entry;
    this.#entries.delete(vm);
    return entry;
  }

  /**
   * Selects the daemons that have left and that this daemon sends heartbeats to. Each gets them from a few daemons,
   * chosen by rendezvous hashing, so that the number of datagrams doesn't grow with the fleet.
   *
   * @param own - VM of this daemon
   * @param candidates - VMs of the other daemons that are alive and serving
   * @param now - current time in milliseconds
   * @returns their previous entries
   */
  assignedTo(own: string, candidates: readonly string[], now: number): daemonEntries.DaemonEntry[] {
    for (const [vm, { until }] of this.#entries) if (until <= now) this.#entries.delete(vm);
    return [...this.#entries.values()]
      .map(({ entry }) => entry)
      .filter(({ vm }) => vm !== own)
      .filter(({ vm }) =>
        common
          .rendezvousOrder(vm, [own, ...candidates])
          .slice(0, SENDERS_PER_FORMER_DAEMON)
          .includes(own),
      );
  }
}
