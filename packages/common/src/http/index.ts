/** What the HTTP servers of both daemons share: bounds of connections, and the reading of bodies within one memory. */
export * from "./bodyReader.js";
export * from "./connectionGuard.js";
export * from "./requestBodies.js";
export * from "./serverOptions.js";
export * from "./unreadBodies.js";
