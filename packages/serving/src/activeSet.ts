import * as common from "@camphorcourse/common";

/** Fewest daemons of a data centre that take callers: one may die and another be stopped at the same time. */
export const LEAST_ACTIVE = 3;

/** Daemons of a data centre up to which all of them take callers: they know each other's work at once anyway. */
export const ALL_ACTIVE_UP_TO = 6;

/** Least part of a data centre's processor capacity that takes callers, for the load that comes before any was seen. */
const LEAST_CAPACITY_SHARE = 0.2;

/** Capacity of those that take callers, in multiples of what their work keeps busy: a burst doubles it within a second. */
const CAPACITY_PER_BUSY = 2;

/** Time for which the highest need counts, in milliseconds: callers come back to a daemon's address for some seconds. */
const NEED_KEPT_MS = 15_000;

/** A daemon of one data centre, as another one knows it. */
export interface ActiveSetCandidate {
  readonly vm: string;
  /** Processor capacity of its VM, in cores. */
  readonly capacity: number;
  /** Part of its capacity that is busy, in cores. */
  readonly busyCores: number;
  /** Whether it says that it takes callers. */
  readonly active: boolean;
  /** The daemons that take callers, as it knows them. */
  readonly activeVms: readonly string[];
}

/** Who takes callers in a data centre, and by whose word. */
export interface ActiveDecision {
  readonly leader: string;
  /** VMs that take callers, the most able first. */
  readonly active: readonly string[];
  /** Cores that the leader wants for them; undefined on the others. */
  readonly wantedCores: number | undefined;
}

/**
 * Decides which daemons of a data centre take callers; the others stand by. The
 * load pattern it answers: a fleet of hundreds of small VMs at a few requests a
 * second each. Where all of them decide, each knows the others' work only after
 * a second, so prompts pile up at the same engines, and telling it costs more
 * than serving. A few able daemons know each other's work within a tenth of it.
 *
 * The most able one that takes callers leads, and names as many as the load
 * needs. It hears those that stand by; they hear only those that are active,
 * so they follow its word. Views may differ for a moment: then more daemons than
 * needed take callers, which is safe.
 */
export class ActiveSet {
  readonly #needs: { readonly cores: number; readonly until: number }[] = [];

  /**
   * @param own - this daemon, or undefined while it can't serve
   * @param others - the other daemons of its data centre that live and serve, as far as they are heard here
   * @param now - current instant in milliseconds
   * @returns who takes callers; undefined if nobody is known to
   */
  decide(
    own: ActiveSetCandidate | undefined,
    others: readonly ActiveSetCandidate[],
    now: number,
  ): ActiveDecision | undefined {
    const ranked = rankByCapacity(own === undefined ? others : [own, ...others]);
    // One that hears nobody names itself alone, and must not take the callers from all others.
    const leastNamed = Math.min(LEAST_ACTIVE, ranked.length);
    const leader = ranked.find(
      (candidate) => candidate.vm === own?.vm || (candidate.active && candidate.activeVms.length >= leastNamed),
    );
    if (leader === undefined) return undefined;
    if (leader.vm !== own?.vm) return { leader: leader.vm, active: leader.activeVms, wantedCores: undefined };
    const wantedCores = this.#wantedCores(ranked, now);
    return { leader: leader.vm, active: firstWith(ranked, wantedCores), wantedCores };
  }

  #wantedCores(ranked: readonly ActiveSetCandidate[], now: number): number {
    const busy = ranked.reduce((sum, { busyCores }) => sum + busyCores, 0);
    const cores = CAPACITY_PER_BUSY * busy;
    while ((this.#needs[0]?.until ?? now) < now) this.#needs.shift();
    while ((this.#needs.at(-1)?.cores ?? Number.POSITIVE_INFINITY) <= cores) this.#needs.pop();
    this.#needs.push({ cores, until: now + NEED_KEPT_MS });
    const all = ranked.reduce((sum, { capacity }) => sum + capacity, 0);
    return Math.max(LEAST_CAPACITY_SHARE * all, this.#needs[0]?.cores ?? 0);
  }
}

/**
 * A few of those that take callers speak for them with the daemons that stand by, however many there are.
 *
 * @param vm - a daemon
 * @param names - VMs that take callers, the most able first
 * @returns whether it is one of the few
 */
export function isStandbyContact(vm: string, names: readonly string[]): boolean {
  return names.slice(0, LEAST_ACTIVE).includes(vm);
}

/**
 * @param candidates - daemons
 * @returns the same, the most able first, and equally able ones in an order that is the same for everybody
 */
export function rankByCapacity<T extends { readonly vm: string; readonly capacity: number }>(
  candidates: readonly T[],
): T[] {
  const order = common.rendezvousOrder(
    "active",
    candidates.map(({ vm }) => vm),
  );
  const position = new Map(order.map((vm, index) => [vm, index]));
  return [...candidates].sort(
    (left, right) => right.capacity - left.capacity || (position.get(left.vm) ?? 0) - (position.get(right.vm) ?? 0),
  );
}

function firstWith(ranked: readonly ActiveSetCandidate[], cores: number): string[] {
  if (ranked.length <= ALL_ACTIVE_UP_TO) return ranked.map(({ vm }) => vm);
  const chosen: string[] = [];
  let capacity = 0;
  for (const candidate of ranked) {
    if (chosen.length >= LEAST_ACTIVE && capacity >= cores) break;
    chosen.push(candidate.vm);
    capacity += candidate.capacity;
  }
  return chosen;
}
