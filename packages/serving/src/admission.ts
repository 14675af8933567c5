/** Whether a request is taken or turned away, by what its first event is predicted to take. */

/** What the decision rests on, all in milliseconds. */
export interface AdmissionInputs {
  /** Predicted time to the first event. */
  readonly predictedMs: number;
  /** The part of it that it would take if nothing else were under way. */
  readonly unloadedMs: number;
  /** Whether the prediction rests on prompts that were read, and not on priors that may be wrong by ten. */
  readonly isLearned: boolean;
  /** Time after which the caller gives a stream up that has not begun. */
  readonly callerTimeoutMs: number;
  /** What is left of the caller's deadline and the route's timeout. */
  readonly remainingMs: number;
  /** Longest time that the route lets a caller wait. */
  readonly routeMs: number;
  /** A uniform number in [0, 1). */
  readonly draw: number;
}

/** A request that is turned away. */
export interface Rejection {
  /** Time after which there is room, in milliseconds. */
  readonly retryAfterMs: number;
}

/**
 * Part of the caller's patience that the prediction may reach. An answer that comes after it is late anyway, and
 * reading its prompt makes those behind it late too. Mean worth of five days with trouble: 0.496 when predictions could
 * reach 2.5 times the patience, 0.553 at this part.
 */
const PATIENCE_PART = 0.5;

/**
 * Part of the patience for a caller that has been turned away before: sent away again it would get nothing at all, after it has
 * waited as it was told to.
 */
const RETURNED_PART = 0.65;

/** Time left, as a share of the route's, below which a caller counts as one that has come back. */
const RETURNED_TIME_SHARE = 0.97;

/**
 * Wait that a prompt may have however long it takes by itself, as a part of the patience: the largest would otherwise
 * be turned away by an idle fleet, as their own reading takes more than half of the patience.
 */
const LONG_WAIT_PART = 0.1;

/**
 * Multiple of the patience that a prediction may reach which nothing was learned for yet: it rests on a prior, and a
 * daemon that turned all long prompts away by it would learn nothing.
 */
const UNSURE_MULTIPLE = 2.5;

/** Part of the patience that should be left for the caller's next try. */
const COMFORTABLE_PART = 0.5;

/** Bounds of the time to come back, in milliseconds. */
const RETURN_MS = { least: 200, most: 2_500 };

/** Share of the time to come back by which callers are spread. */
const SPREAD = 0.5;

/**
 * The load it answers: prompts come faster than the engines read them, for
 * longer than the queues can carry. Each prompt that is read after its caller
 * has left, or will hardly wait for it, delays all behind it. Those are turned away
 * at once and keep their time for another try. The time to come back is when the
 * queue will have shrunk to half the caller's patience, spread so that those
 * turned away together don't return together.
 *
 * @param inputs - prediction and limits
 * @returns the rejection, or undefined if the request is taken
 */
export function judgeAdmission(inputs: AdmissionInputs): Rejection | undefined {
  // The first prompts after a start are what predictions are learned from.
  if (!inputs.isLearned) {
    const unsureMs = Math.min(inputs.callerTimeoutMs * UNSURE_MULTIPLE, inputs.remainingMs);
    return inputs.predictedMs <= unsureMs ? undefined : rejectionOf(inputs);
  }
  const longMs = inputs.unloadedMs + inputs.callerTimeoutMs * LONG_WAIT_PART;
  const usualMs = inputs.callerTimeoutMs * (hasComeBack(inputs) ? RETURNED_PART : PATIENCE_PART);
  const limitMs = Math.min(Math.max(usualMs, longMs), inputs.callerTimeoutMs, inputs.remainingMs);
  return inputs.predictedMs <= limitMs ? undefined : rejectionOf(inputs);
}

/**
 * @param inputs - what is left of the caller's time, and what its route gives it
 * @returns whether the caller has been here before, and was told to come back
 */
export function hasComeBack(inputs: Pick<AdmissionInputs, "remainingMs" | "routeMs">): boolean {
  return inputs.remainingMs < inputs.routeMs * RETURNED_TIME_SHARE;
}

function rejectionOf(inputs: AdmissionInputs): Rejection {
  const excessMs = inputs.predictedMs - inputs.callerTimeoutMs * COMFORTABLE_PART;
  const baseMs = Math.max(RETURN_MS.least, Math.min(RETURN_MS.most, excessMs));
  return { retryAfterMs: baseMs * (1 + inputs.draw * SPREAD) };
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
export function streamCallerTimeoutMs(objectiveMs: number, pauseMs: number): number {
  return Math.max(LEAST_PATIENCE_MS, PATIENCE_OBJECTIVES * objectiveMs, PATIENCE_PAUSES * pauseMs);
}
