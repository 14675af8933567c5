import type * as http from "node:http";
import * as nodeServer from "@hono/node-server";
import * as hono from "hono";
import type * as settingsModule from "./settings.js";

/**
 * @param app - what answers
 * @param address - where to listen
 * @returns the server, once it listens
 */
export function listen(app: hono.Hono, address: settingsModule.SocketAddress): Promise<http.Server> {
  return new Promise((resolve) => {
    const server = nodeServer.serve({ fetch: app.fetch, hostname: address.host, port: address.port }, () => {
      resolve(server as http.Server);
    });
  });
}
