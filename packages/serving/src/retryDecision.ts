import * as configurations from "./configuration.js";

/** What is known of a send to an endpoint that gave no answer to forward. */
export enum SendOutcome {
  /** Nothing was sent. */
  NotSent = "not-sent",
  /** Nothing was sent, as the endpoint has said meanwhile that it takes nothing now. */
  Withheld = "withheld",
  /** The endpoint answered that it did not run the request. */
  Declined = "declined",
  /** The request may have run. */
  Unknown = "unknown",
  /** The request may have run; an answer to another one came on its connection, which was closed for that. */
  Foreign = "foreign",
}

/**
 * @param outcome - outcome of a send
 * @returns whether nothing of it reached the endpoint
 */
export function isUnsent(outcome: SendOutcome): boolean {
  return outcome === SendOutcome.NotSent || outcome === SendOutcome.Withheld;
}

/** What to do after a send that gave no answer. */
export enum NextStep {
  SendAgain = "send-again",
  /** The request has not run and is given up: the caller may retry. */
  Reject = "reject",
  /** The request may have run and must not be retried, or no retry is left. */
  Fail = "fail",
  /** The deadline has passed and the request may have run. */
  TimedOut = "timed-out",
}

/** What the next step is decided from. */
export interface RetryInputs {
  /** Whether any send of this request may have run, by its ledger. */
  readonly mayHaveRun: boolean;
  /** Whether the request may run again even though an earlier send may have run. */
  readonly isRepeatable: boolean;
  /** Number of sends that count so far, including this one. */
  readonly sends: number;
  readonly attempts: number;
  readonly remainingMs: number;
  readonly hasOtherEndpoint: boolean;
  /** Takes one retry from the service's budget; called only if everything else allows a retry. */
  readonly spendRetry: () => boolean;
}

/** Remaining time below which another send could not be answered, in milliseconds. */
const MIN_REMAINING_MS = 25;

/**
 * @param route - class of its requests, and whether it allows resuming
 * @returns whether a request on it may run again even though an earlier send may have run
 */
export function mayRetry({
  requestClass,
  resumable,
}: Pick<configurations.Route, "requestClass" | "resumable">): boolean {
  if (requestClass === configurations.RequestClass.Idempotent) return true;
  return requestClass === configurations.RequestClass.Stream && resumable;
}

/**
 * Decides what follows a send without an answer. The caller of a request that
 * may have run is never told that it did not run, whatever the outcome of a later send.
 *
 * @param inputs - what is known
 * @returns the next step
 */
export function nextStep(inputs: RetryInputs): NextStep {
  const { mayHaveRun } = inputs;
  const isAllowed = !mayHaveRun || inputs.isRepeatable;
  const isUseful = inputs.remainingMs >= MIN_REMAINING_MS && inputs.hasOtherEndpoint;
  if (isAllowed && isUseful && inputs.sends < inputs.attempts) {
    const isFirstCounted = inputs.sends === 0;
    if (isFirstCounted || inputs.spendRetry()) return NextStep.SendAgain;
  }
  if (!mayHaveRun) return NextStep.Reject;
  return inputs.remainingMs <= 0 ? NextStep.TimedOut : NextStep.Fail;
}
