/** What every package of the project shares: time, randomness, hashing, errors, log lines. */
export * from "./clock.js";
export * from "./errors.js";
export * from "./hash.js";
export * from "./hybridClock.js";
export * from "./logLine.js";
export * from "./random.js";
