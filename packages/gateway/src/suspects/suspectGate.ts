import * as common from "@camphorcourse/common";
import * as serving from "@camphorcourse/serving";
import * as neverthrow from "neverthrow";
import type * as decisionLogs from "../decisionLog.js";
import type * as endpointEndDetectors from "../endpointCrashDetector.js";
import type * as sendChoosers from "../sendChooser.js";
import type * as servedRequests from "../servedRequest.js";

/** Time after its end at which something heard from an endpoint shows that it has not ended, in milliseconds; late loops hear late. */
const REFUTED_AFTER_MS = 1_000;

/** Requests that this daemon saw endpoints end under, as many as it remembers. */
const MOST_OBSERVED = 1_024;

/** What the gate needs. */
export interface SuspectGateParts {
  readonly log: decisionLogs.DecisionLog;
  /** @returns instant at which anything last came from an endpoint, in milliseconds */
  readonly heardAt: (endpointId: string) => number;
  /** Called when a request is isolated or rejected from now on: the peers hear of it at once. */
  readonly onEscalated: () => void;
  /** Takes a request that is rejected from now on, of which this daemon saw an end. */
  readonly onQuarantined: (fingerprint: string) => void;
}

/** Keeps requests that crash endpoints from the endpoints: what is suspected runs alone, what ended three is rejected. */
export class SuspectGate {
  readonly table: serving.SuspectTable;
  readonly #parts: SuspectGateParts;
  /** Endpoints that are listed now, by their lives. */
  readonly #listed = new Map<number, string>();
  readonly #observed = new Set<string>();
  readonly #trials = new Map<servedRequests.ServedRequest, string>();

  /** @param parts - what it needs */
  constructor(parts: SuspectGateParts) {
    this.#parts = parts;
    this.table = new serving.SuspectTable({
      isRefuted: (life, endedAt) => this.#isRefuted(life, endedAt),
      onChange: (fingerprint, suspicion, ends) => this.#onChange(fingerprint, suspicion, ends),
    });
  }

  /**
   * @param served - a request that is about to be sent
   * @returns whether it runs alone, or why it is not sent
   */
  admit(served: servedRequests.ServedRequest): neverthrow.Result<boolean, sendChoosers.NoSend> {
    if (this.#trials.has(served)) return neverthrow.ok(true);
    if (this.table.isEmpty) return neverthrow.ok(false);
    const now = performance.now();
    const { content, ofCaller } = served.fingerprints;
    for (const fingerprint of [content, ofCaller]) {
      const suspicion = this.table.suspicionOf(fingerprint, now);
      if (suspicion === serving.Suspicion.Quarantined) return this.#reject(served, fingerprint, suspicion, now);
      if (suspicion !== serving.Suspicion.Isolated) continue;
      if (!this.table.beginTrial(fingerprint, now)) return this.#reject(served, fingerprint, suspicion, now);
      this.#trials.set(served, fingerprint);
      this.#parts.log.info("suspect-trial", { id: served.id, fingerprint });
      return neverthrow.ok(true);
    }
    return neverthrow.ok(false);
  }

  /**
   * @param served - a request
   * @returns whether an endpoint has ended under it since a run of it ended well
   */
  isSuspected(served: servedRequests.ServedRequest): boolean {
    if (this.table.isEmpty) return false;
    const now = performance.now();
    const { content, ofCaller } = served.fingerprints;
    return [content, ofCaller].some((each) => this.table.suspicionOf(each, now) !== serving.Suspicion.None);
  }

  /** @param served - a request whose run has ended well */
  noteSuccess(served: servedRequests.ServedRequest): void {
    if (this.table.isEmpty) return;
    const now = performance.now();
    const { content, ofCaller } = served.fingerprints;
    for (const fingerprint of [content, ofCaller]) this.table.noteCleanRun(fingerprint, now);
  }

  /** @param served - a request that is over */
  release(served: servedRequests.ServedRequest): void {
    const fingerprint = this.#trials.get(served);
    if (fingerprint === undefined) return;
    this.#trials.delete(served);
    this.table.endTrial(fingerprint);
  }

  /**
   * @param endpoint - an endpoint that has ended
   * @param runs - what was running there for this daemon's callers
   */
  noteEnded(endpoint: serving.Endpoint, runs: readonly endpointEndDetectors.BrokenRun[]): void {
    const now = performance.now();
    const life = lifeOf(endpoint);
    for (const { fingerprints, brokeAt } of runs) {
      for (const fingerprint of [fingerprints.content, fingerprints.ofCaller]) {
        if (this.#observed.size >= MOST_OBSERVED) this.#observed.clear();
        this.#observed.add(fingerprint);
        this.table.noteEnd(fingerprint, life, brokeAt, now);
      }
    }
  }

  /** @param endpoint - an endpoint that is listed */
  noteListed(endpoint: serving.Endpoint): void {
    this.#listed.set(lifeOf(endpoint), endpoint.id);
  }

  /** @param endpointId - an endpoint that is gone, or a life of it */
  forget(endpointId: string): void {
    for (const [life, id] of this.#listed) if (id === endpointId) this.#listed.delete(life);
  }

  #reject(
    served: servedRequests.ServedRequest,
    fingerprint: string,
    suspicion: serving.Suspicion,
    now: number,
  ): neverthrow.Result<boolean, sendChoosers.NoSend> {
    const isQuarantined = suspicion === serving.Suspicion.Quarantined;
    const rejectedForMs = Math.round(this.table.rejectedForMs(fingerprint, now));
    this.#parts.log.info("suspect-rejected", { id: served.id, fingerprint, suspicion, rejectedForMs });
    if (isQuarantined) return neverthrow.err({ reason: "quarantined", returnAfterMs: rejectedForMs });
    return neverthrow.err({ reason: "awaiting-trial" });
  }

  /** A life that has answered this daemon since cannot have ended then, whoever says so. */
  #isRefuted(life: number, endedAt: number): boolean {
    const endpointId = this.#listed.get(life);
    return endpointId !== undefined && this.#parts.heardAt(endpointId) > endedAt + REFUTED_AFTER_MS;
  }

  #onChange(fingerprint: string, suspicion: serving.Suspicion, ends: number): void {
    const isQuarantined = suspicion === serving.Suspicion.Quarantined;
    const isEscalated = isQuarantined || suspicion === serving.Suspicion.Isolated;
    if (isEscalated) this.#parts.log.warn("suspect", { fingerprint, suspicion, ends });
    else this.#parts.log.info("suspect", { fingerprint, suspicion, ends });
    const isObserved = this.#observed.has(fingerprint);
    if (isEscalated && isObserved) this.#parts.onEscalated();
    if (isQuarantined && isObserved) this.#parts.onQuarantined(fingerprint);
  }
}

/** Names one life of one endpoint in few bytes, alike at all daemons. */
function lifeOf({ id, bornAt }: serving.Endpoint): number {
  return common.hash32(`${id}/${bornAt ?? ""}`);
}
