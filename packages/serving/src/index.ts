/** Decisions of serving, without input or output: routes, endpoints, placement, repeats. */
export * from "./admission.js";
export * from "./configuration.js";
export * from "./routeTable.js";
export * from "./endpointDirectory.js";
export * from "./endpointHealth.js";
export * from "./endpointLives.js";
export * from "./engineBoard.js";
export * from "./finalAnswer.js";
export * from "./leastBusy.js";
export * from "./placement.js";
export * from "./plannedStop.js";
export * from "./promptParts.js";
export * from "./retryBudget.js";
export * from "./roleBalance.js";
export * from "./silence.js";
export * from "./urgency.js";
