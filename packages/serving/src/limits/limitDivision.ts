import * as common from "@camphorcourse/common";

/** What a daemon's part of an endpoint's limit is computed from. */
export interface DivisionInputs {
  /** Names an incarnation of an endpoint, the same at all daemons. */
  readonly endpointKey: string;
  /** Requests a second that all daemons together may send. */
  readonly requestsPerSecond: number;
  /** VM of this daemon. */
  readonly own: string;
  /** VMs of all daemons that may send requests, this one included. */
  readonly senders: readonly string[];
  /** Number of whole periods for which no answer has confirmed the limit. */
  readonly period: number;
}

/** Divides an endpoint's limit among the daemons without messages between them. */
export interface LimitDivision {
  /**
   * @param inputs - the limit and the daemons
   * @returns requests a second that this daemon may send
   */
  ownRate(inputs: DivisionInputs): number;
}

/**
 * Daemons beyond one for each request a second: a daemon's requests come at random, so that more daemons use more of a
 * low limit.
 */
const EXTRA_SENDERS = 2;

/**
 * Divides the limit among few daemons, chosen by rendezvous hashing. The first request of each daemon can't be spread
 * over time: if many daemons had a part, their first requests alone would exceed a low limit.
 *
 * The choice changes in each period without a confirmation, since the chosen daemons may have no requests for the
 * endpoint, and nobody would learn that the limit is over.
 */
export class FewSenders implements LimitDivision {
  /** {@inheritDoc LimitDivision.ownRate} */
  ownRate({ endpointKey, requestsPerSecond, own, senders, period }: DivisionInputs): number {
    const count = Math.max(1, Math.min(senders.length, Math.floor(requestsPerSecond) + EXTRA_SENDERS));
    const chosen = common.rendezvousOrder(`${endpointKey}/${period}`, senders).slice(0, count);
    return chosen.includes(own) ? requestsPerSecond / count : 0;
  }
}

/** The division that serves. */
export const LIMIT_DIVISION: LimitDivision = new FewSenders();
