/** The HTTP call with which one daemon asks another to send a request to an endpoint in its place. */

/** Path of the call, on the address for the other daemons. */
export const RELAY_PATH = "/relay";

/** Header of each response, with a {@link RelayResult}. */
export const RESULT_HEADER = "relay-result";

/** Header of a response whose answer had neither a length nor chunks: it ended with the endpoint's connection. */
export const UNFRAMED_HEADER = "relay-unframed";

/** What a response to the call is. */
export enum RelayResult {
  /** The endpoint's answer. */
  Answer = "answer",
  /** Nothing was sent, as the peer doesn't reach the endpoint either. */
  Unreachable = "unreachable",
  /** Nothing was sent, as the peer is stopping, has no room, or doesn't know the endpoint as available. */
  Refused = "refused",
  /** The request may have run, and its answer is lost. */
  AnswerLost = "answer-lost",
}

/**
 * @param value - value of the header with the result
 * @returns the result. A daemon of an older version doesn't know the call and names none; it has sent nothing
 */
export function readResult(value: string | string[] | undefined): RelayResult {
  if (value === undefined) return RelayResult.Refused;
  return Object.values(RelayResult).find((result) => result === value) ?? RelayResult.AnswerLost;
}
