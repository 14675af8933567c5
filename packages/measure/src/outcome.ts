import * as histograms from "hdr-histogram-js";

/** Counters and latency histograms of one replay. */
export class Outcome {
  readonly firstToken = histograms.build({ highestTrackableValue: 600_000 });
  readonly betweenTokens = histograms.build({ highestTrackableValue: 600_000 });
  requests = 0;
  inTime = 0;
  late = 0;
  refused = 0;
  attempts = 0;
  roleChanges = 0;
  retries = 0;
  retriesInTime = 0;
  decisions = 0;
  decisionMicroseconds = 0;
  /** Number of complete answers in time, by the second in which the request arrived. */
  readonly inTimeBySecond = new Map<number, number>();
  /** Number of requests, by the second in which they arrived. */
  readonly requestsBySecond = new Map<number, number>();

  /** @returns share of the requests that were answered completely and in time */
  get goodput(): number {
    return this.requests === 0 ? 0 : this.inTime / this.requests;
  }

  /** @returns share of the retries of refused callers that were answered in time; 1 without retries */
  get retrySuccessShare(): number {
    return this.retries === 0 ? 1 : this.retriesInTime / this.retries;
  }

  /**
   * Counts an ended request in the second of its arrival.
   *
   * @param atMs - when the request arrived
   * @param inTime - whether it was answered completely and in time
   */
  recordEnd(atMs: number, inTime: boolean): void {
    const second = Math.floor(atMs / 1000);
    this.requestsBySecond.set(second, (this.requestsBySecond.get(second) ?? 0) + 1);
    if (inTime) this.inTimeBySecond.set(second, (this.inTimeBySecond.get(second) ?? 0) + 1);
  }
}
