import type * as http from "node:http";
import * as nodeServer from "@hono/node-server";
import * as hono from "hono";
import type * as settingsModule from "./settings.js";

/**
 * Starts an HTTP server.
 *
 * @param app - handles its requests
 * @param address - where to listen
 * @returns the server, once it is listening
 */
export function listen(app: hono.Hono, address: settingsModule.SocketAddress): Promise<http.Server> {
  return new Promise((resolve) => {
    const server = nodeServer.serve({ fetch: app.fetch, hostname: address.host, port: address.port }, () => {
      resolve(server as http.Server);
    });
  });
}
