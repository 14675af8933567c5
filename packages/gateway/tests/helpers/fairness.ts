import * as serving from "@camphorcourse/serving";
import * as decisionLogs from "../../src/decisionLog.js";
import * as fairnessModule from "../../src/fairness/fairness.js";
import type * as fleetViews from "../../src/fleetView.js";
import * as metricsModule from "../../src/metrics.js";

/**
 * @param view - configuration in force
 * @param write - receives the lines of the log
 * @param distances - distances between the data centres; undefined in a deployment of one region
 * @returns ranks and shares of organisations, without peers
 */
export function createFairness(
  view: Pick<fleetViews.FleetView, "table">,
  write: (line: string) => boolean = () => true,
  distances?: serving.DistanceModel,
): fairnessModule.Fairness {
  return new fairnessModule.Fairness({
    view,
    acceptance: new serving.AcceptanceTracker(),
    demand: new serving.Demand(),
    speeds: new serving.ServiceSpeeds(),
    log: new decisionLogs.DecisionLog("vm-1", "info", { writableLength: 0, write }),
    metrics: new metricsModule.Metrics(),
    distances,
  });
}
