import type * as directories from "../endpointDirectory.js";
import type * as loadTrackers from "../engineLoadTracker.js";
import type * as engineSpeeds from "../engineSpeeds.js";
import * as urgencies from "../urgency.js";
import type * as pauseTrackers from "./pauseTracker.js";

/**
 * Longest pause objective of a route whose prompts are paced, in milliseconds: with so short a limit, a single event of
 * a slow engine already uses up the pause, so that nothing is left for prefills beside it.
 */
export const MAX_PACED_PAUSE_MS = 150;

/**
 * @param pauseMs - longest pause between two events of a route's streams that is in time, in milliseconds
 * @returns whether its prompts are paced
 */
export function isPaced(pauseMs: number): boolean {
  return pauseMs <= MAX_PACED_PAUSE_MS;
}

/**
 * Maximum number of daemons that are assumed to send to an engine at the same time. With more, a single send would use
 * up the budget for all of them, though most don't send.
 */
const MAX_CONCURRENT_SENDERS = 3;

/** Time after which a send no longer counts if no heartbeat was sent since: its prefill fell into an earlier pause. */
const RECENT_SEND_MS = MAX_PACED_PAUSE_MS;

/** The prefill time that fits between two events of the streams at an engine, and what it was computed from. */
export interface EngineBudget {
  /** In milliseconds, 0 at a slow engine. */
  readonly budgetMs: number;
  /** What is spent of it, in milliseconds. */
  readonly spentMs: number;
  /** Latest gap there in multiples of the expected one, if it is known, and its age in milliseconds. */
  readonly gaps: pauseTrackers.EngineGaps | undefined;
  /** The service's quantile by which the pause objective is divided. */
  readonly quantile: number;
}

/** What the budgets of a prompt are computed from. */
export interface BudgetInputs {
  readonly service: string;
  readonly speeds: engineSpeeds.EngineSpeeds;
  /** Pause objective of the prompt's own stream, in milliseconds. */
  readonly pauseMs: number;
  /** Daemons that may send to the engines. */
  readonly senders: number;
  readonly now: number;
}

interface RecentSend {
  readonly prefill: loadTrackers.PendingPrefill;
  readonly at: number;
}

/**
 * Holds how much a decode engine can prefill between two events of its streams. Load pattern: short classification
 * prompts beside long streams. Each of them is small, but several at once, from several daemons that don't know of each
 * other's yet, make all streams of the engine pause for too long.
 */
export class PrefillBudget {
  readonly #tracker: pauseTrackers.PauseTracker;
  readonly #loads: loadTrackers.EngineLoadTracker;
  readonly #recent = new Map<string, RecentSend[]>();

  /**
   * @param tracker - the gaps at the engines
   * @param loads - the work in progress there
   */
  constructor(tracker: pauseTrackers.PauseTracker, loads: loadTrackers.EngineLoadTracker) {
    this.#tracker = tracker;
    this.#loads = loads;
  }

  /**
   * @param prefill - a prefill that is sent to a decode engine
   * @param now - monotonic time in milliseconds
   */
  noteSend(prefill: loadTrackers.PendingPrefill, now: number): void {
    const sends = this.#recentAt(prefill.endpointId, now);
    this.#recent.set(prefill.endpointId, [...sends, { prefill, at: now }]);
  }

  /** Clears the sends of which the peers have been informed. */
  noteHeartbeat(): void {
    this.#recent.clear();
  }

  /**
   * @param engine - a decode engine
   * @param inputs - what its budget is computed from
   * @returns its budget
   */
  of(engine: directories.Endpoint, inputs: BudgetInputs): EngineBudget {
    const { service, speeds, now } = inputs;
    const running = this.#loads.runningRequests(engine.id, now);
    const expectedMs = expectedGapMs(speeds, running);
    const gaps = this.#tracker.gapsOf(engine.id, expectedMs, now);
    const quantile = this.#tracker.quantile(service, now);
    const spentMs = this.#spentMs(engine, inputs);
    const pauseMs = Math.min(inputs.pauseMs, this.#tracker.tightestPauseMs(engine.id, now));
    const budgetMs = gaps?.isSlow === true ? 0 : Math.max(0, pauseMs / quantile - expectedMs);
    return { budgetMs, spentMs, gaps, quantile };
  }

  #spentMs({ id, role }: directories.Endpoint, { speeds, senders, now }: BudgetInputs): number {
    const pendingTokens = this.#loads.tokensAhead(id, urgencies.LEAST_URGENT, now);
    const concurrent = Math.max(1, Math.min(MAX_CONCURRENT_SENDERS, senders));
    let recentTokens = 0;
    for (const { prefill } of this.#recentAt(id, now))
      recentTokens += prefill.tokens * (prefill.done ? concurrent : concurrent - 1);
    return speeds.prefillMs(role, pendingTokens + recentTokens);
  }

  #recentAt(endpointId: string, now: number): readonly RecentSend[] {
    const sends = this.#recent.get(endpointId) ?? [];
    return sends.filter(({ at }) => now - at < RECENT_SEND_MS);
  }
}

/**
 * @param speeds - the speeds of the engines of a service
 * @param running - requests at an engine
 * @returns expected gap between two events of a stream there, in milliseconds
 */
export function expectedGapMs(speeds: engineSpeeds.EngineSpeeds, running: number): number {
  return speeds.pause.baseMs + speeds.pause.perStreamMs * running;
}
