import * as serving from "@camphorcourse/serving";
import type * as decisionLogs from "../decisionLog.js";
import type * as daemonEntries from "../daemonEntry.js";
import type * as peerTables from "../peerTable.js";

/** Dependencies of {@link ActiveSetTracker}. */
export interface ActiveSetTrackerParts {
  readonly entry: daemonEntries.DaemonEntry;
  readonly peerTable: peerTables.PeerTable;
  readonly log: decisionLogs.DecisionLog;
  /** Whether this daemon can serve callers. */
  readonly ready: () => boolean;
  /** Whether this daemon is cut off from endpoints that its peers reach. */
  readonly isCutOff: () => boolean;
  /** Busy part of its capacity, in cores. */
  readonly busyCores: () => number;
}

/** Tracks which daemons of this data centre are active, that is, take its callers. The others are on standby. */
export class ActiveSetTracker {
  readonly #parts: ActiveSetTrackerParts;
  readonly #activeSet = new serving.ActiveSet();
  #activeVms: readonly string[] = [];
  #active = false;

  /** @param parts - dependencies */
  constructor(parts: ActiveSetTrackerParts) {
    this.#parts = parts;
  }

  /** @returns whether this daemon is active */
  get active(): boolean {
    return this.#active;
  }

  /** @returns whether this daemon sends heartbeats to the standby daemons of its data centre */
  get isStandbyContact(): boolean {
    return serving.isStandbyContact(this.#parts.entry.vm, this.#activeVms);
  }

  /** @returns VMs of the active daemons of this data centre, the one with the most capacity first */
  get activeVms(): readonly string[] {
    return this.#activeVms;
  }

  /**
   * Recomputes the active set from the current peer states.
   *
   * @param now - current time in milliseconds
   * @returns whether the active set has changed
   */
  update(now: number): boolean {
    const { entry, isCutOff, peerTable, log } = this.#parts;
    const neighbours = peerTable.live(now).filter((peer) => peer.ready && peer.dataCentre === entry.dataCentre);
    const able = neighbours.filter((peer) => !peer.cutOff);
    // With the whole data centre cut off, its daemons go on serving those callers that still come.
    const isOwnAble = !isCutOff();
    const others = able.length > 0 || isOwnAble ? able : neighbours;
    const decision = this.#activeSet.decide(isOwnAble || able.length === 0 ? this.#own() : undefined, others, now);
    const activeVms = decision?.active ?? [];
    const active = activeVms.includes(entry.vm);
    if (active === this.#active && activeVms.join() === this.#activeVms.join()) return false;
    this.#active = active;
    this.#activeVms = activeVms;
    log.info("active-set", {
      active,
      leader: decision?.leader,
      names: activeVms.join(" "),
      heard: others.length,
      oldestMs: Math.round(Math.max(0, ...others.map(({ lastReceivedAt }) => now - lastReceivedAt))),
      wantedCores: decision?.wantedCores?.toFixed(2),
    });
    return true;
  }

  #own(): serving.ActiveSetCandidate | undefined {
    const { entry, ready, busyCores } = this.#parts;
    if (!ready()) return undefined;
    const { vm, capacity } = entry;
    return { vm, capacity, busyCores: busyCores(), active: this.#active, activeVms: this.#activeVms };
  }
}
