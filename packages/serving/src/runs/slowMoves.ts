import * as prefillBudgets from "../pacing/prefillBudget.js";
import * as movePolicies from "./movePolicy.js";

/** Time for which an engine must have been slow, in milliseconds: a transient slowdown lasts 600 ms. */
const LASTING_MS = 700;

/** Time between two looks at an engine from which it isn't known that it was slow all the while, in milliseconds: a slow event takes less. */
const MAX_UNSEEN_MS = 200;

/** Least rest of a stream that is moved, in milliseconds: a move costs its caller a pause. */
const MIN_REST_MS = 500;

/** Time after the begin of a move before which the stream isn't moved again, in milliseconds: its caller would see one pause after the other. */
const MOVE_INTERVAL_MS = 2_000;

/** A run of a slow engine. */
export interface SlowRun extends movePolicies.LeavingRun {
  /** Longest pause between two events that is in time, in milliseconds. */
  readonly pauseLimitMs: number;
  /** When a move of it off a slow engine began last, in milliseconds. */
  readonly movedAt: number | undefined;
}

/**
 * Engines that are slow without interruption. Load pattern: an engine that stays slow for seconds beside engines that are slow for
 * 600 ms in 15 of 100 spans. A stream that waits for the end of a short slowdown loses less than by a move.
 */
export class SlowEngines {
  /** Since when each engine is slow, and when that was seen last, in milliseconds. */
  readonly #slow = new Map<string, { readonly since: number; readonly seenAt: number }>();

  /**
   * @param engineId - an engine
   * @param isSlow - whether it is slow now, as far as is known
   * @param now - current instant in milliseconds
   */
  note(engineId: string, isSlow: boolean, now: number): void {
    const known = this.#slow.get(engineId);
    if (!isSlow) this.#slow.delete(engineId);
    else if (known !== undefined && now - known.seenAt <= MAX_UNSEEN_MS)
      this.#slow.set(engineId, { since: known.since, seenAt: now });
    else this.#slow.set(engineId, { since: now, seenAt: now });
  }

  /**
   * @param engineId - an engine
   * @param now - current instant in milliseconds
   * @returns whether it has been slow without interruption for longer than a transient slowdown lasts
   */
  isLasting(engineId: string, now: number): boolean {
    const known = this.#slow.get(engineId);
    return known !== undefined && now - known.seenAt <= MAX_UNSEEN_MS && now - known.since > LASTING_MS;
  }

  /** @param now - current instant in milliseconds; what is no longer looked at is removed */
  removeUnseen(now: number): void {
    for (const [engineId, { seenAt }] of this.#slow) if (now - seenAt > MAX_UNSEEN_MS) this.#slow.delete(engineId);
  }
}

/**
 * Chooses the run that is moved off an engine which stays slow, oldest first and one at a time.
 *
 * @param runs - the daemon's runs at the engine
 * @param now - current instant in milliseconds
 * @returns the run, if there is one
 */
export function chooseRunOffSlow<Run extends SlowRun>(runs: readonly Run[], now: number): Run | undefined {
  if (runs.some((run) => run.isMoving)) return undefined;
  const [oldest] = runs
    .filter((run) => !run.isExcluded && run.isResumable && run.remainingMs >= MIN_REST_MS)
    .filter((run) => prefillBudgets.isPaced(run.pauseLimitMs) && movePolicies.outlasts(run, MIN_REST_MS))
    .filter(({ movedAt }) => movedAt === undefined || now - movedAt >= MOVE_INTERVAL_MS)
    .sort((left, right) => left.startedAt - right.startedAt);
  return oldest;
}
