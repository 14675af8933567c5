/** Clients of the platform: the key-value service and the list of VMs. */
export * from "./keyValueClient.js";
export * from "./origin.js";
export * from "./vmListClient.js";
