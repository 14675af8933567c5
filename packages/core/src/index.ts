/**
 * The decision logic of a daemon, without input or output. {@link Core} is the
 * entry point; the other modules can also be used on their own.
 */
export * from "./actions.js";
export * from "./admission.js";
export * from "./attempts.js";
export * from "./changeChooser.js";
export * from "./claimManager.js";
export * from "./claims.js";
export * from "./configuration.js";
export * as constants from "./constants.js";
export * from "./controlFollower.js";
export * from "./controlKeys.js";
export * from "./controlStore.js";
export * from "./core.js";
export * from "./drains.js";
export * from "./requestDeduplicator.js";
export * from "./engineCosts.js";
export * from "./events.js";
export * from "./keyValueTypes.js";
export * from "./leaseManager.js";
export * from "./leases.js";
export * from "./liveRequest.js";
export * from "./membership.js";
export * from "./orderContext.js";
export * from "./orderManager.js";
export * from "./orders.js";
export * from "./peerView.js";
export * from "./requestManager.js";
export * from "./requestProblems.js";
export * from "./retryBudget.js";
export * from "./rolePlanner.js";
export * from "./endpointChoice.js";
export * from "./endpointModel.js";
export * from "./servicePool.js";
export * from "./speedFactor.js";
export * from "./streamAssembly.js";
export * from "./takeoverGuard.js";
export * from "./timeline.js";
export * from "./viewFreshness.js";
