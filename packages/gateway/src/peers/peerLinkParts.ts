import type * as serving from "@camphorcourse/serving";
import type * as daemonEntries from "../daemonEntry.js";
import type * as decisionLogs from "../decisionLog.js";
import type * as trafficCounters from "../distance/trafficCounter.js";
import type * as fairnessModule from "../fairness/fairness.js";
import type * as fleetViews from "../fleetView.js";
import type * as fleetViewUpdaters from "../fleetViewUpdater.js";
import type * as endpointLimits from "../limits/endpointLimits.js";
import type * as pacings from "../pacing/pacing.js";
import type * as settingsModule from "../settings.js";
import type * as streamOrigins from "../streams/streamOrigins.js";
import type * as peerCalls from "./peerCalls.js";

/** Dependencies of `PeerLink` and of the modules that it consists of. */
export interface PeerLinkParts {
  readonly settings: settingsModule.GatewaySettings;
  readonly entry: daemonEntries.DaemonEntry;
  readonly view: fleetViews.FleetView;
  readonly loads: serving.EngineLoadTracker;
  readonly demand: serving.Demand;
  readonly speeds: serving.ServiceSpeeds;
  readonly pacing: pacings.Pacing;
  readonly acceptance: serving.AcceptanceTracker;
  readonly fairness: fairnessModule.Fairness;
  readonly suspects: serving.SuspectTable;
  readonly limits: endpointLimits.EndpointLimits;
  readonly log: decisionLogs.DecisionLog;
  /** Distances between the data centres; undefined in a deployment of one region. */
  readonly distances?: serving.DistanceModel | undefined;
  /** Counts the bytes that are sent, by distance. */
  readonly traffic?: trafficCounters.TrafficCounter;
  readonly ready: () => boolean;
  /** Whether this daemon is cut off from endpoints that its peers reach. */
  readonly isCutOff: () => boolean;
  /** Whether this daemon can connect to no endpoint of some service, whatever its peers can. */
  readonly isLinkLost: () => boolean;
  /** Handles the calls of peers that don't reach an endpoint. */
  readonly pathCalls: Pick<peerCalls.PeerCallHandler, "onProbe" | "onRelay">;
  /** What the server for the calls of peers needs. */
  readonly peerServer: peerCalls.PeerServerParts;
  /** Keeps what began the streams of other daemons. */
  readonly streams: Pick<streamOrigins.StreamOrigins, "answer" | "merge" | "publishDue">;
  /** Called when a daemon of this data centre reports that it is cut off from endpoints. */
  readonly onNeighbourCutOff: () => void;
  /** Milliseconds for which the key-value service has not answered. */
  readonly storeSilentMs: () => number;
  /** @returns time for which this daemon relies on the lease on the fleet's duties, in milliseconds, if it holds it */
  readonly dutyLeaseMs: () => number | undefined;
  /** @returns delay of the event loop, in milliseconds */
  readonly lateMs: () => number;
  /** Whether this daemon follows the key-value service closely and informs others. */
  readonly followsClosely: () => boolean;
  /** Busy part of the VM's capacity, in cores. */
  readonly busyCores: () => number;
  /** Called with a daemon that sent a heartbeat, or that a peer reported. */
  readonly onDaemon: (daemon: daemonEntries.DaemonEntry) => void;
  /** Called with a configuration document and its revision. */
  readonly onConfiguration: (document: Uint8Array, revision: number) => void;
  /** Called with an endpoint's entry and its revision. */
  readonly onEndpoint: (id: string, value: Uint8Array, revision: number) => void;
  /** Called with an endpoint that is leaving, gone or set aside. */
  readonly onDeparture: (id: string, departure: fleetViewUpdaters.Departure) => void;
}
