/** Library part of the command-line tool; the executable is `main.ts`. */
export * from "./adminClient.js";
export * from "./output.js";
export * from "./teamDocuments.js";
