import type * as directories from "../endpointDirectory.js";

/** An engine of a region, as far as its role is concerned. */
export interface RegionalEngine {
  readonly role: directories.EngineRole;
  /** Its region; left out in a deployment of one region. */
  readonly region?: string | undefined;
}

/**
 * Each region serves its own prompts, so that each needs engines of both roles.
 *
 * @param engines - engines of a service
 * @param role - a role
 * @returns share of a region's engines that have the role, by region
 */
export function roleShares(
  engines: readonly RegionalEngine[],
  role: directories.EngineRole,
): (region: string | undefined) => number {
  const counts = new Map<string | undefined, { all: number; withRole: number }>();
  for (const engine of engines) {
    const count = counts.get(engine.region) ?? { all: 0, withRole: 0 };
    counts.set(engine.region, count);
    count.all++;
    if (engine.role === role) count.withRole++;
  }
  return (region) => {
    const count = counts.get(region);
    return count === undefined ? 0 : count.withRole / count.all;
  };
}
