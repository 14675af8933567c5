import * as serving from "@camphorcourse/serving";
import type * as decisionLogs from "../decisionLog.js";

/** Dependencies of {@link Pacing}. */
export interface PacingParts {
  readonly loads: serving.EngineLoadTracker;
  readonly speeds: serving.ServiceSpeeds;
  /** @returns delay of the event loop, in milliseconds */
  readonly lateMs: () => number;
  /** @returns number of daemons that may send requests to the endpoints, including this one */
  readonly senders: () => number;
}

/**
 * Delay of the event loop from which gaps are not judged, in milliseconds: events are 47 ms apart and more, so that one
 * that was read 28 ms late makes a usual engine look slow.
 */
const MAX_LATE_MS = 25;

/**
 * Paces the prefills on decode engines: follows the gaps of this daemon's streams, and provides the engines' budgets for
 * the prompts of routes with a tight limit on pauses.
 */
export class Pacing {
  readonly #parts: PacingParts;
  readonly #tracker = new serving.PauseTracker();
  readonly #reports = new serving.PaceReports();
  readonly #budget: serving.PrefillBudget;

  /** @param parts - dependencies */
  constructor(parts: PacingParts) {
    this.#parts = parts;
    this.#budget = new serving.PrefillBudget(this.#tracker, parts.loads);
  }

  /**
   * @param service - a service
   * @param pauseMs - longest pause that is in time on the route of a prompt, in milliseconds
   * @param now - monotonic time in milliseconds
   * @returns the budgets of the service's engines for the prompt, or undefined if it isn't paced
   */
  forPrompt(service: string, pauseMs: number, now: number): serving.PlacementPacing | undefined {
    if (!serving.isPaced(pauseMs)) return undefined;
    const speeds = this.#parts.speeds.of(service);
    return new serving.PlacementPacing(this.#budget, { service, speeds, pauseMs, senders: this.#parts.senders(), now });
  }

  /**
   * @param endpoint - the endpoint to which a prompt is sent
   * @param prefill - its prefill there
   */
  noteSend(endpoint: serving.Endpoint, prefill: serving.PendingPrefill): void {
    if (endpoint.role !== serving.EngineRole.Prefill) this.#budget.noteSend(prefill, performance.now());
  }

  /**
   * @param endpoint - the engine that generates a stream
   * @param pauseMs - longest pause of the stream that is in time, in milliseconds
   * @returns the stream, to be ended with {@link endStream}
   */
  beginStream(endpoint: serving.Endpoint, pauseMs: number): serving.PacedStream {
    return this.#tracker.beginStream(endpoint.id, endpoint.service, pauseMs);
  }

  /** @param stream - a stream of which an event has arrived */
  recordEvent(stream: serving.PacedStream): void {
    if (this.#isLoopLate()) this.#tracker.suspend(stream);
    const expectedMs = this.#expectedGapMs(stream.endpointId, stream.service);
    this.#tracker.recordEvent(stream, expectedMs, performance.now());
  }

  /** @param stream - a stream whose events are not read until its caller has read what was written */
  suspend(stream: serving.PacedStream): void {
    this.#tracker.suspend(stream);
  }

  /** @param stream - a stream that has ended */
  endStream(stream: serving.PacedStream): void {
    this.#tracker.endStream(stream);
  }

  /**
   * @param endpoint - an engine
   * @param now - monotonic time in milliseconds
   * @returns its latest gaps; undefined if none are known, or if this daemon is too late to judge them
   */
  gapsOf({ id, service }: serving.Endpoint, now: number): serving.EngineGaps | undefined {
    return this.#isLoopLate() ? undefined : this.#tracker.gapsOf(id, this.#expectedGapMs(id, service), now);
  }

  /** @param endpointId - an endpoint that is gone or has restarted */
  forget(endpointId: string): void {
    this.#tracker.forget(endpointId);
  }

  /**
   * @param now - monotonic time in milliseconds
   * @returns what the heartbeat that is sent now tells of the engines of own streams with a tight limit on pauses
   */
  pacesToSend(now: number): serving.EnginePace[] {
    this.#budget.noteHeartbeat();
    if (this.#isLoopLate()) return [];
    const expectedGap = (endpointId: string, service: string): number => this.#expectedGapMs(endpointId, service);
    const paces = this.#tracker.ownPaces(expectedGap, now).filter(({ pauseMs }) => serving.isPaced(pauseMs));
    return this.#reports.select(paces, now);
  }

  /**
   * @param pace - what a peer tells of an engine
   * @param now - monotonic time in milliseconds
   */
  notePeer(pace: serving.EnginePace, now: number): void {
    this.#tracker.notePeer(pace, now);
  }

  #isLoopLate(): boolean {
    return this.#parts.lateMs() >= MAX_LATE_MS;
  }

  #expectedGapMs(endpointId: string, service: string): number {
    const { loads, speeds } = this.#parts;
    return serving.expectedGapMs(speeds.of(service), loads.runningRequests(endpointId, performance.now()));
  }
}

/**
 * @param inputs - what a placement was computed from
 * @param placed - the plan
 * @returns fields of the send; none if the prompt isn't paced, or a prefill engine was chosen for its predicted time
 */
export function planFields(
  { pacing }: serving.PlacementInputs,
  { plan, pacedFrom }: serving.PacedPlan,
): PlannedFields | undefined {
  if (pacing === undefined || (pacedFrom === undefined && plan.prefillEngine !== undefined)) return undefined;
  return { pacing: budgetFields(pacing, plan.decodeEngine, pacedFrom) };
}

/**
 * @param inputs - what a choice was computed from
 * @param chosen - the decode engine
 * @returns fields of the send; none if the prompt isn't paced
 */
export function decodeFields(
  { pacing }: serving.PlacementInputs,
  { engine, pacedFrom }: serving.PacedDecodeEngine,
): PlannedFields | undefined {
  return pacing === undefined ? undefined : { pacing: budgetFields(pacing, engine, pacedFrom) };
}

/** The part of a planned send that pacing adds. */
interface PlannedFields {
  /** The budget of the engine that decided, and what of it was spent before; the latest gap there. */
  readonly pacing: decisionLogs.LogFields;
}

function budgetFields(
  pacing: serving.PlacementPacing,
  engine: serving.Endpoint,
  pacedFrom: serving.Endpoint | undefined,
): decisionLogs.LogFields {
  const { budgetMs, spentMs, quantile, gaps } = pacing.budgetOf(pacedFrom ?? engine);
  return {
    pacedFrom: pacedFrom?.id,
    pacingBudgetMs: Math.round(budgetMs),
    pacingSpentMs: Math.round(spentMs),
    pacingQuantile: quantile.toFixed(2),
    pacingRatio: gaps?.ratio.toFixed(2),
    pacingAgeMs: gaps === undefined ? undefined : Math.round(gaps.ageMs),
    pacingSlow: gaps?.isSlow,
  };
}
