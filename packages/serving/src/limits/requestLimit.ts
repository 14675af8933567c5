/** Limits that endpoints in need state: how many requests a second they take from all daemons together. */

/** What an answer says of its endpoint's limit. */
export enum LimitStatement {
  /** The endpoint takes as many requests as it has room for. */
  None = "none",
  Stated = "stated",
  /** A limit is stated that can't be read; nothing follows from it. */
  Unreadable = "unreadable",
}

/** The limit that an answer states. */
export type StatedLimit =
  | { readonly statement: LimitStatement.None }
  | { readonly statement: LimitStatement.Stated; readonly requestsPerSecond: number }
  | { readonly statement: LimitStatement.Unreadable; readonly text: string };

/** Kind of call that an answer belongs to; an endpoint may state its limit in the answers of some kinds only. */
export enum AnsweredCall {
  /** A request that ran. */
  Run = "run",
  /** A prompt that was prefilled for another engine. */
  Prefill = "prefill",
  /** A call of the gateway itself. */
  Control = "control",
  /** A call that copies a run; its refusal says that the destination can't take it, and nothing of the engine itself. */
  Move = "move",
  /** A run that goes back to the engine that stopped it, which is no new work for it. */
  Return = "return",
}

/** Largest limit that has an effect, in requests a second; a higher one could not be exceeded by all daemons together. */
export const MAX_REQUEST_LIMIT = 1_000_000;

/** The latest statement that is known of one incarnation of an endpoint. */
export interface LimitRecord {
  readonly endpointId: string;
  /** Start of the incarnation in Unix milliseconds, if it is known. */
  readonly bornAt: number | undefined;
  /** The limit, or undefined if the endpoint has withdrawn it. */
  readonly requestsPerSecond: number | undefined;
  /** Kind of call whose answer stated it. */
  readonly statedIn: AnsweredCall;
  /**
   * Unix milliseconds at which the statement was observed, or one more than the version that it supersedes: the
   * observations of all daemons are totally ordered, whatever their clocks show.
   */
  readonly version: number;
}

/**
 * @param requestsPerSecond - limit of an endpoint
 * @param usualPerSecond - requests a second that it would get without the limit
 * @returns share of its usual work that it takes, from 0 to 1
 */
export function limitedCapacityShare(requestsPerSecond: number, usualPerSecond: number): number {
  return requestsPerSecond >= usualPerSecond ? 1 : requestsPerSecond / usualPerSecond;
}
