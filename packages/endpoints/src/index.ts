/** Clients of the endpoints: engines, plain services, and orders to engines. */
export * from "./engineClient.js";
export * from "./loadText.js";
export * from "./orderConnection.js";
export * from "./serviceClient.js";
