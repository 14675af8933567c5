import type * as common from "@camphorcourse/common";
import type * as descriptions from "./description.js";

/**
 * @param random - source of the draw
 * @param distribution - a log-normal distribution
 * @returns a length drawn from it, a whole number from 1 to its maximum
 */
export function drawLength(random: common.SeededRandom, distribution: descriptions.LengthDistribution): number {
  const normal = drawNormal(random);
  const drawn = distribution.mean * Math.exp(normal * distribution.spread - distribution.spread ** 2 / 2);
  return Math.max(1, Math.round(Math.min(distribution.most, drawn)));
}

/** Draws from the standard normal distribution by the Box-Muller transform. */
function drawNormal(random: common.SeededRandom): number {
  return Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
}
