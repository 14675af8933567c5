import * as configuration from "./configuration.js";
import * as engineCosts from "./engineCosts.js";

/** Number of a service's engines with each role. */
export interface RoleCounts {
  readonly prefill: number;
  readonly decode: number;
  readonly mixed: number;
}

/** An engine as the planner sees it. */
export interface PlannedEndpoint {
  readonly id: string;
  readonly role: configuration.EndpointRole;
  /** Requests that must finish before its role can change. */
  readonly inFlight: number;
  /** Whether the planner may change its role; false if the operator has set it. */
  readonly changeable: boolean;
}

/** A role change whose gain exceeds its cost. */
export interface PlannedRoleChange {
  readonly endpoint: string;
  readonly role: configuration.EndpointRole;
  /** Requests answered in time gained over the horizon, minus those lost during the change and the service's weight. */
  readonly gain: number;
}

/** Settings of the planner. Times in milliseconds. */
export interface PlannerSettings {
  /** Time within which a change must pay off. */
  readonly horizonMs: number;
  /** Time constants of the two demand averages; a change must pay off at both. */
  readonly shortMs: number;
  readonly longMs: number;
  /** Minimum time between two changes of a service. */
  readonly cooldownMs: number;
  /** Minimum share of the demand that the engines must be able to serve after a change. */
  readonly minServedShare: number;
  /** Maximum planned utilization of an engine; above it, queues grow. */
  readonly maxUtilization: number;
}

/** Default settings: those with the best results in the replay measurement. */
export const PLANNER_SETTINGS: PlannerSettings = {
  horizonMs: 60_000,
  shortMs: 8000,
  longMs: 25_000,
  cooldownMs: 5000,
  maxUtilization: 0.85,
  minServedShare: 0.8,
};

/** Exponentially decaying average of the demand per millisecond. */
class DecayingRate {
  readonly #timeConstantMs: number;
  #sum = engineCosts.NO_DEMAND;
  #requests = 0;
  #updatedAt = 0;

  constructor(timeConstantMs: number) {
    this.#timeConstantMs = timeConstantMs;
  }

  add(demand: engineCosts.Demand, requests: number, now: number): void {
    this.#decay(now);
    this.#sum = engineCosts.sumOf(this.#sum, demand);
    this.#requests += requests;
  }

  /** Returns the demanded engine time and the requests per millisecond. */
  read(now: number): { demand: engineCosts.Demand; requests: number } {
    this.#decay(now);
    return {
      demand: engineCosts.scaled(this.#sum, 1 / this.#timeConstantMs),
      requests: this.#requests / this.#timeConstantMs,
    };
  }

  #decay(now: number): void {
    const remaining = Math.exp(-(now - this.#updatedAt) / this.#timeConstantMs);
    this.#updatedAt = now;
    this.#requests *= remaining;
    this.#sum = engineCosts.scaled(this.#sum, remaining);
  }
}

/**
 * Plans the roles of one service's engines. It compares the share of the demand
 * that the current roles can serve with the share after one change. It proposes
 * the change only if the requests gained over the horizon exceed those lost
 * while the engine is unavailable plus the service's weight, both at the demand
 * of the last seconds and at that of the last half minute.
 */
export class RolePlanner {
  readonly #settings: PlannerSettings;
  readonly #short: DecayingRate;
  readonly #long: DecayingRate;
  #lastChangeAt = Number.NEGATIVE_INFINITY;
  #startedAt: number | undefined;

  /** @param settings - settings of the planner */
  constructor(settings: PlannerSettings = PLANNER_SETTINGS) {
    this.#settings = settings;
    this.#short = new DecayingRate(settings.shortMs);
    this.#long = new DecayingRate(settings.longMs);
  }

  /**
   * Adds requests to the demand.
   *
   * @param demand - engine time of the requests, including refused ones
   * @param requests - number of requests
   * @param now - current time
   */
  onRequests(demand: engineCosts.Demand, requests: number, now: number): void {
    this.#startedAt ??= now;
    this.#short.add(demand, requests, now);
    this.#long.add(demand, requests, now);
  }

  /** @param now - when a change ended */
  onRoleChanged(now: number): void {
    this.#lastChangeAt = now;
  }

  /**
   * @param endpoints - the service's engines
   * @param unavailableMs - time for which a change makes an engine unavailable
   * @param weight - requests that a change must gain beyond its cost
   * @param now - current time
   * @returns the change with the highest gain, if any pays off
   */
  plan(
    endpoints: readonly PlannedEndpoint[],
    unavailableMs: number,
    weight: number,
    now: number,
  ): PlannedRoleChange | undefined {
    if (this.#startedAt === undefined || now - this.#startedAt < this.#settings.shortMs) return undefined;
    if (now - this.#lastChangeAt < this.#settings.cooldownMs) return undefined;
    const current = countRoles(endpoints);
    let best: PlannedRoleChange | undefined;
    for (const endpoint of leastBusyOfEachRole(endpoints)) {
      for (const role of Object.values(configuration.EndpointRole)) {
        if (role === endpoint.role) continue;
        const gain = this.#gain(current, endpoint.role, role, unavailableMs, now) - weight;
        if (gain > 0 && gain > (best?.gain ?? 0)) best = { endpoint: endpoint.id, role, gain };
      }
    }
    return best;
  }

  #gain(
    current: RoleCounts,
    from: configuration.EndpointRole,
    to: configuration.EndpointRole,
    unavailableMs: number,
    now: number,
  ): number {
    const duringChange = withChange(current, from, -1);
    const afterChange = withChange(duringChange, to, 1);
    if (!canServe(afterChange)) return Number.NEGATIVE_INFINITY;
    const gains = [this.#short, this.#long].map((rate) => {
      const { demand, requests } = rate.read(now);
      const share = (counts: RoleCounts): number => servedShare(counts, demand, this.#settings.maxUtilization);
      // During overload, admission accepts the cheap requests whatever the roles are;
      // a change that follows the mix of all arriving requests works against that.
      if (share(current) > 0 && share(afterChange) < this.#settings.minServedShare) return Number.NEGATIVE_INFINITY;
      const gained = (share(afterChange) - share(current)) * requests * (this.#settings.horizonMs - unavailableMs);
      const lost = (share(current) - share(duringChange)) * requests * unavailableMs;
      return gained - lost;
    });
    return Math.min(...gains);
  }
}

/**
 * @param counts - number of engines with each role
 * @param demand - demanded engine time per millisecond
 * @param maxUtilization - maximum planned utilization of an engine
 * @returns the share of the demand that the engines can serve in time
 */
export function servedShare(counts: RoleCounts, demand: engineCosts.Demand, maxUtilization: number): number {
  if (demand.mixedMs === 0) return 1;
  const byPairs = Math.min(ratio(counts.prefill, demand.prefillMs), ratio(counts.decode, demand.decodeMs));
  const byMixed = ratio(counts.mixed, demand.mixedMs);
  return Math.min(1, maxUtilization * (byPairs + byMixed));
}

function ratio(engines: number, demandedMs: number): number {
  return demandedMs > 0 ? engines / demandedMs : engines > 0 ? Number.MAX_SAFE_INTEGER : 0;
}

function canServe(counts: RoleCounts): boolean {
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
  const leastBusy = new Map<configuration.EndpointRole, PlannedEndpoint>();
  for (const endpoint of endpoints) {
    if (!endpoint.changeable) continue;
    const current = leastBusy.get(endpoint.role);
    if (!current || endpoint.inFlight < current.inFlight) leastBusy.set(endpoint.role, endpoint);
  }
  return [...leastBusy.values()];
}
