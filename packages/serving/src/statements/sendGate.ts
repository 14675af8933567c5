import type * as directories from "../endpointDirectory.js";
import type * as limitEnforcers from "../limits/limitEnforcer.js";
import type * as restTables from "./restTable.js";

/** What a {@link SendGate} decides by. */
export interface SendGateParts {
  /** Knows the endpoints that leave. */
  readonly directory: directories.EndpointDirectory;
  readonly rests: restTables.RestTable;
  /** This daemon's part of the limits. */
  readonly enforcer: limitEnforcers.LimitEnforcer;
}

/**
 * When an endpoint may get a request of this daemon, by all that it has said of itself: whether it leaves, until when it
 * rests, and how many requests a second it takes.
 */
export class SendGate {
  readonly #parts: SendGateParts;

  /** @param parts - what it decides by */
  constructor(parts: SendGateParts) {
    this.#parts = parts;
  }

  /**
   * @param endpoint - an endpoint
   * @param now - current time in milliseconds
   * @returns time until it may get new work in milliseconds, 0 if it may get some now; infinite if it leaves, or if this
   *   daemon has no part of its limit
   */
  waitMs(endpoint: directories.Endpoint, now: number): number {
    const { directory, enforcer, rests } = this.#parts;
    if (directory.isStatedLeaving(endpoint)) return Number.POSITIVE_INFINITY;
    return Math.max(rests.waitMs(endpoint, now), enforcer.waitMs(endpoint, now));
  }

  /**
   * Decides on a send that was chosen before, or that is no new work.
   *
   * @param endpoint - an endpoint
   * @param isNewWork - whether the request is new work for it, and not a call that concerns what it has
   * @param now - current time in milliseconds
   * @returns whether it may be sent now
   */
  mayReceive(endpoint: directories.Endpoint, isNewWork: boolean, now: number): boolean {
    const { directory, rests } = this.#parts;
    if (rests.isResting(endpoint, now)) return false;
    return !isNewWork || !(directory.isStatedLeaving(endpoint) || directory.hasOtherSoftware(endpoint));
  }
}
