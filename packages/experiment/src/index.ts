/** Simulations of loads with the production decision code, on emulated engines in virtual time. */
export * from "./description.js";
export * from "./emulatedDaemon.js";
export * from "./emulatedEngine.js";
export * from "./experiment.js";
export * from "./limitDivisions.js";
export * from "./limitReplay.js";
export * from "./limitComparison.js";
export * from "./load.js";
export * from "./outcome.js";
export * from "./table.js";
export * from "./virtualTime.js";
export * from "./crashReplay.js";
export * from "./cutOffReplay.js";
export * from "./statementReplay.js";
export * from "./streamReplay.js";
export * from "./fairnessReplay.js";
