import type * as common from "@camphorcourse/common";
import type * as serving from "@camphorcourse/serving";
import type * as callControls from "./calls/callControl.js";
import type * as configurationGates from "./configuration/configurationGate.js";
import type * as decisionLogs from "./decisionLog.js";
import type * as trafficCounters from "./distance/trafficCounter.js";
import type * as crashDetectors from "./endpointCrashDetector.js";
import type * as endpointClients from "./endpointClient.js";
import type * as fairnessModule from "./fairness/fairness.js";
import type * as fleetViews from "./fleetView.js";
import type * as endpointLimits from "./limits/endpointLimits.js";
import type * as memoryGuards from "./memory/memoryGuard.js";
import type * as metricsModule from "./metrics.js";
import type * as pacings from "./pacing/pacing.js";
import type * as ports from "./ports.js";
import type * as retryBudgets from "./requests/retryBudgets.js";
import type * as ownRuns from "./runs/ownRuns.js";
import type * as settingsModule from "./settings.js";
import type * as endpointStatements from "./statements/endpointStatements.js";
import type * as streamOrigins from "./streams/streamOrigins.js";
import type * as suspectGates from "./suspects/suspectGate.js";

/** Dependencies that the serving of all requests shares. */
export interface ServingContext {
  readonly settings: settingsModule.GatewaySettings;
  readonly log: decisionLogs.DecisionLog;
  readonly metrics: metricsModule.Metrics;
  readonly format: ports.MessageFormat;
  readonly view: fleetViews.FleetView;
  readonly loads: serving.EngineLoadTracker;
  readonly health: serving.EndpointHealth;
  /** Controls the calls of plain services whose routes leave little time. */
  readonly calls: callControls.CallControl;
  /** Usual times of the endpoints' answers. */
  readonly answerTimes: serving.AnswerTimes;
  /** Learnt speeds of each service's engines. */
  readonly speeds: serving.ServiceSpeeds;
  /** Budgets of the decode engines for prefills beside their streams. */
  readonly pacing: pacings.Pacing;
  /** Engine demand of the prompts that this daemon received. */
  readonly demand: serving.Demand;
  /** Shares of prompts that were accepted, by prompt size. */
  readonly acceptance: serving.AcceptanceTracker;
  /** Ranks and shares of organisations. */
  readonly fairness: fairnessModule.Fairness;
  /** Decides which requests the configuration in force may decide on. */
  readonly configuration: configurationGates.ConfigurationGate;
  readonly client: endpointClients.EndpointClient;
  readonly limits: endpointLimits.EndpointLimits;
  /** What endpoints have said of themselves, and when they may get requests by that. */
  readonly statements: endpointStatements.EndpointStatements;
  /** Detects endpoints that crashed, and the requests that they were running. */
  readonly crashDetector: crashDetectors.EndpointCrashDetector;
  /** What began the streams that callers may take up. */
  readonly streams: streamOrigins.StreamOrigins;
  /** Bounds what is buffered of incomplete answers. */
  readonly answerMemory: serving.AnswerMemory;
  /** Keeps what is held for callers within the VM's memory. */
  readonly memory: memoryGuards.MemoryGuard;
  /** Moves runs from engines that leave to others. */
  readonly runs: ownRuns.OwnRuns;
  /** Has copies kept of runs on engines that are likely to be lost. */
  readonly backups: ownRuns.RunBackups;
  /** Keeps requests that crash endpoints from being sent to them. */
  readonly suspects: suspectGates.SuspectGate;
  readonly budgets: retryBudgets.RetryBudgets;
  /** Counts an organisation's request that begins to run now. */
  readonly countUsage: (organisation: string) => void;
  /** Distances between the data centres; undefined in a deployment of one region. */
  readonly distances?: serving.DistanceModel | undefined;
  /** Shared prompt parts that get a second preferred engine; undefined in a deployment of one region. */
  readonly hotParts?: serving.HotParts | undefined;
  /** Counts the bytes that are sent, by distance. */
  readonly traffic?: trafficCounters.TrafficCounter;
  readonly random: common.SeededRandom;
  /**
   * Handles that a request reached another endpoint than the one it was sent to.
   *
   * @param endpoint - the endpoint that the request was sent to
   * @param answeredBy - id of the endpoint that answered at its address, if the answer names it
   */
  onMisdirected(endpoint: serving.Endpoint, answeredBy: string | undefined): void;
  /** @returns upper bound of the number of live daemons, including this one */
  liveDaemons(): number;
  /** @returns delay of the event loop, in milliseconds */
  lateMs(): number;
}
