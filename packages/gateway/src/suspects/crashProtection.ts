import type * as serving from "@camphorcourse/serving";
import type * as decisionLogs from "../decisionLog.js";
import type * as endpointClients from "../endpointClient.js";
import * as endpointEndDetectors from "../endpointCrashDetector.js";
import type * as ports from "../ports.js";
import * as suspectGates from "./suspectGate.js";
import * as suspectStores from "./suspectStore.js";

/** What protecting endpoints needs. */
export interface CrashProtectionParts {
  readonly store: ports.DurableStore;
  /** Prefix of the keys under which rejected requests are kept. */
  readonly prefix: string;
  readonly log: decisionLogs.DecisionLog;
  readonly client: endpointClients.EndpointClient;
  readonly directory: serving.EndpointDirectory;
  /** Called for each endpoint that has ended. */
  readonly onCrashed: () => void;
  /** Called when the peers are to hear of a suspect at once. */
  readonly onEscalated: () => void;
}

/** Notices endpoints that end, counts the requests under which they did, and keeps those from the others. */
export class CrashProtection {
  readonly crashDetector: endpointEndDetectors.EndpointCrashDetector;
  readonly gate: suspectGates.SuspectGate;
  readonly #store: suspectStores.SuspectStore;

  /** @param parts - what it needs */
  constructor(parts: CrashProtectionParts) {
    const { store, prefix, log, client, directory, onCrashed: onEnded, onEscalated } = parts;
    this.gate = new suspectGates.SuspectGate({
      log,
      heardAt: (endpointId) => client.heardAt(endpointId),
      onEscalated,
      onQuarantined: (fingerprint) => this.#store.keep(fingerprint),
    });
    this.#store = new suspectStores.SuspectStore({
      store,
      prefix,
      log,
      recordOf: (fingerprint) => this.gate.table.recordOf(fingerprint, performance.now()),
    });
    this.crashDetector = new endpointEndDetectors.EndpointCrashDetector({
      log,
      hasLiveConnection: (endpointId) => client.hasLiveConnection(endpointId),
      isLeaving: ({ id }) => !directory.mayServe(id),
      onCrashed: (endpoint, runs) => {
        onEnded();
        this.gate.noteEnded(endpoint, runs);
      },
    });
  }

  /** Ends what is still under way. */
  stop(): void {
    this.#store.stop();
  }
}
