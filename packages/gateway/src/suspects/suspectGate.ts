import * as common from "@camphorcourse/common";
import * as serving from "@camphorcourse/serving";
import * as neverthrow from "neverthrow";
import type * as decisionLogs from "../decisionLog.js";
import type * as crashDetectors from "../endpointCrashDetector.js";
import type * as plannedSends from "../sends/plannedSend.js";
import type * as servedRequests from "../servedRequest.js";

/** Time after a reported crash from which data received from the endpoint refutes it, in milliseconds: a lagging event loop processes data late. */
const REFUTED_AFTER_MS = 1_000;

/** Maximum number of suspects that this daemon remembers to have run on an endpoint that crashed. */
const MAX_OBSERVED = 4_096;

/** Least time between two heartbeats that are sent early because an endpoint has crashed, in milliseconds. */
const REPORT_INTERVAL_MS = 200;

/** What the gate needs. */
export interface SuspectGateParts {
  readonly log: decisionLogs.DecisionLog;
  /** @returns instant at which data was last received from an endpoint, in milliseconds */
  readonly lastReceivedAt: (endpointId: string) => number;
  /** Called when a crash was observed, or a suspect is isolated or rejected from now on, to tell the peers at once. */
  readonly onEscalated: () => void;
  /** Called with a suspect that is rejected from now on, if this daemon observed a crash under it. */
  readonly onQuarantined: (fingerprint: string) => void;
}

/**
 * Protects endpoints from requests that crash them, and from all requests whose prompts hold a part that does. A suspected
 * request is run alone and rejected after three crashes; a part is rejected once nothing else explains its crashes.
 */
export class SuspectGate {
  readonly table: serving.SuspectTable;
  readonly #parts: SuspectGateParts;
  /** Ids of the endpoints that are listed now, by their incarnations. */
  readonly #listed = new Map<number, string>();
  readonly #observed = new Set<string>();
  readonly #trials = new Map<servedRequests.ServedRequest, string>();
  /** Instant of the last heartbeat that was sent early, in milliseconds. */
  #reportedAt = -Infinity;

  /** @param parts - what it needs */
  constructor(parts: SuspectGateParts) {
    this.#parts = parts;
    this.table = new serving.SuspectTable({
      isRefuted: (incarnation, crashedAt) => this.#isRefuted(incarnation, crashedAt),
      onChange: (suspect, suspicion, crashes) => this.#onChange(suspect, suspicion, crashes),
    });
  }

  /**
   * Decides whether a request may be sent; a suspect that may be is on trial until {@link SuspectGate.release}.
   *
   * @param served - a request that is about to be sent
   * @returns whether it has to run alone, or why it is not sent
   */
  admit(served: servedRequests.ServedRequest): neverthrow.Result<boolean, plannedSends.SendRejection> {
    if (this.#trials.has(served)) return neverthrow.ok(true);
    if (this.table.isEmpty) return neverthrow.ok(false);
    const now = performance.now();
    const fingerprint = this.table.findHeld(fingerprintsOf(served), now);
    if (fingerprint === undefined) return neverthrow.ok(false);
    const suspicion = this.table.suspicionOf(fingerprint, now);
    if (suspicion === serving.Suspicion.Quarantined || !this.table.beginTrial(fingerprint, now))
      return this.#reject(served, fingerprint, suspicion, now);
    this.#trials.set(served, fingerprint);
    this.#parts.log.info("suspect-trial", { id: served.id, fingerprint });
    return neverthrow.ok(true);
  }

  /**
   * @param served - a request
   * @returns whether an endpoint has crashed under it, or under a part of its prompt that has never run well
   */
  isSuspected(served: servedRequests.ServedRequest): boolean {
    if (this.table.isEmpty) return false;
    const now = performance.now();
    return fingerprintsOf(served).some((each) => this.table.isRisky(each, now));
  }

  /** @param served - a request that has been answered */
  noteSuccess(served: servedRequests.ServedRequest): void {
    if (this.table.isEmpty) return;
    const now = performance.now();
    const { content, contentAndCaller } = served.fingerprints;
    for (const fingerprint of [content, contentAndCaller]) this.table.noteSuccess(fingerprint, now);
  }

  /**
   * Acquits the parts of a prompt. Only a whole answer does: an engine that only reads the prompt, or that rejects the
   * request, has not begun to write.
   *
   * @param served - a request whose answer has been written to its end
   */
  noteWritten(served: servedRequests.ServedRequest): void {
    const now = performance.now();
    for (const { fingerprint, scope } of served.partNames) this.table.noteSuccess(fingerprint, now, scope);
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
    for (const { suspects, brokeAt } of runs) {
      for (const { fingerprint, scope } of suspects) {
        if (this.#observed.size >= MAX_OBSERVED) this.#observed.clear();
        this.#observed.add(fingerprint);
        this.table.noteCrash(fingerprint, incarnation, brokeAt, now, scope);
      }
    }
    this.#reportCrash(now);
  }

  /** When a rack fails, its endpoints crash in quick succession: the next regular heartbeat brings what came meanwhile. */
  #reportCrash(now: number): void {
    if (now - this.#reportedAt < REPORT_INTERVAL_MS) return;
    this.#reportedAt = now;
    this.#parts.onEscalated();
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
  ): neverthrow.Result<boolean, plannedSends.SendRejection> {
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

  #onChange({ fingerprint, scope }: serving.SuspectName, suspicion: serving.Suspicion, crashes: number): void {
    const isQuarantined = suspicion === serving.Suspicion.Quarantined;
    const isEscalated = isQuarantined || suspicion === serving.Suspicion.Isolated;
    const fields = { fingerprint, scope: serving.SuspectScope[scope], suspicion, ends: crashes };
    if (isEscalated) this.#parts.log.warn("suspect", fields);
    else this.#parts.log.info("suspect", fields);
    const isObserved = this.#observed.has(fingerprint);
    if (isEscalated && isObserved) this.#parts.onEscalated();
    if (isQuarantined && isObserved) this.#parts.onQuarantined(fingerprint);
  }
}

function fingerprintsOf({ fingerprints, partNames }: servedRequests.ServedRequest): string[] {
  const { content, contentAndCaller } = fingerprints;
  return [content, contentAndCaller, ...partNames.map(({ fingerprint }) => fingerprint)];
}

/** Identifies an incarnation of an endpoint by a short hash that is the same at all daemons. */
function incarnationOf({ id, bornAt }: serving.Endpoint): number {
  return common.hash32(`${id}/${bornAt ?? ""}`);
}
