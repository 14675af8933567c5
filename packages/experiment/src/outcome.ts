import type * as descriptions from "./description.js";

/** How a request ended. */
export enum Ending {
  Answered = "answered",
  /** Turned away at once. */
  Refused = "refused",
  /** Its caller left before anything came. */
  Failed = "failed",
}

/** One request that has ended. */
export interface EndedRequest {
  readonly kind: descriptions.RequestKind;
  readonly atMs: number;
  readonly promptTokens: number;
  readonly ending: Ending;
  /** Whether an answer kept its objective and its pauses. */
  readonly inTime: boolean;
}

/** Figures of one kind of request, or of all. */
export interface Figures {
  readonly requests: number;
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  readonly failed: number;
  /** Worth earned, as a share of the worth asked for. */
  readonly goodput: number;
}

const TENTHS = 10;

/** What became of the requests of an experiment. */
export class Outcome {
  readonly #ended: EndedRequest[] = [];

  /** @param request - a request that has ended */
  note(request: EndedRequest): void {
    this.#ended.push(request);
  }

  /** @returns figures of all requests */
  all(): Figures {
    return figuresOf(this.#ended);
  }

  /** @returns figures by the requests' kind */
  byKind(): ReadonlyMap<string, Figures> {
    const names = new Set(this.#ended.map(({ kind }) => kind.name));
    return new Map([...names].map((name) => [name, figuresOf(this.#ended.filter(({ kind }) => kind.name === name))]));
  }

  /**
   * @param name - a kind of request
   * @returns share of its requests that were answered, by tenth of their prompts' size, the smallest first
   */
  answeredByTenth(name: string): number[] {
    const bySize = this.#ended
      .filter(({ kind }) => kind.name === name)
      .sort((left, right) => left.promptTokens - right.promptTokens);
    return Array.from({ length: TENTHS }, (_, index) => {
      const tenth = bySize.slice(
        Math.floor((bySize.length * index) / TENTHS),
        Math.floor((bySize.length * (index + 1)) / TENTHS),
      );
      return tenth.filter(({ ending }) => ending === Ending.Answered).length / Math.max(1, tenth.length);
    });
  }

  /**
   * @param windowMs - length of a window in milliseconds
   * @returns the least goodput of any window
   */
  worstWindow(windowMs: number): number {
    const windows = new Map<number, EndedRequest[]>();
    for (const request of this.#ended) {
      const window = Math.floor(request.atMs / windowMs);
      windows.set(window, [...(windows.get(window) ?? []), request]);
    }
    return Math.min(...[...windows.values()].map((ended) => figuresOf(ended).goodput));
  }
}

function figuresOf(ended: readonly EndedRequest[]): Figures {
  const answered = ended.filter(({ ending }) => ending === Ending.Answered);
  const inTime = answered.filter((request) => request.inTime);
  const late = answered.filter((request) => !request.inTime);
  const earned = sumOf(inTime, ({ kind }) => kind.worth) + sumOf(late, ({ kind }) => kind.worthLate);
  const owed = sumOf(ended, ({ kind }) => kind.worth);
  return {
    requests: ended.length,
    inTime: inTime.length,
    late: late.length,
    refused: ended.filter(({ ending }) => ending === Ending.Refused).length,
    failed: ended.filter(({ ending }) => ending === Ending.Failed).length,
    goodput: owed === 0 ? 1 : earned / owed,
  };
}

function sumOf(ended: readonly EndedRequest[], worth: (request: EndedRequest) => number): number {
  return ended.reduce((sum, request) => sum + worth(request), 0);
}
