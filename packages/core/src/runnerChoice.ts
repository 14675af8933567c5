import type * as common from "@camphorcourse/common";
import * as model from "./runnerModel.js";

/** What the choice needs to know of a request. */
export interface WorkSize {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly prefix?: string;
  /** Runners at which the request has failed; taken only if there is no other. */
  readonly avoid?: ReadonlySet<string>;
}

/** Which runners serve a request. */
export interface RunnerPlan {
  /** Takes the prompt in, when that is done apart. */
  readonly prefill?: model.RunnerModel;
  /** Makes the answer. */
  readonly answer: model.RunnerModel;
  /** Predicted milliseconds from now to the whole answer. */
  readonly finishMs: number;
}

/** Settings of the choice. */
export interface ChoiceSettings {
  /** Prompt work, in milliseconds, that a daemon lets wait at an engine. */
  readonly prefillWindowMs: number;
  /** Share by which two predictions may differ and still count as equal. */
  readonly tieShare: number;
  /** Whether a prefix that is probably cached makes a runner preferred. */
  readonly prefixAffinity: boolean;
}

/** Settings that the replay measure found best. */
export const CHOICE_SETTINGS: ChoiceSettings = { prefillWindowMs: 400, tieShare: 0.05, prefixAffinity: true };

/** Chooses runners for engine requests by the lowest predicted time to finish. */
export class RunnerChoice {
  readonly #settings: ChoiceSettings;
  readonly #random: common.SeededRandom;

  /**
   * @param random - breaks ties, so that daemons don't all take the same runner
   * @param settings - windows and ties
   */
  constructor(random: common.SeededRandom, settings: ChoiceSettings = CHOICE_SETTINGS) {
    this.#random = random;
    this.#settings = settings;
  }

  /**
   * @param runners - the service's runners
   * @param work - size of the request
   * @param now - current time
   * @returns the best plan that can start now, if there is one
   */
  chooseWhole(runners: readonly model.RunnerModel[], work: WorkSize, now: number): RunnerPlan | undefined {
    return this.#plan(withoutAvoided(runners, work), work, now) ?? this.#plan(runners, work, now);
  }

  #plan(runners: readonly model.RunnerModel[], work: WorkSize, now: number): RunnerPlan | undefined {
    const whole = this.#best(runners, model.RequestPart.Whole, (runner) => this.#wholeMs(runner, work, now), now);
    const prefill = this.#best(runners, model.RequestPart.Prefill, (runner) => this.#prefillMs(runner, work, now), now);
    const decode = this.#best(
      runners,
      model.RequestPart.Decode,
      (runner) => work.outputTokens * runner.tokenMs(now),
      now,
    );
    const pairMs = prefill && decode ? prefill.costMs + decode.costMs : Number.POSITIVE_INFINITY;
    if (whole && whole.costMs <= pairMs) return { answer: whole.runner, finishMs: whole.costMs };
    if (!prefill || !decode) return undefined;
    return { prefill: prefill.runner, answer: decode.runner, finishMs: pairMs };
  }

  /**
   * @param runners - the service's runners
   * @param work - size of the request
   * @param now - current time
   * @returns the runner that continues from an imported KV cache
   */
  chooseDecode(runners: readonly model.RunnerModel[], work: WorkSize, now: number): model.RunnerModel | undefined {
    const choose = (candidates: readonly model.RunnerModel[]): model.RunnerModel | undefined =>
      this.#best(candidates, model.RequestPart.Decode, (runner) => work.outputTokens * runner.tokenMs(now), now)
        ?.runner;
    return choose(withoutAvoided(runners, work)) ?? choose(runners);
  }

  /**
   * @param runners - runners of a plain service
   * @param work - the call
   * @param perRunner - calls that one may be given at once
   * @param now - current time
   * @returns the one with the fewest calls, if any has room
   */
  choosePlain(
    runners: readonly model.RunnerModel[],
    work: WorkSize,
    perRunner: number,
    now: number,
  ): model.RunnerModel | undefined {
    const open = runners.filter((runner) => runner.isUsable(now) && runner.totalInFlight < perRunner);
    const preferred = withoutAvoided(open, work);
    return this.#lowest(preferred.length > 0 ? preferred : open, (runner) => runner.totalInFlight)?.runner;
  }

  #best(
    runners: readonly model.RunnerModel[],
    part: model.RequestPart,
    costOf: (runner: model.RunnerModel) => number,
    now: number,
  ): { runner: model.RunnerModel; costMs: number } | undefined {
    const open = runners.filter(
      (runner) => runner.serves(part) && runner.isUsable(now) && this.#hasRoom(runner, part, now),
    );
    return this.#lowest(open, costOf);
  }

  /** Queues stay short in the engines, so that priorities and drains still mean something. */
  #hasRoom(runner: model.RunnerModel, part: model.RequestPart, now: number): boolean {
    const slotFree = part === model.RequestPart.Prefill || runner.streams < runner.slots;
    const windowOpen = part === model.RequestPart.Decode || runner.prefillWaitMs(now) <= this.#settings.prefillWindowMs;
    return slotFree && windowOpen;
  }

  #wholeMs(runner: model.RunnerModel, work: WorkSize, now: number): number {
    return this.#prefillMs(runner, work, now) + work.outputTokens * runner.tokenMs(now);
  }

  #prefillMs(runner: model.RunnerModel, work: WorkSize, now: number): number {
    const cached = this.#settings.prefixAffinity ? runner.cachedTokens(work.prefix) : 0;
    const tokens = Math.max(1, work.promptTokens - cached);
    return runner.prefillWaitMs(now) + tokens * runner.prefillTokenMs();
  }

  #lowest(
    runners: readonly model.RunnerModel[],
    costOf: (runner: model.RunnerModel) => number,
  ): { runner: model.RunnerModel; costMs: number } | undefined {
    const rated = runners.map((runner) => ({ runner, costMs: costOf(runner) }));
    const lowest = Math.min(...rated.map((entry) => entry.costMs));
    const ties = rated.filter((entry) => entry.costMs <= lowest * (1 + this.#settings.tieShare));
    return ties[this.#random.integer(ties.length)];
  }
}

function withoutAvoided(runners: readonly model.RunnerModel[], work: WorkSize): readonly model.RunnerModel[] {
  const { avoid } = work;
  return avoid === undefined ? runners : runners.filter((runner) => !avoid.has(runner.id));
}
