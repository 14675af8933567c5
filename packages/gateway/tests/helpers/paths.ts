import * as httpServers from "@camphorcourse/common/http";
import * as serving from "@camphorcourse/serving";
import * as decisionLogs from "../../src/decisionLog.js";
import type * as endpointClients from "../../src/endpointClient.js";
import * as pathMonitors from "../../src/paths/pathMonitor.js";
import * as peerRelays from "../../src/paths/peerRelays.js";

/** @returns paths of a daemon without peers */
export function createPaths(): endpointClients.PathParts {
  const log = new decisionLogs.DecisionLog("vm-1", "info", { writableLength: 0, write: () => true });
  const monitor = new pathMonitors.PathMonitor({
    log,
    directory: new serving.EndpointDirectory(),
    askPeer: () => Promise.resolve(undefined),
    onReturned: () => undefined,
    onReachedByPeer: () => undefined,
    onLinkChange: () => undefined,
    draw: () => 0,
  });
  const relays = new peerRelays.PeerRelays({
    vm: "vm-1",
    dataCentre: "a",
    livePeers: () => [],
    addressOf: () => undefined,
    draw: () => 0,
    isLoopLagging: () => false,
  });
  return { monitor, relays, log };
}

/** Parts of a peer link in a test in which every daemon reaches the endpoints. */
export const REACHING_ALL = {
  isCutOff: () => false,
  isLinkLost: () => false,
  pathCalls: { onProbe: () => Promise.resolve({ reached: false, refused: false }), onRelay: () => undefined },
  peerServer: {
    bodies: new httpServers.RequestBodies({
      limitBytes: 64_000_000,
      otherBytes: () => 0,
      onYielded: () => undefined,
    }),
    bounds: { maxConnections: 1_000, maxRequests: 1_000 },
  },
  onNeighbourCutOff: () => undefined,
};
