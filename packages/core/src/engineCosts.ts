import * as configuration from "./configuration.js";

/** What one role of an engine can do, as planned with until observations correct it. */
export interface RoleCapacity {
  /** Prompt tokens that one step takes in at most. */
  readonly chunkTokens: number;
  /** Sequences that decode side by side at most. */
  readonly slots: number;
}

/** Costs of an engine's steps in milliseconds. */
export interface EngineCosts {
  readonly stepBaseMs: number;
  readonly prefillTokenMs: number;
  readonly decodeStreamMs: number;
  readonly roleChangeMs: number;
  readonly roles: Readonly<Record<configuration.EndpointRole, RoleCapacity>>;
}

/**
 * The shape that predictions start from; each endpoint's own speed is learned as
 * a factor on it. The figures are assumed for a mid-sized model.
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

/** Engine time, in milliseconds, that a request takes from each kind of engine when batches are full. */
export interface Demand {
  /** From a prefill engine. */
  readonly prefillMs: number;
  /** From a decode engine. */
  readonly decodeMs: number;
  /** From a mixed engine that does both. */
  readonly mixedMs: number;
}

/** No work. */
export const NO_DEMAND: Demand = { prefillMs: 0, decodeMs: 0, mixedMs: 0 };

/**
 * @param left - some work
 * @param right - more work
 * @returns both together
 */
export function sumOf(left: Demand, right: Demand): Demand {
  return {
    prefillMs: left.prefillMs + right.prefillMs,
    decodeMs: left.decodeMs + right.decodeMs,
    mixedMs: left.mixedMs + right.mixedMs,
  };
}

/**
 * @param left - some work
 * @param factor - what to multiply it with
 * @returns the product
 */
export function scaled(left: Demand, factor: number): Demand {
  return { prefillMs: left.prefillMs * factor, decodeMs: left.decodeMs * factor, mixedMs: left.mixedMs * factor };
}

/**
 * @param left - some work
 * @param right - a part of it
 * @returns the rest
 */
export function differenceOf(left: Demand, right: Demand): Demand {
  return sumOf(left, scaled(right, -1));
}

/**
 * @param costs - the engine's costs
 * @param promptTokens - prompt tokens that are not cached
 * @param outputTokens - tokens expected in the answer
 * @returns the engine time it takes
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
