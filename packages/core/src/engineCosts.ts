import * as configuration from "./configuration.js";

/** Assumed limits of an engine in one role. */
export interface RoleCapacity {
  /** Maximum prompt tokens prefilled in one step. */
  readonly chunkTokens: number;
  /** Maximum sequences that decode concurrently. */
  readonly slots: number;
}

/** Costs of an engine's steps and role changes, in milliseconds. */
export interface EngineCosts {
  readonly stepBaseMs: number;
  readonly prefillTokenMs: number;
  readonly decodeStreamMs: number;
  readonly roleChangeMs: number;
  readonly roles: Readonly<Record<configuration.EndpointRole, RoleCapacity>>;
}

/**
 * Prior costs for predictions, assumed for a mid-sized model. Each endpoint's
 * actual speed is learned as a factor on them.
 */
export const PRIOR_COSTS: EngineCosts = {
  stepBaseMs: 6,
  prefillTokenMs: 0.05,
  decodeStreamMs: 0.45,
  roleChangeMs: 5000,
  roles: {
    [configuration.EndpointRole.Prefill]: { chunkTokens: 4096, slots: 0 },
    [configuration.EndpointRole.Decode]: { chunkTokens: 0, slots: 64 },
    [configuration.EndpointRole.Mixed]: { chunkTokens: 256, slots: 24 },
  },
};

/** Engine time in milliseconds that requests need in each engine role, with full batches. */
export interface Demand {
  /** On a prefill engine. */
  readonly prefillMs: number;
  /** On a decode engine. */
  readonly decodeMs: number;
  /** On a mixed engine, for prefill and decode together. */
  readonly mixedMs: number;
}

/** Demand of no requests. */
export const NO_DEMAND: Demand = { prefillMs: 0, decodeMs: 0, mixedMs: 0 };

/**
 * @param left - a demand
 * @param right - another demand
 * @returns their sum
 */
export function sumOf(left: Demand, right: Demand): Demand {
  return {
    prefillMs: left.prefillMs + right.prefillMs,
    decodeMs: left.decodeMs + right.decodeMs,
    mixedMs: left.mixedMs + right.mixedMs,
  };
}

/**
 * @param demand - a demand
 * @param factor - the multiplier
 * @returns the product
 */
export function scaled(demand: Demand, factor: number): Demand {
  return { prefillMs: demand.prefillMs * factor, decodeMs: demand.decodeMs * factor, mixedMs: demand.mixedMs * factor };
}

/**
 * @param left - a demand
 * @param right - the demand to subtract
 * @returns the difference
 */
export function differenceOf(left: Demand, right: Demand): Demand {
  return sumOf(left, scaled(right, -1));
}

/**
 * @param costs - the engine's costs
 * @param promptTokens - prompt tokens that are not cached
 * @param outputTokens - expected tokens of the answer
 * @returns the engine time that the request needs
 */
export function demandOf(costs: EngineCosts, promptTokens: number, outputTokens: number): Demand {
  const prefill = costs.roles[configuration.EndpointRole.Prefill];
  const decode = costs.roles[configuration.EndpointRole.Decode];
  const mixed = costs.roles[configuration.EndpointRole.Mixed];
  const prefillMs = promptTokens * (costs.prefillTokenMs + costs.stepBaseMs / prefill.chunkTokens);
  const decodeMs = outputTokens * (costs.decodeStreamMs + costs.stepBaseMs / decode.slots);
  const mixedPrefillMs = promptTokens * (costs.prefillTokenMs + costs.stepBaseMs / mixed.chunkTokens);
  const mixedDecodeMs = outputTokens * costs.decodeStreamMs;
  return { prefillMs, decodeMs, mixedMs: mixedPrefillMs + mixedDecodeMs };
}
