import type * as http from "node:http";
import * as nodeServer from "@hono/node-server";
import * as adminServer from "./adminServer.js";
import * as callerServer from "./callerServer.js";
import * as daemon from "./daemon.js";
import * as peerServer from "./peerServer.js";
import type * as settingsModule from "./settings.js";

/** A daemon whose servers listen. */
export interface RunningDaemon {
  readonly daemon: daemon.Daemon;
  /** Leaves as planned, then ends. */
  stop(): Promise<void>;
}

/**
 * @param settings - checked settings
 * @param write - takes log lines
 * @returns the running daemon
 */
export async function runDaemon(
  settings: settingsModule.Settings,
  write: (line: string) => void,
): Promise<RunningDaemon> {
  const owner = new daemon.Daemon(settings, write);
  const callers = nodeServer.createAdaptorServer({
    fetch: new callerServer.CallerServer(owner).app.fetch,
  }) as http.Server;
  const admin = nodeServer.createAdaptorServer({ fetch: new adminServer.AdminServer(owner).app.fetch }) as http.Server;
  const peers = new peerServer.PeerServer(owner).server;
  await daemon.listen(callers, settings.listen);
  await daemon.listen(admin, settings.adminListen);
  await daemon.listen(peers, settings.peerListen);
  owner.start();
  const stop = async (): Promise<void> => {
    await owner.drain();
    await owner.close();
    for (const server of [callers, admin, peers]) {
      server.close();
      server.closeIdleConnections();
    }
  };
  return { daemon: owner, stop };
}
