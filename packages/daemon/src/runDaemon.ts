import * as http from "node:http";
import type * as net from "node:net";
import * as nodeServer from "@hono/node-server";
import * as adminServer from "./adminServer.js";
import * as callerServer from "./callerServer.js";
import * as daemon from "./daemon.js";
import * as peerServer from "./peerServer.js";
import type * as settingsModule from "./settings.js";

/** A daemon whose servers are listening. */
export interface RunningDaemon {
  readonly daemon: daemon.Daemon;
  /** Drains the daemon, then closes it. */
  stop(): Promise<void>;
}

/** A server that listens before its handler exists, because creating the handler requires the port. */
interface DeferredServer {
  readonly server: http.Server;
  readonly port: number;
  handler: http.RequestListener;
}

/**
 * Starts a daemon and its servers.
 *
 * @param settings - validated settings
 * @param write - writes a log line
 * @returns the running daemon
 */
export async function runDaemon(
  settings: settingsModule.Settings,
  write: (line: string) => void,
): Promise<RunningDaemon> {
  const callers = await openServer(settings.listen);
  const peers = await openServer(settings.peerListen);
  const admin = await openServer(settings.adminListen);
  const owner = new daemon.Daemon(settings, { caller: callers.port, peer: peers.port, admin: admin.port }, write);
  callers.handler = toListener(new callerServer.CallerServer(owner).app.fetch);
  admin.handler = toListener(new adminServer.AdminServer(owner).app.fetch);
  peers.handler = new peerServer.PeerServer(owner).handler;
  owner.start();
  const stop = async (): Promise<void> => {
    await owner.drain();
    await owner.close();
    for (const { server } of [callers, admin, peers]) {
      server.close();
      server.closeIdleConnections();
    }
  };
  return { daemon: owner, stop };
}

function toListener(fetch: Parameters<typeof nodeServer.getRequestListener>[0]): http.RequestListener {
  const listener = nodeServer.getRequestListener(fetch);
  return (request, response) => {
    void listener(request, response);
  };
}

function openServer(address: settingsModule.ListenAddress): Promise<DeferredServer> {
  return new Promise((resolve, reject) => {
    const server = http.createServer((request, response) => {
      deferred.handler(request, response);
    });
    const deferred = { server, port: address.port, handler: respondNotReady };
    server.once("error", reject);
    server.listen(address.port, address.host, () => {
      deferred.port = (server.address() as net.AddressInfo).port;
      resolve(deferred);
    });
  });
}

function respondNotReady(_request: http.IncomingMessage, response: http.ServerResponse): void {
  response.writeHead(503, { "retry-after": "1", "x-outcome": "not-run" });
  response.end();
}
