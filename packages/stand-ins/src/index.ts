/** Stand-ins for the platform services and the endpoints, each with fault switches and a journal of what it received. */
export * from "./answers.js";
export * from "./engine.js";
export * from "./engineModel.js";
export * from "./faults.js";
export * from "./fleet.js";
export * from "./keyValue.js";
export * from "./keyValueStore.js";
export * from "./launcher.js";
export * from "./plainService.js";
export * from "./standIn.js";
export * from "./vmList.js";
