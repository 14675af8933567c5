import type * as serving from "@camphorcourse/serving";
import type * as decisionLogs from "../decisionLog.js";
import type * as endpointClients from "../endpointClient.js";
import * as crashDetectors from "../endpointCrashDetector.js";
import type * as ports from "../ports.js";
import * as suspectGates from "./suspectGate.js";
import * as suspectStores from "./suspectStore.js";

/** What protecting endpoints needs. */
export interface CrashProtectionParts {
  readonly store: ports.DurableStore;
  /** Prefix of the keys under which rejected requests are stored. */
  readonly prefix: string;
  readonly log: decisionLogs.DecisionLog;
  readonly client: endpointClients.EndpointClient;
  readonly directory: serving.EndpointDirectory;
  /** Tries to connect to an endpoint, and asks a peer if that fails. */
  readonly probe: crashDetectors.EndpointCrashDetectorParts["probe"];
  /** Called for each endpoint that has crashed. */
  readonly onCrashed: (endpoint: serving.Endpoint) => void;
  /** Called when a suspect has to be reported to the peers at once. */
  readonly onEscalated: () => void;
}

/** Detects crashed endpoints, counts the requests that ran on them, and keeps those requests from further endpoints. */
export class CrashProtection {
  readonly crashDetector: crashDetectors.EndpointCrashDetector;
  readonly gate: suspectGates.SuspectGate;
  readonly #store: suspectStores.SuspectStore;

  /** @param parts - what it needs */
  constructor(parts: CrashProtectionParts) {
    const { store, prefix, log, client, directory, probe, onCrashed, onEscalated } = parts;
    this.gate = new suspectGates.SuspectGate({
      log,
      lastReceivedAt: (endpointId) => client.lastReceivedAt(endpointId),
      onEscalated,
      onQuarantined: (fingerprint) => this.#store.keep(fingerprint),
    });
    this.#store = new suspectStores.SuspectStore({
      store,
      prefix,
      log,
      recordOf: (fingerprint) => this.gate.table.recordOf(fingerprint, performance.now()),
    });
    this.crashDetector = new crashDetectors.EndpointCrashDetector({
      log,
      lastReceivedAt: (endpointId) => client.lastReceivedAt(endpointId),
      hasLiveConnection: (endpointId) => client.hasLiveConnection(endpointId),
      probe,
      isLeaving: ({ id }) => !directory.isAvailable(id),
      onCrashed: (endpoint, runs) => {
        onCrashed(endpoint);
        this.gate.noteCrashed(endpoint, runs);
      },
    });
  }

  /** Stops pending writes to the key-value service. */
  stop(): void {
    this.#store.stop();
  }
}
