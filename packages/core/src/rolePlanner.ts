import * as configuration from "./configuration.js";
import * as engineCosts from "./engineCosts.js";

/** How many engines of a service have each role. */
export interface RoleCounts {
  readonly prefill: number;
  readonly decode: number;
  readonly mixed: number;
}

/** An engine that the planner may change. */
export interface PlannedEndpoint {
  readonly id: string;
  readonly role: configuration.EndpointRole;
  /** Work that must be finished before it can change, in requests. */
  readonly inFlight: number;
  /** False for engines whose role the operator has fixed. */
  readonly changeable: boolean;
}

/** A change that is worth its cost. */
export interface PlannedRoleChange {
  readonly endpoint: string;
  readonly role: configuration.EndpointRole;
  /** Answers in time gained over the horizon, less those lost meanwhile. */
  readonly gain: number;
}

/** Settings of the planner. Times in milliseconds. */
export interface PlannerSettings {
  /** Time over which a change must pay. */
  readonly horizonMs: number;
  /** Averaging times of demand; a change must pay at each. */
  readonly shortMs: number;
  readonly longMs: number;
  /** Least time between two changes of a service. */
  readonly cooldownMs: number;
  /** Share of the demand that the engines must be able to serve after a change. */
  readonly minServedShare: number;
  /** Share of an engine's time that may be planned with; queues grow beyond it. */
  readonly maxUtilization: number;
}

/** Settings that the replay measure found best. */
export const PLANNER_SETTINGS: PlannerSettings = {
  horizonMs: 60_000,
  shortMs: 8000,
  longMs: 25_000,
  cooldownMs: 5000,
  maxUtilization: 0.85,
  minServedShare: 0.8,
};

/** An average over a time that fades. */
class FadingRate {
  readonly #timeMs: number;
  #sum = engineCosts.NO_DEMAND;
  #requests = 0;
  #at = 0;

  constructor(timeMs: number) {
    this.#timeMs = timeMs;
  }

  add(demand: engineCosts.Demand, requests: number, now: number): void {
    this.#fade(now);
    this.#sum = engineCosts.sumOf(this.#sum, demand);
    this.#requests += requests;
  }

  /** Engine time and requests wanted in a millisecond. */
  read(now: number): { demand: engineCosts.Demand; requests: number } {
    this.#fade(now);
    return { demand: engineCosts.scaled(this.#sum, 1 / this.#timeMs), requests: this.#requests / this.#timeMs };
  }

  #fade(now: number): void {
    const left = Math.exp(-(now - this.#at) / this.#timeMs);
    this.#at = now;
    this.#requests *= left;
    this.#sum = engineCosts.scaled(this.#sum, left);
  }
}

/**
 * Plans the roles of one service's engines. It compares the share of the
 * demand that the present roles can serve with the share after one change, and
 * proposes the change only if it gains more answers over the horizon than the
 * engine's absence loses and the team's weight asks for, at the demand of the
 * last seconds as well as at that of the last half minute.
 */
export class RolePlanner {
  readonly #settings: PlannerSettings;
  readonly #short: FadingRate;
  readonly #long: FadingRate;
  #lastChangeAt = Number.NEGATIVE_INFINITY;
  #startedAt: number | undefined;

  /** @param settings - times and shares */
  constructor(settings: PlannerSettings = PLANNER_SETTINGS) {
    this.#settings = settings;
    this.#short = new FadingRate(settings.shortMs);
    this.#long = new FadingRate(settings.longMs);
  }

  /**
   * @param demand - engine time that requests take, refused ones included
   * @param requests - how many they are
   * @param now - current time
   */
  onRequests(demand: engineCosts.Demand, requests: number, now: number): void {
    this.#startedAt ??= now;
    this.#short.add(demand, requests, now);
    this.#long.add(demand, requests, now);
  }

  /** @param now - when the last change ended */
  onRoleChanged(now: number): void {
    this.#lastChangeAt = now;
  }

  /**
   * @param endpoints - the service's engines
   * @param awayMs - time that a change takes an engine away
   * @param weight - answers that a change must gain beyond its cost
   * @param now - current time
   * @returns a change that pays, if there is one
   */
  plan(
    endpoints: readonly PlannedEndpoint[],
    awayMs: number,
    weight: number,
    now: number,
  ): PlannedRoleChange | undefined {
    if (this.#startedAt === undefined || now - this.#startedAt < this.#settings.shortMs) return undefined;
    if (now - this.#lastChangeAt < this.#settings.cooldownMs) return undefined;
    const present = countRoles(endpoints);
    let best: PlannedRoleChange | undefined;
    for (const endpoint of leastBusyOfEachRole(endpoints)) {
      for (const role of Object.values(configuration.EndpointRole)) {
        if (role === endpoint.role) continue;
        const gain = this.#gain(present, endpoint.role, role, awayMs, now) - weight;
        if (gain > 0 && gain > (best?.gain ?? 0)) best = { endpoint: endpoint.id, role, gain };
      }
    }
    return best;
  }

  #gain(
    present: RoleCounts,
    from: configuration.EndpointRole,
    to: configuration.EndpointRole,
    awayMs: number,
    now: number,
  ): number {
    const during = withChange(present, from, -1);
    const after = withChange(during, to, 1);
    if (!servesAtAll(after)) return Number.NEGATIVE_INFINITY;
    const gains = [this.#short, this.#long].map((rate) => {
      const { demand, requests } = rate.read(now);
      const share = (counts: RoleCounts): number => servedShare(counts, demand, this.#settings.maxUtilization);
      // In an overload the admission takes in what is cheap, whatever the roles,
      // and a change that follows the mix of all that arrives works against it.
      if (share(present) > 0 && share(after) < this.#settings.minServedShare) return Number.NEGATIVE_INFINITY;
      const gained = (share(after) - share(present)) * requests * (this.#settings.horizonMs - awayMs);
      const lost = (share(present) - share(during)) * requests * awayMs;
      return gained - lost;
    });
    return Math.min(...gains);
  }
}

/**
 * @param counts - engines of each role
 * @param demand - engine time wanted in a millisecond
 * @param usableShare - share of an engine's time that may be planned with
 * @returns the share of the demand that they can serve in time
 */
export function servedShare(counts: RoleCounts, demand: engineCosts.Demand, usableShare: number): number {
  if (demand.mixedMs === 0) return 1;
  const byPairs = Math.min(ratio(counts.prefill, demand.prefillMs), ratio(counts.decode, demand.decodeMs));
  const byMixed = ratio(counts.mixed, demand.mixedMs);
  return Math.min(1, usableShare * (byPairs + byMixed));
}

function ratio(engines: number, wanted: number): number {
  return wanted > 0 ? engines / wanted : engines > 0 ? Number.MAX_SAFE_INTEGER : 0;
}

function servesAtAll(counts: RoleCounts): boolean {
  return counts.mixed > 0 || (counts.prefill > 0 && counts.decode > 0);
}

function countRoles(endpoints: readonly PlannedEndpoint[]): RoleCounts {
  const count = (role: configuration.EndpointRole): number =>
    endpoints.filter((endpoint) => endpoint.role === role).length;
  return {
    prefill: count(configuration.EndpointRole.Prefill),
    decode: count(configuration.EndpointRole.Decode),
    mixed: count(configuration.EndpointRole.Mixed),
  };
}

function withChange(counts: RoleCounts, role: configuration.EndpointRole, by: number): RoleCounts {
  return { ...counts, [role]: counts[role] + by };
}

function leastBusyOfEachRole(endpoints: readonly PlannedEndpoint[]): PlannedEndpoint[] {
  const chosen = new Map<configuration.EndpointRole, PlannedEndpoint>();
  for (const endpoint of endpoints) {
    if (!endpoint.changeable) continue;
    const present = chosen.get(endpoint.role);
    if (!present || endpoint.inFlight < present.inFlight) chosen.set(endpoint.role, endpoint);
  }
  return [...chosen.values()];
}
