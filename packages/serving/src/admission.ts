/** Decides whether a request is accepted or rejected, by the predicted time to its first event. */

/** What the decision is based on; all times in milliseconds. */
export interface AdmissionInputs {
  /** Predicted time to the first event. */
  readonly predictedMs: number;
  /** The part of it that is left if no other work is under way. */
  readonly unloadedMs: number;
  /** Whether the prediction rests on observed prefills, and not on priors that may be wrong by a factor of ten. */
  readonly isLearned: boolean;
  /** Time after which the caller gives up a stream that has not started. */
  readonly callerTimeoutMs: number;
  /** Time left of the caller's deadline and the route's timeout. */
  readonly remainingMs: number;
  /** A uniform random number in [0, 1). */
  readonly draw: number;
  /** Maximum predicted time as a part of the caller's timeout, where it isn't the usual one. */
  readonly usualPart?: number;
}

/** The rejection of a request. */
export interface Rejection {
  /** Time after which the caller should retry, in milliseconds. */
  readonly retryAfterMs: number;
}

/**
 * Maximum predicted time as a part of the caller's timeout. An answer after that is late anyway, and its prefill makes
 * those queued behind it late too. It is the same for callers that return after a rejection, unless
 * their session is remembered: nothing else tells them from callers whose first try was read late.
 */
const USUAL_PART = 0.55;

/**
 * Wait that every prompt is allowed beside its own prefill, as a part of the timeout. Without it the largest prompts
 * would be rejected by an idle fleet, as their own prefill takes more than half of the timeout.
 */
const MIN_WAIT_PART = 0.1;

/**
 * Maximum predicted time as a multiple of the timeout while the prediction still rests on a prior: a daemon that
 * rejected all long prompts by a wrong prior would never learn.
 */
const PRIOR_MULTIPLE = 2.5;

/** Part of the timeout that a retry should find the predicted time reduced to. */
const RETRY_TARGET_PART = 0.5;

/** Bounds of the retry time before jitter, in milliseconds. */
const RETRY_AFTER_MS = { min: 200, max: 2_500 };

/** Maximum jitter of the retry time, as a share of it. */
const RETRY_JITTER = 0.5;

/**
 * Rejects requests at once when prompts arrive faster than the engines prefill
 * them, for longer than the queues can absorb. A prompt that is prefilled after
 * its caller has left, or shortly before, delays all prompts behind it; a rejected
 * caller keeps its time for a retry. The retry time is when the queue will have
 * shrunk to half the caller's timeout, with jitter so that callers rejected
 * together don't return together.
 *
 * @param inputs - prediction and limits
 * @returns the rejection, or undefined if the request is accepted
 */
export function checkAdmission(inputs: AdmissionInputs): Rejection | undefined {
  // Predictions are learned from the first prompts after a start, so that these are accepted more freely.
  if (!inputs.isLearned) {
    const priorMs = Math.min(inputs.callerTimeoutMs * PRIOR_MULTIPLE, inputs.remainingMs);
    return inputs.predictedMs <= priorMs ? undefined : rejectionOf(inputs);
  }
  const longMs = inputs.unloadedMs + inputs.callerTimeoutMs * MIN_WAIT_PART;
  const usualMs = inputs.callerTimeoutMs * (inputs.usualPart ?? USUAL_PART);
  const limitMs = Math.min(Math.max(usualMs, longMs), inputs.callerTimeoutMs, inputs.remainingMs);
  return inputs.predictedMs <= limitMs ? undefined : rejectionOf(inputs);
}

function rejectionOf(inputs: AdmissionInputs): Rejection {
  const excessMs = inputs.predictedMs - inputs.callerTimeoutMs * RETRY_TARGET_PART;
  const baseMs = Math.max(RETRY_AFTER_MS.min, Math.min(RETRY_AFTER_MS.max, excessMs));
  return { retryAfterMs: baseMs * (1 + inputs.draw * RETRY_JITTER) };
}

/** Minimum time after which callers give up a stalled stream, in milliseconds. */
const MIN_CALLER_TIMEOUT_MS = 2_000;

/** The callers' timeout in multiples of the objective for the first event, and of the longest acceptable pause. */
const TIMEOUT_OBJECTIVES = 4;
const TIMEOUT_PAUSES = 8;

/**
 * @param objectiveMs - time within which the first event is in time
 * @param pauseMs - longest acceptable pause between events
 * @returns time after which callers give up a stalled stream, in milliseconds
 */
export function streamCallerTimeoutMs(objectiveMs: number, pauseMs: number): number {
  return Math.max(MIN_CALLER_TIMEOUT_MS, TIMEOUT_OBJECTIVES * objectiveMs, TIMEOUT_PAUSES * pauseMs);
}
