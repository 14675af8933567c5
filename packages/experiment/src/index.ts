/** Replays of loads against emulated engines, in virtual time, by the decisions that serve. */
export * from "./description.js";
export * from "./emulatedDaemon.js";
export * from "./emulatedEngine.js";
export * from "./experiment.js";
export * from "./load.js";
export * from "./outcome.js";
export * from "./table.js";
export * from "./virtualTime.js";
