import type * as descriptions from "./description.js";

/** How a request ended. */
export enum RequestOutcome {
  Answered = "answered",
  /** Rejected, and not retried any more. */
  Refused = "refused",
  /** Its caller timed out before the first event. */
  Failed = "failed",
}

/** A request that has ended. */
export interface EndedRequest {
  readonly kind: descriptions.RequestKind;
  readonly atMs: number;
  readonly promptTokens: number;
  readonly outcome: RequestOutcome;
  /** Whether the answer met its objective for the first event and its limit on pauses. */
  readonly inTime: boolean;
  /** Whether the first event met its objective. */
  readonly beganInTime: boolean;
  /** Whether a pause exceeded its limit. */
  readonly pausedTooLong: boolean;
  /** Whether its caller was rejected and has returned. */
  readonly hasReturned: boolean;
}

/** Metrics of one kind of request, or of all requests. */
export interface OutcomeMetrics {
  readonly requests: number;
  readonly inTime: number;
  readonly late: number;
  /** Answers whose first event was late, and answers with a pause that was too long. */
  readonly begunLate: number;
  readonly pausedTooLong: number;
  readonly refused: number;
  readonly failed: number;
  /** Requests whose callers were rejected and have returned, and those of them that were not answered. */
  readonly returned: number;
  readonly returnedInVain: number;
  /** Total worth of the answers, as a share of the worth of all requests. */
  readonly goodput: number;
}

const DECILES = 10;

/** Collects the outcomes of the requests of an experiment. */
export class OutcomeStatistics {
  readonly #ended: EndedRequest[] = [];

  /** @param request - a request that has ended */
  record(request: EndedRequest): void {
    this.#ended.push(request);
  }

  /** @returns metrics of all requests */
  overall(): OutcomeMetrics {
    return computeMetrics(this.#ended);
  }

  /** @returns metrics by kind of request */
  byKind(): ReadonlyMap<string, OutcomeMetrics> {
    const names = new Set(this.#ended.map(({ kind }) => kind.name));
    return new Map(
      [...names].map((name) => [name, computeMetrics(this.#ended.filter(({ kind }) => kind.name === name))]),
    );
  }

  /**
   * @param name - a kind of request
   * @returns the share of its requests that were answered, by decile of prompt size, smallest first
   */
  answeredBySizeDecile(name: string): number[] {
    const bySize = this.#ended
      .filter(({ kind }) => kind.name === name)
      .sort((left, right) => left.promptTokens - right.promptTokens);
    return Array.from({ length: DECILES }, (_, index) => {
      const decile = bySize.slice(
        Math.floor((bySize.length * index) / DECILES),
        Math.floor((bySize.length * (index + 1)) / DECILES),
      );
      return decile.filter(({ outcome }) => outcome === RequestOutcome.Answered).length / Math.max(1, decile.length);
    });
  }

  /**
   * @param windowMs - length of a window in milliseconds
   * @returns the lowest goodput of any window
   */
  worstWindow(windowMs: number): number {
    const windows = new Map<number, EndedRequest[]>();
    for (const request of this.#ended) {
      const window = Math.floor(request.atMs / windowMs);
      windows.set(window, [...(windows.get(window) ?? []), request]);
    }
    return Math.min(...[...windows.values()].map((ended) => computeMetrics(ended).goodput));
  }
}

function computeMetrics(ended: readonly EndedRequest[]): OutcomeMetrics {
  const answered = ended.filter(({ outcome }) => outcome === RequestOutcome.Answered);
  const inTime = answered.filter((request) => request.inTime);
  const late = answered.filter((request) => !request.inTime);
  const returned = ended.filter(({ hasReturned }) => hasReturned);
  const earned = sumWorth(inTime, ({ kind }) => kind.worth) + sumWorth(late, ({ kind }) => kind.worthLate);
  const maxWorth = sumWorth(ended, ({ kind }) => kind.worth);
  return {
    requests: ended.length,
    inTime: inTime.length,
    late: late.length,
    begunLate: answered.filter(({ beganInTime }) => !beganInTime).length,
    pausedTooLong: answered.filter(({ pausedTooLong }) => pausedTooLong).length,
    refused: ended.filter(({ outcome }) => outcome === RequestOutcome.Refused).length,
    failed: ended.filter(({ outcome }) => outcome === RequestOutcome.Failed).length,
    returned: returned.length,
    returnedInVain: returned.filter(({ outcome }) => outcome !== RequestOutcome.Answered).length,
    goodput: maxWorth === 0 ? 1 : earned / maxWorth,
  };
}

function sumWorth(ended: readonly EndedRequest[], worth: (request: EndedRequest) => number): number {
  return ended.reduce((sum, request) => sum + worth(request), 0);
}
