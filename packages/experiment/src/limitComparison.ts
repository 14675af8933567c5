import * as serving from "@camphorcourse/serving";
import * as limitDivisions from "./limitDivisions.js";
import * as limitReplays from "./limitReplay.js";

const MS_PER_SECOND = 1_000;

/** Bound of what an endpoint with a limit may get in any window: a multiple of its limit and some requests more. */
const BOUND = { windowMs: 4_000, factor: 1.5, extra: 5 };

/** Time after the first statement of a limit from which the bound holds, in milliseconds. */
export const BOUND_HOLDS_AFTER_MS = 3_000;

/** Duration of the runs of the table, in milliseconds. */
const RUN_MS = 30_000;

/** Requests a second of all callers for each engine: several times what the engines take. */
const DEMAND_PER_ENGINE = 15;

/**
 * Frequent heartbeats have a longer interval in larger fleets.
 *
 * @param daemons - number of daemons that serve callers
 * @returns time between two heartbeats, in milliseconds
 */
export function heartbeatMsOf(daemons: number): number {
  return Math.max(350, serving.heartbeatIntervalMs(daemons));
}

/**
 * @param arrivals - instants of requests in milliseconds, ascending
 * @param limitAt - limit in force at an instant, in requests a second
 * @param fromMs - instant from which the bound holds
 * @returns the highest number of requests in a window as a share of what is allowed in it; over 1 breaks the bound
 */
export function worstShareOfBound(
  arrivals: readonly number[],
  limitAt: (at: number) => number,
  fromMs: number,
): number {
  const counted = arrivals.filter((at) => at >= fromMs);
  let worst = 0;
  let first = 0;
  for (const [index, at] of counted.entries()) {
    while ((counted[first] ?? at) <= at - BOUND.windowMs) first++;
    const allowed = (BOUND.factor * BOUND.windowMs * limitAt(at)) / MS_PER_SECOND + BOUND.extra;
    worst = Math.max(worst, (index - first + 1) / Math.ceil(allowed));
  }
  return worst;
}

/** Ways of dividing a limit that the table compares. */
export enum DivisionName {
  FewSenders = "few senders",
  EqualParts = "equal parts",
  PartsByDemand = "parts by demand",
  WholeLimit = "whole limit each",
}

/**
 * @param name - a way of dividing a limit
 * @param daemons - number of daemons
 * @returns the division of each daemon
 */
export function divisionOf(name: DivisionName, daemons: number): (daemon: number) => serving.LimitDivision {
  switch (name) {
    case DivisionName.FewSenders:
      return () => new serving.FewSenders();
    case DivisionName.EqualParts:
      return () => new limitDivisions.EqualParts();
    case DivisionName.PartsByDemand:
      // Each daemon misjudges the others' demand by up to a half, as its view of them is a heartbeat old.
      return (daemon) => new limitDivisions.PartsByDemand(() => (0.5 + ((daemon * 7) % 10) / 9) / daemons);
    case DivisionName.WholeLimit:
      return () => new limitDivisions.WholeLimit();
  }
}

/** A row of the comparison. */
export interface LimitRow {
  /** Highest number of requests in a window as a share of what is allowed, over all engines. */
  readonly worstShareOfBound: number;
  /** Requests that the engines got as a share of what they take. */
  readonly usedShare: number;
}

/**
 * Replays engines that all state the same limit.
 *
 * @param name - way of dividing the limit
 * @param daemons - number of daemons
 * @param engines - number of engines
 * @param requestsPerSecond - limit of each engine
 * @param seed - seed of the replay
 * @returns its outcome
 */
export function replayLimit(
  name: DivisionName,
  daemons: number,
  engines: number,
  requestsPerSecond: number,
  seed: number,
): LimitRow {
  const scenario = {
    daemons,
    engines,
    requestsPerSecond: engines * Math.max(DEMAND_PER_ENGINE, requestsPerSecond * 2),
    limitAt: () => requestsPerSecond,
    heartbeatMs: heartbeatMsOf(daemons),
    divisionOf: divisionOf(name, daemons),
    restartEveryMs: Infinity,
    resentShare: 0.1,
    forMs: RUN_MS,
  };
  const traffic = new limitReplays.LimitReplay(scenario, seed).run();
  const taken = (requestsPerSecond * (RUN_MS - BOUND_HOLDS_AFTER_MS)) / MS_PER_SECOND;
  const counts = traffic.map(({ arrivals }) => arrivals.filter((at) => at >= BOUND_HOLDS_AFTER_MS).length);
  return {
    worstShareOfBound: Math.max(
      ...traffic.map(({ toldArrivals }) =>
        worstShareOfBound(toldArrivals, () => requestsPerSecond, BOUND_HOLDS_AFTER_MS),
      ),
    ),
    usedShare: counts.reduce((sum, count) => sum + count, 0) / (taken * engines),
  };
}
