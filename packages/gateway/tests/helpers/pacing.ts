import * as serving from "@camphorcourse/serving";
import * as pacings from "../../src/pacing/pacing.js";

/**
 * @param loads - the work at the engines
 * @param speeds - the speeds of the engines
 * @returns the pacing of a daemon without peers whose event loop is never late
 */
export function createPacing(
  loads = new serving.EngineLoadTracker(),
  speeds = new serving.ServiceSpeeds(),
): pacings.Pacing {
  return new pacings.Pacing({ loads, speeds, lateMs: () => 0, senders: () => 1 });
}
