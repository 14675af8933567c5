/**
 * The gateway: runs the decision logic of the serving package with sockets and timers. The platform implements its
 * ports.
 */
export * from "./address.js";
export * from "./fleetViewUpdater.js";
export * from "./context.js";
export * from "./decisionLog.js";
export * from "./endpointClient.js";
export * from "./eventSplitter.js";
export * from "./fleetView.js";
export * from "./gateway.js";
export * from "./lifecycle/gatewayDependencies.js";
export * from "./metrics.js";
export * as connectors from "./paths/connector.js";
export * from "./ports.js";
export * from "./settings.js";
export { SideServer } from "./sideServers.js";
export type { SideAnswer, SideHandler } from "./sideServers.js";
export * from "./storeFollower.js";
export * as suspectCodec from "./suspects/suspectCodec.js";
