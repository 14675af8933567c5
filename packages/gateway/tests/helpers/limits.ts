import * as serving from "@camphorcourse/serving";
import * as decisionLogs from "../../src/decisionLog.js";
import * as endpointLimits from "../../src/limits/endpointLimits.js";
import * as metricsModule from "../../src/metrics.js";

/**
 * @param vm - VM of the daemon
 * @param senders - VMs of all daemons that may send requests
 * @returns limits of endpoints that state none by themselves
 */
export function createLimits(vm = "vm-1", senders: readonly string[] = [vm]): endpointLimits.EndpointLimits {
  return new endpointLimits.EndpointLimits({
    log: new decisionLogs.DecisionLog(vm, "info", { writableLength: 0, write: () => true }),
    metrics: new metricsModule.Metrics(),
    unixMs: () => Date.now(),
    directory: new serving.EndpointDirectory(),
    vm,
    senders: () => senders,
    promptsPerMs: () => 0,
  });
}
