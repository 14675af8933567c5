import type * as callerListeners from "../callerListener.js";
import type * as contexts from "../context.js";
import type * as loopMonitors from "../lifecycle/loopMonitor.js";
import type * as pathMonitors from "../paths/pathMonitor.js";
import type * as relayServers from "../paths/relayServer.js";
import type * as peerLinks from "../peerLink.js";

/** What the gauges are read from. */
export interface GaugeSources {
  readonly context: contexts.ServingContext;
  readonly listener: callerListeners.CallerListener;
  readonly peers: peerLinks.PeerLink;
  readonly monitor: pathMonitors.PathMonitor;
  readonly relayServer: relayServers.RelayServer;
  readonly loop: loopMonitors.LoopMonitor;
}

/**
 * @param sources - what the gauges are read from
 * @returns the gauges of a daemon, by name
 */
export function readGauges({
  context,
  listener,
  peers,
  monitor,
  relayServer,
  loop,
}: GaugeSources): Record<string, number> {
  const now = performance.now();
  const { view } = context;
  return {
    requests_open: listener.openRequests,
    configuration_revision: view.configurationRevision,
    store_revision: view.directory.revision,
    daemons_known: view.daemons.size,
    daemons_heard: peers.peerTable.live(now).length,
    suspects: context.suspects.table.count(now),
    acceptance_counts_refused: context.acceptance.refusedCounts,
    organisations_over_share: context.fairness.overShare(now),
    takes_callers: Number(peers.activeSet.active),
    cut_off: Number(monitor.isCutOff),
    requests_relayed_open: relayServer.open,
    stream_records: context.streams.count,
    calls_waiting: context.calls.waiting,
    endpoints_resting: context.statements.rests.count,
    endpoints_limited: context.limits.table.limits().length,
    busy_cores: loop.busyShare * context.settings.capacity,
    incomplete_answer_bytes: context.answerMemory.total,
    held_bytes: context.memory.heldBytes,
    runs_moving: context.runs.underWay,
    runs_with_backup: context.backups.count,
    heap_bytes: process.memoryUsage().heapUsed,
    event_loop_utilization: performance.eventLoopUtilization().utilization,
    unsent_bytes_to_callers: listener.unsentBytes,
    unsent_bytes_to_endpoints: context.client.unsentBytes,
  };
}
