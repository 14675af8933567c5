import * as serving from "@camphorcourse/serving";
import type * as decisionLogs from "../decisionLog.js";
import type * as daemonEntries from "../daemonEntry.js";
import type * as peerBooks from "../peerTable.js";

/** What the standing is decided by. */
export interface StandingParts {
  readonly entry: daemonEntries.DaemonEntry;
  readonly book: peerBooks.PeerTable;
  readonly log: decisionLogs.DecisionLog;
  /** Whether this daemon can serve callers. */
  readonly ready: () => boolean;
  /** Part of its capacity that is busy, in cores. */
  readonly busyCores: () => number;
}

/** Whether this daemon takes the callers of its data centre or stands by, and who does. */
export class Standing {
  readonly #parts: StandingParts;
  readonly #set = new serving.ActiveSet();
  #names: readonly string[] = [];
  #active = false;

  /** @param parts - what it is decided by */
  constructor(parts: StandingParts) {
    this.#parts = parts;
  }

  /** @returns whether callers of this data centre are sent here */
  get active(): boolean {
    return this.#active;
  }

  /** @returns whether this daemon speaks to those of its data centre that stand by */
  get host(): boolean {
    return serving.isStandbyContact(this.#parts.entry.vm, this.#names);
  }

  /** @returns VMs of this data centre that callers are sent to, the most able first */
  get activeVms(): readonly string[] {
    return this.#names;
  }

  /**
   * Decides anew by what is heard now.
   *
   * @param now - current instant in milliseconds
   * @returns whether it is another decision than before
   */
  look(now: number): boolean {
    const { entry, book, log } = this.#parts;
    const others = book.live(now).filter((peer) => peer.ready && peer.dataCentre === entry.dataCentre);
    const decision = this.#set.decide(this.#own(), others, now);
    const names = decision?.active ?? [];
    const active = names.includes(entry.vm);
    if (active === this.#active && names.join() === this.#names.join()) return false;
    this.#active = active;
    this.#names = names;
    log.info("active-set", {
      active,
      leader: decision?.leader,
      names: names.join(" "),
      heard: others.length,
      oldestMs: Math.round(Math.max(0, ...others.map(({ heardAt }) => now - heardAt))),
      wantedCores: decision?.wantedCores?.toFixed(2),
    });
    return true;
  }

  #own(): serving.ActiveSetCandidate | undefined {
    const { entry, ready, busyCores } = this.#parts;
    if (!ready()) return undefined;
    const { vm, capacity } = entry;
    return { vm, capacity, busyCores: busyCores(), active: this.#active, activeVms: this.#names };
  }
}
