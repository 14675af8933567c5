/** Clients of the platform's services: the key-value service and the VM list. */
export * from "./keyValueClient.js";
export * from "./origin.js";
export * from "./vmListClient.js";
