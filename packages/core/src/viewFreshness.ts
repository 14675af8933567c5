import * as constants from "./constants.js";
import type * as membership from "./membership.js";

/**
 * Determines whether this daemon's view of the configuration is recent enough
 * for new requests.
 *
 * An isolated daemon would keep sending requests to an endpoint that is being
 * drained. A lack of responses from the key-value service alone doesn't tell an
 * outage of that service from isolation of the daemon, but in an outage the
 * peers still answer. So the view is fresh while the service responds or at
 * least half of the peers are alive. After a pause of the process, responses
 * received before it don't count.
 */
export class ViewFreshness {
  #keyValueRespondedAt = Number.NEGATIVE_INFINITY;
  #hasContactSincePause = true;
  #isKeyValueLost = false;

  /**
   * @param now - current time
   * @returns whether the service was considered lost before
   */
  onKeyValueResponded(now: number): boolean {
    this.#keyValueRespondedAt = now;
    this.#hasContactSincePause = true;
    const wasLost = this.#isKeyValueLost;
    this.#isKeyValueLost = false;
    return wasLost;
  }

  /**
   * A call to the key-value service failed. This too counts as contact after a
   * pause: a daemon without peers learns from it that there is an outage and
   * keeps serving.
   *
   * @param now - current time
   * @returns whether the service is considered lost from now on
   */
  onKeyValueFailed(now: number): boolean {
    this.#hasContactSincePause = true;
    if (this.#isKeyValueLost || this.isKeyValueFresh(now)) return false;
    this.#isKeyValueLost = true;
    return true;
  }

  /** A peer's heartbeat arrived. */
  onPeerReported(): void {
    this.#hasContactSincePause = true;
  }

  /** The process was paused: its view from before the pause may be out of date. */
  onPaused(): void {
    this.#hasContactSincePause = false;
    this.#keyValueRespondedAt = Number.NEGATIVE_INFINITY;
  }

  /**
   * @param now - current time
   * @returns whether the key-value service responded within the maximum age of the view
   */
  isKeyValueFresh(now: number): boolean {
    return now - this.#keyValueRespondedAt < constants.VIEW_MAX_AGE_MS;
  }

  /**
   * @param roster - the daemons
   * @param now - current time
   * @returns whether new requests may be accepted
   */
  isFresh(roster: membership.Roster, now: number): boolean {
    if (this.isKeyValueFresh(now)) return true;
    if (!this.#hasContactSincePause) return false;
    const peers = roster.peers().filter((peer) => !peer.registration.leaving && !roster.isGone(peer.registration.vm));
    const live = roster.livePeers(now).length;
    return live * 2 >= peers.length;
  }
}
