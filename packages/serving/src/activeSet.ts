import * as common from "@camphorcourse/common";

/** Fewest active daemons of a data centre: one may crash while another one is being stopped. */
export const MIN_ACTIVE = 3;

/** Number of daemons of a data centre up to which all are active: so few exchange their load without delay anyway. */
export const MAX_ALL_ACTIVE = 6;

/** Least share of a data centre's processor capacity that is active, for the load that arrives before any was measured. */
const MIN_CAPACITY_SHARE = 0.2;

/** Capacity of the active daemons in multiples of the cores that are busy: a burst doubles the load within a second. */
const CAPACITY_PER_BUSY_CORE = 2;

/**
 * Time constant over which the busy cores are averaged, and minimum time between two daemons that become active ahead of
 * the average, in milliseconds. A daemon that serves its first requests is busy for about a second, as its code is not
 * compiled yet. Taken for load, that activates most of the fleet, whose daemons are then busy in the same way.
 */
const GROWTH = { timeConstantMs: 2_000, intervalMs: 1_000 };

/** Time for which the highest demand counts, in milliseconds: callers reuse a daemon's address for some seconds. */
const DEMAND_WINDOW_MS = 15_000;

/** A daemon of one data centre, as another daemon knows it. */
export interface ActiveSetCandidate {
  readonly vm: string;
  /** Processor capacity of its VM, in cores. */
  readonly capacity: number;
  /** Busy part of its capacity, in cores. */
  readonly busyCores: number;
  /** Whether it reports itself as active. */
  readonly active: boolean;
  /** VMs of the active daemons, as it knows them. */
  readonly activeVms: readonly string[];
}

/** The active daemons of a data centre, and the daemon that decided on them. */
export interface ActiveDecision {
  readonly leader: string;
  /** VMs of the active daemons, highest capacity first. */
  readonly active: readonly string[];
  /** Cores that the leader wants for them; undefined on the other daemons. */
  readonly wantedCores: number | undefined;
}

/**
 * Decides which daemons of a data centre are active, that is, accept callers; the others are on standby. It is meant
 * for fleets of hundreds of small VMs with a few requests a second each. If all daemons placed requests there, each would
 * know the others' work only after a second, so prompts would queue at the same engines, and exchanging that work would
 * cost more than serving. A few daemons with high capacity know each other's work within a tenth of that time.
 *
 * The active daemon with the highest capacity leads, and picks as many daemons as the load needs. It receives the
 * heartbeats of the standby daemons; these receive only those of the active ones, so they follow its decision. Views
 * may differ for a moment: then more daemons than needed are active, which is safe.
 */
export class ActiveSet {
  /** Recent demands in decreasing order, each until it no longer counts. */
  readonly #demands: { readonly cores: number; readonly until: number }[] = [];
  /** Mean of the busy cores, and when it was updated. */
  #busy: { readonly cores: number; readonly at: number } | undefined;
  #grownAt = Number.NEGATIVE_INFINITY;
  #size = 0;

  /**
   * @param own - this daemon, or undefined while it can't serve
   * @param others - the other daemons of its data centre that are alive and serve, as far as they are received here
   * @param now - current instant in milliseconds
   * @returns the active daemons; undefined if none is known
   */
  decide(
    own: ActiveSetCandidate | undefined,
    others: readonly ActiveSetCandidate[],
    now: number,
  ): ActiveDecision | undefined {
    const ranked = rankByCapacity(own === undefined ? others : [own, ...others]);
    // A daemon that receives no heartbeats picks only itself; if others followed it, it would get all callers.
    const minPicked = Math.min(MIN_ACTIVE, ranked.length);
    const leader = ranked.find(
      (candidate) => candidate.vm === own?.vm || (candidate.active && candidate.activeVms.length >= minPicked),
    );
    if (leader === undefined) return undefined;
    if (leader.vm !== own?.vm) return { leader: leader.vm, active: leader.activeVms, wantedCores: undefined };
    const wantedCores = this.#wantedCores(ranked, now);
    const active = pickByCapacity(ranked, wantedCores);
    this.#size = active.length;
    return { leader: leader.vm, active, wantedCores };
  }

  #wantedCores(ranked: readonly ActiveSetCandidate[], now: number): number {
    const present = ranked.reduce((sum, { busyCores }) => sum + busyCores, 0);
    const mean = CAPACITY_PER_BUSY_CORE * this.#meanBusyCores(present, now);
    const cores = Math.max(mean, this.#nextStep(ranked, CAPACITY_PER_BUSY_CORE * present, now));
    while ((this.#demands[0]?.until ?? now) < now) this.#demands.shift();
    while ((this.#demands.at(-1)?.cores ?? Number.POSITIVE_INFINITY) <= cores) this.#demands.pop();
    this.#demands.push({ cores, until: now + DEMAND_WINDOW_MS });
    return Math.max(MIN_CAPACITY_SHARE * capacityOf(ranked), this.#demands[0]?.cores ?? 0);
  }

  #meanBusyCores(present: number, now: number): number {
    const { cores, at } = this.#busy ?? { cores: present, at: now };
    const weight = 1 - Math.exp(-(now - at) / GROWTH.timeConstantMs);
    const mean = cores + weight * (present - cores);
    this.#busy = { cores: mean, at: now };
    return mean;
  }

  /** Capacity with one more daemon, if the present demand exceeds that of the active ones; 0 otherwise. */
  #nextStep(ranked: readonly ActiveSetCandidate[], demand: number, now: number): number {
    const active = ranked.slice(0, this.#size);
    const isFirst = active.length === 0;
    if (isFirst || demand <= capacityOf(active) || now - this.#grownAt < GROWTH.intervalMs) return 0;
    this.#grownAt = now;
    return capacityOf(ranked.slice(0, this.#size + 1));
  }
}

function capacityOf(daemons: readonly ActiveSetCandidate[]): number {
  return daemons.reduce((sum, { capacity }) => sum + capacity, 0);
}

/**
 * Only a few of the active daemons communicate with the standby daemons, however many are active.
 *
 * @param vm - VM of a daemon
 * @param activeVms - VMs of the active daemons, highest capacity first
 * @returns whether the daemon is one of those few
 */
export function isStandbyContact(vm: string, activeVms: readonly string[]): boolean {
  return activeVms.slice(0, MIN_ACTIVE).includes(vm);
}

/**
 * @param candidates - daemons
 * @returns the same, highest capacity first, and those with equal capacity in an order that is the same on all daemons
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

function pickByCapacity(ranked: readonly ActiveSetCandidate[], cores: number): string[] {
  if (ranked.length <= MAX_ALL_ACTIVE) return ranked.map(({ vm }) => vm);
  const picked: string[] = [];
  let capacity = 0;
  for (const candidate of ranked) {
    if (picked.length >= MIN_ACTIVE && capacity >= cores) break;
    picked.push(candidate.vm);
    capacity += candidate.capacity;
  }
  return picked;
}
