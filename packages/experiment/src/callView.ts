import * as serving from "@camphorcourse/serving";

/**
 * What one daemon of a replay knows of the requests at each endpoint: its own exactly, those of its peers as of their last
 * heartbeats. In the replay all peers get a heartbeat at the same time, so that one tracker holds the reports for all
 * daemons; among 690 daemons, a tracker for each would take half a million updates for one round of heartbeats.
 */
export class CallView {
  readonly #reports: serving.EngineLoadTracker;
  readonly #vm: string;
  readonly #own = new serving.EngineLoadTracker();
  #reported: ReadonlyMap<string, serving.EndpointWork> = new Map();

  /**
   * @param reports - the last reports of all daemons, shared by all views of a replay
   * @param vm - the daemon
   */
  constructor(reports: serving.EngineLoadTracker, vm: string) {
    this.#reports = reports;
    this.#vm = vm;
  }

  /**
   * @param endpointId - an endpoint
   * @param now - current instant in milliseconds
   * @returns requests of all daemons there, as far as this daemon knows
   */
  runningRequests(endpointId: string, now: number): number {
    const reported = this.#reports.runningRequests(endpointId, now) - (this.#reported.get(endpointId)?.running ?? 0);
    return this.#own.ownRunning(endpointId) + Math.max(0, reported);
  }

  /**
   * @param endpointId - an endpoint
   * @returns requests of this daemon there
   */
  ownRunning(endpointId: string): number {
    return this.#own.ownRunning(endpointId);
  }

  /** @param endpointId - endpoint at which a request of this daemon begins */
  beginRequest(endpointId: string): void {
    this.#own.beginRequest(endpointId);
  }

  /** @param endpointId - endpoint at which a request of this daemon has ended */
  endRequest(endpointId: string): void {
    this.#own.endRequest(endpointId);
  }

  /**
   * Sends a heartbeat.
   *
   * @param now - current instant in milliseconds
   * @param validMs - time after which the report expires, in milliseconds
   */
  report(now: number, validMs: number): void {
    this.#reported = this.#own.ownWork();
    this.#reports.updatePeerWork(this.#vm, this.#reported, now, validMs);
  }
}
