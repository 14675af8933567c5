/** The daemon: runs the core with its network servers, clients and timers. */
export * from "./daemon.js";
export * from "./runDaemon.js";
export * from "./settings.js";
