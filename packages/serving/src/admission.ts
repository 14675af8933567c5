/** Whether a request is taken or turned away, by what its first event is predicted to take. */

/** What the decision rests on, all in milliseconds. */
export interface AdmissionInputs {
  /** Predicted time to the first event. */
  readonly predictedMs: number;
  /** Time after which the caller gives a stream up that has not begun. */
  readonly patienceMs: number;
  /** What is left of the caller's deadline and the route's timeout. */
  readonly remainingMs: number;
  /** A uniform number in [0, 1). */
  readonly draw: number;
}

/** A request that is turned away. */
export interface Rejection {
  /** Time after which there is room, in milliseconds. */
  readonly returnAfterMs: number;
}

/**
 * Multiple of the caller's patience that the prediction may reach. Under load a
 * prediction can be more than twice what the first event then takes, and a caller
 * that is sent away in vain loses more than an engine that reads one prompt in
 * vain: mean worth of seven days 0.591 at 0.9, 0.587 at 1.05, 0.627 without limit.
 */
const PATIENCE_MULTIPLE = 2.5;

/** Part of the patience that should be left for the caller's next try. */
const COMFORTABLE_PART = 0.5;

/** Bounds of the time to come back, in milliseconds. */
const RETURN_MS = { least: 200, most: 2_500 };

/** Share of the time to come back by which callers are spread. */
const SPREAD = 0.5;

/**
 * The load it answers: prompts come faster than the engines read them, for
 * longer than the queues can carry. Each prompt that is read after its caller
 * has left delays all behind it. Those that certainly can't be served in time
 * are turned away at once and keep their time for another try. The time to come back is when the queue will have shrunk to half the caller's
 * patience, spread so that those turned away together don't return together.
 *
 * @param inputs - prediction and limits
 * @returns the rejection, or undefined if the request is taken
 */
export function judgeAdmission(inputs: AdmissionInputs): Rejection | undefined {
  const limitMs = Math.min(inputs.patienceMs * PATIENCE_MULTIPLE, inputs.remainingMs);
  if (inputs.predictedMs <= limitMs) return undefined;
  const excessMs = inputs.predictedMs - inputs.patienceMs * COMFORTABLE_PART;
  const baseMs = Math.max(RETURN_MS.least, Math.min(RETURN_MS.most, excessMs));
  return { returnAfterMs: baseMs * (1 + inputs.draw * SPREAD) };
}

/** Shortest time after which callers give up a stream that stalls, in milliseconds. */
const LEAST_PATIENCE_MS = 2_000;

/** Patience in multiples of the objective, and of the longest pause in time. */
const PATIENCE_OBJECTIVES = 4;
const PATIENCE_PAUSES = 8;

/**
 * @param objectiveMs - time within which the first event is in time
 * @param pauseMs - longest pause between events that is in time
 * @returns time after which callers give up a stream that stalls, in milliseconds
 */
export function streamPatienceMs(objectiveMs: number, pauseMs: number): number {
  return Math.max(LEAST_PATIENCE_MS, PATIENCE_OBJECTIVES * objectiveMs, PATIENCE_PAUSES * pauseMs);
}
