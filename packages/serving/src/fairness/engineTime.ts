import type * as engineSpeeds from "../engineSpeeds.js";
import type * as placements from "../placement.js";

/**
 * @param plan - where a prompt is prefilled and decoded
 * @param events - expected events of its stream
 * @param speeds - learned speeds of the service's engines
 * @returns predicted engine time of the request, in milliseconds: its prefill, and for each event the part of a decode
 *   engine's step that falls to one of its slots
 */
export function predictedEngineMs(
  plan: placements.EnginePlan,
  events: number,
  speeds: engineSpeeds.EngineSpeeds,
): number {
  const { role } = plan.prefillEngine ?? plan.decodeEngine;
  const slots = Math.max(1, plan.decodeEngine.slots);
  const { baseMs, perStreamMs } = speeds.pause;
  const stepMs = baseMs + perStreamMs * slots;
  return speeds.prefillMs(role, plan.workTokens) + (events * stepMs) / slots;
}
