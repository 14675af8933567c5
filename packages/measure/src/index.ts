export * from "./replay.js";
export * from "./trace.js";
