import * as common from "@camphorcourse/common";
import * as serving from "@camphorcourse/serving";
import * as neverthrow from "neverthrow";
import type * as decisionLogs from "../decisionLog.js";
import type * as crashDetectors from "../endpointCrashDetector.js";
import type * as sendChoosers from "../sendChooser.js";
import type * as servedRequests from "../servedRequest.js";

/** Time after a reported crash from which data received from the endpoint refutes it, in milliseconds: a lagging event loop processes data late. */
const REFUTED_AFTER_MS = 1_000;

/** Maximum number of requests that this daemon remembers to have run on an endpoint that crashed. */
const MAX_OBSERVED = 1_024;

/** What the gate needs. */
export interface SuspectGateParts {
  readonly log: decisionLogs.DecisionLog;
  /** @returns instant at which data was last received from an endpoint, in milliseconds */
  readonly lastReceivedAt: (endpointId: string) => number;
  /** Called when a request is isolated or rejected from now on, to report it to the peers at once. */
  readonly onEscalated: () => void;
  /** Called with a request that is rejected from now on, if this daemon observed a crash under it. */
  readonly onQuarantined: (fingerprint: string) => void;
}

/** Protects endpoints from requests that crash them: a suspect is run alone, and rejected after three crashes. */
export class SuspectGate {
  readonly table: serving.SuspectTable;
  readonly #parts: SuspectGateParts;
  /** Ids of the endpoints that are listed now, by their incarnations. */
  readonly #listed = new Map<number, string>();
  readonly #observed = new Set<string>();
  readonly #trials = new Map<servedRequests.ServedRequest, string>();

  /** @param parts - what it needs */
  constructor(parts: SuspectGateParts) {
    this.#parts = parts;
    this.table = new serving.SuspectTable({
      isRefuted: (incarnation, crashedAt) => this.#isRefuted(incarnation, crashedAt),
      onChange: (fingerprint, suspicion, crashes) => this.#onChange(fingerprint, suspicion, crashes),
    });
  }

  /**
   * Decides whether a request may be sent; a suspect that may be is on trial until {@link SuspectGate.release}.
   *
   * @param served - a request that is about to be sent
   * @returns whether it has to run alone, or why it is not sent
   */
  admit(served: servedRequests.ServedRequest): neverthrow.Result<boolean, sendChoosers.SendRejection> {
    if (this.#trials.has(served)) return neverthrow.ok(true);
    if (this.table.isEmpty) return neverthrow.ok(false);
    const now = performance.now();
    const { content, contentAndCaller } = served.fingerprints;
    for (const fingerprint of [content, contentAndCaller]) {
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
   * @returns whether an endpoint has crashed under it since its last successful run
   */
  isSuspected(served: servedRequests.ServedRequest): boolean {
    if (this.table.isEmpty) return false;
    const now = performance.now();
    const { content, contentAndCaller } = served.fingerprints;
    return [content, contentAndCaller].some((each) => this.table.suspicionOf(each, now) !== serving.Suspicion.None);
  }

  /** @param served - a request that has run successfully */
  noteSuccess(served: servedRequests.ServedRequest): void {
    if (this.table.isEmpty) return;
    const now = performance.now();
    const { content, contentAndCaller } = served.fingerprints;
    for (const fingerprint of [content, contentAndCaller]) this.table.noteSuccess(fingerprint, now);
  }

  /** @param served - a request that is over, with its trial */
  release(served: servedRequests.ServedRequest): void {
    const fingerprint = this.#trials.get(served);
    if (fingerprint === undefined) return;
    this.#trials.delete(served);
    this.table.endTrial(fingerprint);
  }

  /**
   * @param endpoint - an endpoint that has crashed
   * @param runs - what was running there for this daemon's callers
   */
  noteCrashed(endpoint: serving.Endpoint, runs: readonly crashDetectors.BrokenRun[]): void {
    const now = performance.now();
    const incarnation = incarnationOf(endpoint);
    for (const { fingerprints, brokeAt } of runs) {
      for (const fingerprint of [fingerprints.content, fingerprints.contentAndCaller]) {
        if (this.#observed.size >= MAX_OBSERVED) this.#observed.clear();
        this.#observed.add(fingerprint);
        this.table.noteCrash(fingerprint, incarnation, brokeAt, now);
      }
    }
  }

  /** @param endpoint - an endpoint that is listed */
  noteListed(endpoint: serving.Endpoint): void {
    this.#listed.set(incarnationOf(endpoint), endpoint.id);
  }

  /** @param endpointId - an endpoint that is gone or has restarted */
  forget(endpointId: string): void {
    for (const [incarnation, id] of this.#listed) if (id === endpointId) this.#listed.delete(incarnation);
  }

  #reject(
    served: servedRequests.ServedRequest,
    fingerprint: string,
    suspicion: serving.Suspicion,
    now: number,
  ): neverthrow.Result<boolean, sendChoosers.SendRejection> {
    const isQuarantined = suspicion === serving.Suspicion.Quarantined;
    const rejectedForMs = Math.round(this.table.rejectedForMs(fingerprint, now));
    this.#parts.log.info("suspect-rejected", {
      id: served.id,
      fingerprint,
      suspicion,
      rejectedForMs,
    });
    if (isQuarantined) return neverthrow.err({ reason: "quarantined", retryAfterMs: rejectedForMs });
    return neverthrow.err({ reason: "awaiting-trial" });
  }

  /** An incarnation that has sent data to this daemon since can't have crashed then, whoever reports it. */
  #isRefuted(incarnation: number, crashedAt: number): boolean {
    const endpointId = this.#listed.get(incarnation);
    return endpointId !== undefined && this.#parts.lastReceivedAt(endpointId) > crashedAt + REFUTED_AFTER_MS;
  }

  #onChange(fingerprint: string, suspicion: serving.Suspicion, crashes: number): void {
    const isQuarantined = suspicion === serving.Suspicion.Quarantined;
    const isEscalated = isQuarantined || suspicion === serving.Suspicion.Isolated;
    if (isEscalated) this.#parts.log.warn("suspect", { fingerprint, suspicion, ends: crashes });
    else this.#parts.log.info("suspect", { fingerprint, suspicion, ends: crashes });
    const isObserved = this.#observed.has(fingerprint);
    if (isEscalated && isObserved) this.#parts.onEscalated();
    if (isQuarantined && isObserved) this.#parts.onQuarantined(fingerprint);
  }
}

/** Identifies an incarnation of an endpoint by a short hash that is the same at all daemons. */
function incarnationOf({ id, bornAt }: serving.Endpoint): number {
  return common.hash32(`${id}/${bornAt ?? ""}`);
}
