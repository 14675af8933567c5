/** Small processes in place of the platform and the endpoints, with fault switches and journals. */
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
