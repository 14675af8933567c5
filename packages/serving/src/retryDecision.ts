import * as configurations from "./configuration.js";

/** What is known of one send to an endpoint that gave no answer to pass on. */
export enum SendOutcome {
  /** Nothing left this process. */
  NotSent = "not-sent",
  /** The endpoint said that it did not run the request. */
  Declined = "declined",
  /** It may have run. */
  Unknown = "unknown",
}

/** What to do after a send that gave no answer. */
export enum NextStep {
  SendAgain = "send-again",
  /** The request has not run and is given up: the caller may come back. */
  Reject = "reject",
  /** It may have run and may not be repeated, or no repeat is left. */
  Fail = "fail",
  /** Its time is up and it may have run. */
  TimedOut = "timed-out",
}

/** What the next step is decided from. */
export interface StepInputs {
  readonly outcome: SendOutcome;
  /** Whether any earlier send of this request may have run. */
  readonly mayHaveRun: boolean;
  readonly requestClass: configurations.RequestClass;
  readonly resumable: boolean;
  /** Sends that count so far, this one included. */
  readonly sends: number;
  readonly attempts: number;
  readonly remainingMs: number;
  readonly hasOtherEndpoint: boolean;
  /** Takes one repeat from the service's budget; asked only when all else allows a repeat. */
  readonly spendRetry: () => boolean;
}

/** Time below which another send could not be answered, in milliseconds. */
const LEAST_USEFUL_MS = 25;

/**
 * @param inputs - what is known
 * @returns whether the request may run again though an earlier send may have run
 */
export function mayRetry(inputs: Pick<StepInputs, "requestClass" | "resumable">): boolean {
  if (inputs.requestClass === configurations.RequestClass.Idempotent) return true;
  return inputs.requestClass === configurations.RequestClass.Stream && inputs.resumable;
}

/**
 * Decides what follows a send without an answer. A request that may have run is
 * never told to be not run, whatever a later send says of itself.
 *
 * @param inputs - what is known
 * @returns the next step
 */
export function nextStep(inputs: StepInputs): NextStep {
  const ran = inputs.mayHaveRun || inputs.outcome === SendOutcome.Unknown;
  const allowed = !ran || mayRetry(inputs);
  const worthwhile = inputs.remainingMs >= LEAST_USEFUL_MS && inputs.hasOtherEndpoint;
  if (allowed && worthwhile && inputs.sends < inputs.attempts) {
    const free = inputs.sends === 0;
    if (free || inputs.spendRetry()) return NextStep.SendAgain;
  }
  if (!ran) return NextStep.Reject;
  return inputs.remainingMs <= 0 ? NextStep.TimedOut : NextStep.Fail;
}
