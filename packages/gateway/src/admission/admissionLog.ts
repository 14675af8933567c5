import * as serving from "@camphorcourse/serving";
import type * as callerRequests from "../callerRequest.js";
import type * as decisionLogs from "../decisionLog.js";

/** What the admission of a prompt was based on. */
export interface AdmissionBasis {
  readonly caller: callerRequests.CallerRequest;
  readonly route: serving.Route;
  readonly limits: serving.PromptLimits;
  readonly placement: serving.PlacementInputs;
  /** Counts after the decision. */
  readonly counts: serving.AcceptanceCounts;
}

/**
 * @param basis - what an admission was based on
 * @returns fields of the log: the counts that were compared, and the time that the caller had left
 */
export function admissionFields({ caller, route, limits, placement, counts }: AdmissionBasis): decisionLogs.LogFields {
  return {
    kind: limits.kind,
    promptTokens: placement.prompt.promptTokens,
    sizeClass: counts.sizeClass,
    offeredOfSize: counts.offeredOfSize.toFixed(1),
    takenOfSize: counts.takenOfSize.toFixed(1),
    offeredOfKind: counts.offeredOfKind.toFixed(1),
    takenOfKind: counts.takenOfKind.toFixed(1),
    statedMs: caller.headers.deadlineMs,
    routeMs: route.timeoutMs,
    elapsedMs: Math.round(placement.now - caller.arrivedAt),
  };
}
