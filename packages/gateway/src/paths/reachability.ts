import type * as common from "@camphorcourse/common";
import type * as serving from "@camphorcourse/serving";
import type * as decisionLogs from "../decisionLog.js";
import type * as peerLinks from "../peerLink.js";
import type * as settingsModule from "../settings.js";
import * as pathMonitors from "./pathMonitor.js";
import * as peerRelays from "./peerRelays.js";

/** Dependencies of {@link Reachability}. */
export interface ReachabilityParts extends Pick<pathMonitors.PathMonitorParts, "onReturned" | "onReachedByPeer"> {
  readonly settings: settingsModule.GatewaySettings;
  readonly log: decisionLogs.DecisionLog;
  readonly directory: serving.EndpointDirectory;
  /** @returns the link to the other daemons, which is created later */
  readonly peers: () => peerLinks.PeerLink;
  readonly random: common.SeededRandom;
  /** Whether the event loop lags, so that the socket events it processes may be old. */
  readonly isLoopLagging: () => boolean;
}

/** What this daemon reaches by itself, and the peers through which it reaches the rest. */
export class Reachability {
  readonly monitor: pathMonitors.PathMonitor;
  readonly relays: peerRelays.PeerRelays;
  readonly log: decisionLogs.DecisionLog;
  readonly #peers: () => peerLinks.PeerLink;

  /** @param parts - dependencies */
  constructor(parts: ReachabilityParts) {
    const { settings, log, directory, peers, random, isLoopLagging, onReturned, onReachedByPeer } = parts;
    this.log = log;
    this.#peers = peers;
    this.relays = new peerRelays.PeerRelays({
      vm: settings.vm,
      dataCentre: settings.dataCentre,
      livePeers: () => peers().peerTable.live(performance.now()),
      addressOf: (vm) => peers().addressOf(vm),
      draw: () => random.next(),
      isLoopLagging,
    });
    this.monitor = new pathMonitors.PathMonitor({
      log,
      directory,
      askPeer: (endpointId) => this.#askPeer(endpointId),
      onReturned,
      onReachedByPeer,
      onLinkChange: () => peers().sendHeartbeatsNow(),
      draw: () => random.next(),
    });
  }

  async #askPeer(endpointId: string): Promise<pathMonitors.PeerFinding | undefined> {
    const peer = this.relays.choose(endpointId);
    if (peer === undefined) return undefined;
    const finding = await this.#peers().probeThrough(peer.vm, endpointId);
    if (finding?.reached === false) this.relays.noteUnable(endpointId, peer);
    return finding;
  }
}
