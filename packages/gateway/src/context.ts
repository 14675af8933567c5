import * as common from "@camphorcourse/common";
import * as serving from "@camphorcourse/serving";
import type * as decisionLogs from "./decisionLog.js";
import type * as crashDetectors from "./endpointCrashDetector.js";
import type * as endpointClients from "./endpointClient.js";
import type * as fleetViews from "./fleetView.js";
import type * as metricsModule from "./metrics.js";
import type * as ports from "./ports.js";
import type * as settingsModule from "./settings.js";
import type * as suspectGates from "./suspects/suspectGate.js";

/** What serving a request needs. */
export interface ServingContext {
  readonly settings: settingsModule.GatewaySettings;
  readonly log: decisionLogs.DecisionLog;
  readonly metrics: metricsModule.Metrics;
  readonly format: ports.MessageFormat;
  readonly view: fleetViews.FleetView;
  readonly board: serving.EngineBoard;
  readonly health: serving.EndpointHealth;
  /** What is known of the speed of each service's engines. */
  readonly speeds: serving.ServiceSpeeds;
  /** What own requests' prompts ask of the engines. */
  readonly demand: serving.Demand;
  /** How often prompts are taken, by their size. */
  readonly sizeShares: serving.SizeShares;
  readonly client: endpointClients.EndpointClient;
  /** Tells which endpoints have ended, and under what. */
  readonly crashDetector: crashDetectors.EndpointCrashDetector;
  /** Keeps requests that crash endpoints from them. */
  readonly suspects: suspectGates.SuspectGate;
  readonly budgets: RetryBudgets;
  readonly random: common.SeededRandom;
  /**
   * @param endpoint - an endpoint that a request was not meant for
   * @param answeredBy - the endpoint that is there now, if it says so
   */
  onMisdirected(endpoint: serving.Endpoint, answeredBy: string | undefined): void;
  /** @returns daemons that live, this one included */
  liveDaemons(): number;
}

/** The retry budgets of all services. */
export class RetryBudgets {
  readonly #budgets = new Map<string, serving.SharedRetryBudget>();
  readonly #bounds: serving.RetryBounds;
  readonly #startedAt: number;

  /**
   * @param bounds - the operators' bound
   * @param startedAt - instant at which the process started, in milliseconds
   */
  constructor(bounds: serving.RetryBounds, startedAt: number) {
    this.#bounds = bounds;
    this.#startedAt = startedAt;
  }

  /**
   * @param service - the service
   * @returns its budget
   */
  of(service: string): serving.SharedRetryBudget {
    let budget = this.#budgets.get(service);
    if (budget === undefined) {
      budget = new serving.SharedRetryBudget(this.#bounds, this.#startedAt);
      this.#budgets.set(service, budget);
    }
    return budget;
  }
}
