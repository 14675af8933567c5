/** The daemon: sockets, files and timers round the core. */
export * from "./daemon.js";
export * from "./runDaemon.js";
export * from "./settings.js";
