/** Utilities that all packages share: clocks, random numbers, hashing, errors, log lines. */
export * from "./blockBuffer.js";
export * from "./bodyBuffer.js";
export * from "./bodyMemory.js";
export * from "./clock.js";
export * from "./connectionLimit.js";
export * from "./errors.js";
export * from "./hash.js";
export * from "./hybridClock.js";
export * from "./logLine.js";
export * from "./random.js";
