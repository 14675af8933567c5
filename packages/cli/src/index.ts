/** The command-line tool; `main.ts` is its program. */
export * from "./adminClient.js";
export * from "./output.js";
export * from "./teamDocuments.js";
