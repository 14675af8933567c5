/** Clients of the endpoints: engines, plain services, and orders to engines that change their role. */
export * from "./engineClient.js";
export * from "./loadReport.js";
export * from "./orderSender.js";
export * from "./serviceClient.js";
