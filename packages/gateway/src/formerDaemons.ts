import * as common from "@camphorcourse/common";
import type * as daemonEntries from "./daemonEntry.js";

/**
 * Time for which the address of a daemon that has left is kept, in milliseconds:
 * well over a planned restart (8 s of grace, and a start).
 */
export const FORMER_KEPT_MS = 30_000;

/** Most daemons that are kept after they have left: a tenth of a fleet of hundreds, restarted within the time. */
export const MOST_FORMER = 64;

/** Daemons that speak to each one that has left; two may be dead or cut off. */
export const FORMER_SPEAKERS = 3;

/**
 * Daemons whose entry is gone and that may start again. The failure it answers:
 * one that starts while the key-value service is away can't write its entry, so
 * that nobody would speak to it, and it would refuse all callers until the
 * service returns. It is enough that a few speak to it for the time of a
 * restart: it answers whoever it hears, and is told the rest.
 */
export class FormerDaemons {
  readonly #left = new Map<string, { readonly entry: daemonEntries.DaemonEntry; readonly until: number }>();

  /**
   * @param entry - a daemon that has left
   * @param now - current instant in milliseconds
   */
  note(entry: daemonEntries.DaemonEntry, now: number): void {
    this.#left.delete(entry.vm);
    this.#left.set(entry.vm, { entry, until: now + FORMER_KEPT_MS });
    const [oldest] = this.#left.keys();
    if (this.#left.size > MOST_FORMER && oldest !== undefined) this.#left.delete(oldest);
  }

  /** @returns how many are kept */
  get count(): number {
    return this.#left.size;
  }

  /**
   * @param vm - a daemon that has joined
   * @returns its entry from before, if it has left a short time ago
   */
  take(vm: string): daemonEntries.DaemonEntry | undefined {
    const entry = this.#left.get(vm)?.entry;
    this.#left.delete(vm);
    return entry;
  }

  /**
   * Daemons that have left and that this one speaks to. Each is spoken to by
   * few, chosen by hash, so that the datagrams don't grow with the fleet.
   *
   * @param own - this daemon's VM
   * @param able - the other daemons that live and serve
   * @param now - current instant in milliseconds
   * @returns where they were
   */
  spokenToBy(own: string, able: readonly string[], now: number): daemonEntries.DaemonEntry[] {
    for (const [vm, { until }] of this.#left) if (until <= now) this.#left.delete(vm);
    return [...this.#left.values()]
      .map(({ entry }) => entry)
      .filter(({ vm }) => vm !== own)
      .filter(({ vm }) =>
        common
          .rendezvousOrder(vm, [own, ...able])
          .slice(0, FORMER_SPEAKERS)
          .includes(own),
      );
  }
}
