import type * as serving from "@camphorcourse/serving";
import type * as daemonEntries from "../daemonEntry.js";
import type * as fleetViews from "../fleetView.js";
import type * as peerLinks from "../peerLink.js";

/** Maximum number of addresses in one answer. */
const MAX_ADDRESSES = 64;

/**
 * Number of daemons in a caller's own data centre, or its region, from which on it gets no addresses elsewhere: with one
 * it would have none left when that one fails.
 */
const MIN_NEARBY_DAEMONS = 2;

/** Dependencies of {@link CallerAddresses}. */
export interface CallerAddressesParts {
  readonly entry: daemonEntries.DaemonEntry;
  readonly view: fleetViews.FleetView;
  readonly peers: Pick<peerLinks.PeerLink, "activeSet" | "peerTable">;
  /** Distances between the data centres; undefined in a deployment of one region. */
  readonly distances?: serving.DistanceModel | undefined;
  /** @returns whether callers may be directed to this daemon */
  readonly ready: () => boolean;
  /** @returns whether this daemon is cut off from endpoints that its peers reach */
  readonly isCutOff: () => boolean;
}

/** Chooses the daemons whose addresses a caller is given. */
export class CallerAddresses {
  readonly #parts: CallerAddressesParts;

  /** @param parts - dependencies */
  constructor(parts: CallerAddressesParts) {
    this.#parts = parts;
  }

  /**
   * @param dataCentre - the caller's data centre
   * @param now - monotonic time in milliseconds
   * @returns addresses to which the caller may connect: only those in its data centre, else in its region, if there
   *   are enough
   */
  choose(dataCentre: string, now: number): string[] {
    const { entry, peers, view } = this.#parts;
    const others = [...view.daemons.values()].filter((daemon) => daemon.vm !== entry.vm && daemon.callers !== "");
    const { activeVms } = peers.activeSet;
    const candidates = others.filter(({ vm }) => activeVms.includes(vm) || peers.peerTable.mayTakeCallers(vm, now));
    if (this.#parts.ready()) candidates.push(entry);
    const able = candidates.filter(({ vm }) => !this.#isCutOff(vm, now));
    const available = able.length > 0 ? able : candidates;
    const active = available.filter((daemon) => this.#isActive(daemon.vm, now));
    const isNearby = [
      (daemon: daemonEntries.DaemonEntry): boolean => daemon.dataCentre === dataCentre,
      (daemon: daemonEntries.DaemonEntry): boolean => this.#isInRegion(daemon, dataCentre),
    ];
    const choices = isNearby.flatMap((filter) => [active, available].map((daemons) => daemons.filter(filter)));
    const chosen = choices.find((nearby) => nearby.length >= MIN_NEARBY_DAEMONS) ?? available;
    return chosen.map((daemon) => daemon.callers).slice(0, MAX_ADDRESSES);
  }

  #isInRegion(daemon: daemonEntries.DaemonEntry, dataCentre: string): boolean {
    const { distances } = this.#parts;
    return distances !== undefined && distances.regionOf(daemon.dataCentre) === distances.regionOf(dataCentre);
  }

  #isCutOff(vm: string, now: number): boolean {
    if (vm === this.#parts.entry.vm) return this.#parts.isCutOff();
    return this.#parts.peers.peerTable.liveState(vm, now)?.cutOff ?? false;
  }

  #isActive(vm: string, now: number): boolean {
    const { activeSet, peerTable } = this.#parts.peers;
    return activeSet.activeVms.includes(vm) || (peerTable.liveState(vm, now)?.active ?? false);
  }
}
