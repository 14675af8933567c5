import * as constants from "./constants.js";
import type * as membership from "./membership.js";

/**
 * Whether this daemon's view of the configuration can be trusted for new work.
 *
 * A daemon that is cut off would go on sending work to an endpoint that is
 * leaving. It can't tell an outage of the key-value service from being cut off
 * by that service's silence alone, but in an outage its peers still answer.
 * So the view is fresh while the service or at least half of the peers are
 * heard. After a pause nothing counts that was heard before it.
 */
export class ViewFreshness {
  #keyValueHeardAt = Number.NEGATIVE_INFINITY;
  #contactSincePause = true;
  #keyValueLost = false;

  /**
   * @param now - current time
   * @returns whether the service had been lost before
   */
  onKeyValueResponded(now: number): boolean {
    this.#keyValueHeardAt = now;
    this.#contactSincePause = true;
    const wasLost = this.#keyValueLost;
    this.#keyValueLost = false;
    return wasLost;
  }

  /**
   * A call to the service failed. That too is contact after a pause: a lone
   * daemon learns from it that there is an outage, and serves on.
   *
   * @param now - current time
   * @returns whether the service was lost just now
   */
  onKeyValueFailed(now: number): boolean {
    this.#contactSincePause = true;
    if (this.#keyValueLost || this.isKeyValueFresh(now)) return false;
    this.#keyValueLost = true;
    return true;
  }

  /** A peer's heartbeat came. */
  onPeerReported(): void {
    this.#contactSincePause = true;
  }

  /** The process was paused: what it knew before is of no use. */
  onPaused(): void {
    this.#contactSincePause = false;
    this.#keyValueHeardAt = Number.NEGATIVE_INFINITY;
  }

  /**
   * @param now - current time
   * @returns whether the service was heard within the freshness limit
   */
  isKeyValueFresh(now: number): boolean {
    return now - this.#keyValueHeardAt < constants.VIEW_MAX_AGE_MS;
  }

  /**
   * @param roster - the daemons
   * @param now - current time
   * @returns whether new work may be taken
   */
  isFresh(roster: membership.Roster, now: number): boolean {
    if (this.isKeyValueFresh(now)) return true;
    if (!this.#contactSincePause) return false;
    const peers = roster.peers().filter((peer) => !peer.registration.leaving && !roster.isGone(peer.registration.vm));
    const live = roster.livePeers(now).length;
    return live * 2 >= peers.length;
  }
}
