import * as histograms from "hdr-histogram-js";

/** How the requests of one replay ended. */
export class Outcome {
  readonly firstToken = histograms.build({ highestTrackableValue: 600_000 });
  readonly betweenTokens = histograms.build({ highestTrackableValue: 600_000 });
  requests = 0;
  inTime = 0;
  late = 0;
  refused = 0;
  attempts = 0;
  roleChanges = 0;
  comebacks = 0;
  comebacksInTime = 0;
  decisions = 0;
  decisionMicroseconds = 0;
  /** Answers in time by second of arrival, and requests by second of arrival. */
  readonly inTimeBySecond = new Map<number, number>();
  readonly requestsBySecond = new Map<number, number>();

  /** @returns share of the requests that were answered whole and in time */
  get goodput(): number {
    return this.requests === 0 ? 0 : this.inTime / this.requests;
  }

  /** @returns share of the refused callers that came back when told and were then answered in time */
  get comebackShare(): number {
    return this.comebacks === 0 ? 1 : this.comebacksInTime / this.comebacks;
  }

  /**
   * @param atMs - when the request arrived
   * @param inTime - whether it was answered whole and in time
   */
  onEnded(atMs: number, inTime: boolean): void {
    const second = Math.floor(atMs / 1000);
    this.requestsBySecond.set(second, (this.requestsBySecond.get(second) ?? 0) + 1);
    if (inTime) this.inTimeBySecond.set(second, (this.inTimeBySecond.get(second) ?? 0) + 1);
  }
}
