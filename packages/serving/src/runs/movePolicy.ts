import type * as directories from "../endpointDirectory.js";

/** Runs of one leaving engine that a daemon moves at the same time: transfers on one link run one after the other. */
export const MOVES_PER_SOURCE = 2;

/** Time before the deadline of a request within which a move no longer helps its caller, in milliseconds. */
const MIN_REMAINING_MS = 300;

/** Why a run is moved. */
export enum MoveReason {
  /** Its engine leaves. */
  Leaving = "leaving",
  /** Its engine stays slow. */
  Slow = "slow",
}

/** A run of a leaving engine. */
export interface LeavingRun {
  readonly startedAt: number;
  /** Time until the deadline of its request, in milliseconds. */
  readonly remainingMs: number;
  /** Events that the caller has got. */
  readonly events: number;
  /** Events that its whole stream is expected to have; undefined if that isn't known. */
  readonly expectedEvents: number | undefined;
  /** Mean time between two of its events in milliseconds, once there were two. */
  readonly pauseMs: number | undefined;
  /** Whether its caller can tell by the last event's id where the stream goes on. */
  readonly isResumable: boolean;
  /** Tokens that it holds at most: prompt and requested output. */
  readonly tokens: number;
  /** Whether it is being moved, or can't be moved. */
  readonly isExcluded: boolean;
  readonly isMoving: boolean;
}

/** An engine that a run may go to. */
export interface Destination {
  readonly endpoint: directories.Endpoint;
  /** Requests there from all daemons, and runs that are being moved there. */
  readonly running: number;
  /** Tokens of KV cache for which it has room. */
  readonly freeTokens: number;
}

/**
 * @param run - a run of a leaving engine
 * @param leftMs - time for which the engine still runs it, in milliseconds
 * @returns whether it would not end in that time, by its pace and the requested output; so too where they aren't known
 */
export function outlasts({ events, expectedEvents, pauseMs }: LeavingRun, leftMs: number): boolean {
  if (expectedEvents === undefined || pauseMs === undefined) return true;
  return Math.max(0, expectedEvents - events) * pauseMs > leftMs;
}

/**
 * Chooses the runs of a leaving engine that are moved now, oldest first: they hold the most, and their callers would lose the
 * most. A run that ends in the time left stays, as a move costs its caller a pause.
 *
 * @param runs - the daemon's runs at the engine
 * @param leftMs - time for which the engine still runs them, in milliseconds
 * @returns the runs to move now, at most {@link MOVES_PER_SOURCE} with those that are being moved
 */
export function chooseRunsToMove<Run extends LeavingRun>(runs: readonly Run[], leftMs: number): Run[] {
  if (leftMs <= 0) return [];
  const moving = runs.filter((run) => run.isMoving).length;
  return runs
    .filter((run) => !run.isMoving && !run.isExcluded && run.isResumable && run.remainingMs >= MIN_REMAINING_MS)
    .filter((run) => outlasts(run, leftMs))
    .sort((left, right) => left.startedAt - right.startedAt)
    .slice(0, Math.max(0, MOVES_PER_SOURCE - moving));
}

/**
 * @param run - a run
 * @param source - the engine that it leaves
 * @param destinations - the engines that may take it, by service and version
 * @returns the least occupied one with room, in the source's data centre if there is one, as a transfer between data centres
 *   takes twice as long; undefined if none has room
 */
export function chooseDestination(
  run: Pick<LeavingRun, "tokens">,
  source: directories.Endpoint,
  destinations: readonly Destination[],
): directories.Endpoint | undefined {
  const withRoom = destinations.filter(
    ({ endpoint, running, freeTokens }) =>
      endpoint.id !== source.id && running < endpoint.slots && freeTokens >= run.tokens,
  );
  const occupancy = ({ endpoint, running }: Destination): number => (running + 1) / endpoint.slots;
  const distance = ({ endpoint }: Destination): number => Number(endpoint.dataCentre !== source.dataCentre);
  const [best] = withRoom.sort((left, right) => distance(left) - distance(right) || occupancy(left) - occupancy(right));
  return best?.endpoint;
}
