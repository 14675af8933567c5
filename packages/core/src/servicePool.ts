import type * as common from "@camphorcourse/common";
import * as admission from "./admission.js";
import * as configuration from "./configuration.js";
import * as engineCosts from "./engineCosts.js";
import * as retryBudget from "./retryBudget.js";
import * as rolePlanner from "./rolePlanner.js";
import * as runnerChoice from "./runnerChoice.js";
import * as model from "./runnerModel.js";

/** What a request asks of a service's runners. */
export interface Work extends runnerChoice.WorkSize {
  readonly maximumOutputTokens: number;
}

/** Settings of a pool's decisions. */
export interface PolicySettings {
  readonly choice: runnerChoice.ChoiceSettings;
  readonly planner: rolePlanner.PlannerSettings;
  readonly costs: engineCosts.EngineCosts;
  /** Whether a request that can't be in time is refused at once. */
  readonly refusesLate: boolean;
}

/** The settings that the replay measure found best. */
export const POLICY_SETTINGS: PolicySettings = {
  choice: runnerChoice.CHOICE_SETTINGS,
  planner: rolePlanner.PLANNER_SETTINGS,
  costs: engineCosts.PRIOR_COSTS,
  refusesLate: true,
};

const OUTPUT_LEARNING_RATE = 0.05;
const ANSWER_PRIOR_MS = 2000;
const ANSWER_LEARNING_RATE = 0.05;
const PLAIN_CALL_PRIOR_MS = 20;
const PLAIN_LEARNING_RATE = 0.1;

/** One service at one daemon: its runners, its queue, and what was learned of its requests. */
export class ServicePool {
  readonly queue = new admission.AdmissionQueue();
  readonly retries = new retryBudget.RetryBudget();
  readonly planner: rolePlanner.RolePlanner;
  readonly refusesLate: boolean;
  readonly #choice: runnerChoice.RunnerChoice;
  readonly #costs: engineCosts.EngineCosts;
  readonly #runners = new Map<string, model.RunnerModel>();
  #runnerList: model.RunnerModel[] = [];
  #entry: configuration.ServiceEntry;
  #outputShare = 0.8;
  #answerMs = ANSWER_PRIOR_MS;
  #plainMs = PLAIN_CALL_PRIOR_MS;
  #peerQueues: admission.WaitingWork = { tokens: 0, requests: 0 };
  #arrived = engineCosts.NO_DEMAND;
  #requests = 0;
  #peers = 0;

  /**
   * @param entry - the service
   * @param random - for ties
   * @param settings - of choice, planner and costs
   */
  constructor(entry: configuration.ServiceEntry, random: common.SeededRandom, settings: PolicySettings) {
    this.#entry = entry;
    this.#costs = settings.costs;
    this.refusesLate = settings.refusesLate;
    this.#choice = new runnerChoice.RunnerChoice(random, settings.choice);
    this.planner = new rolePlanner.RolePlanner(settings.planner);
  }

  /** @returns the service's settings in force */
  get entry(): configuration.ServiceEntry {
    return this.#entry;
  }

  /** @returns milliseconds that a role change keeps an engine away */
  get roleChangeMs(): number {
    return this.#costs.roleChangeMs;
  }

  /** @returns engine time of all requests that have arrived here */
  get arrived(): engineCosts.Demand {
    return this.#arrived;
  }

  /** @returns how many requests have arrived here */
  get requests(): number {
    return this.#requests;
  }

  /** @returns the runners */
  get runners(): readonly model.RunnerModel[] {
    return this.#runnerList;
  }

  /**
   * Follows a change of configuration; runners that stay keep what was learned.
   *
   * @param entry - the service
   * @param runners - its runners
   */
  configure(entry: configuration.ServiceEntry, runners: readonly configuration.RunnerEntry[]): void {
    this.#entry = entry;
    const wanted = new Set(runners.map((runner) => runner.id));
    for (const [id, runner] of this.#runners) {
      if (!wanted.has(id) && runner.inFlight === 0) this.#runners.delete(id);
      if (!wanted.has(id)) runner.accepting = false;
    }
    for (const runner of runners) {
      if (this.#runners.has(runner.id)) continue;
      this.#runners.set(runner.id, new model.RunnerModel(runner.id, runner.settings.place, this.#costs));
    }
    this.#runnerList = [...this.#runners.values()];
  }

  /**
   * @param id - `team/runner`
   * @returns the runner
   */
  runner(id: string): model.RunnerModel | undefined {
    return this.#runners.get(id);
  }

  /**
   * @param waiting - what waits for this service at the peers
   * @param peers - how many of them serve it
   */
  onPeerQueues(waiting: admission.WaitingWork, peers: number): void {
    this.#peerQueues = waiting;
    this.#peers = peers;
  }

  /**
   * @param promptTokens - length of the prompt
   * @param maximumOutputTokens - the caller's limit
   * @param prefix - beginning of the prompt
   * @returns the work with the output length that is expected
   */
  workOf(promptTokens: number, maximumOutputTokens: number, prefix?: string): Work {
    const outputTokens = Math.max(1, Math.ceil(maximumOutputTokens * this.#outputShare));
    return { promptTokens, outputTokens, maximumOutputTokens, ...(prefix === undefined ? {} : { prefix }) };
  }

  /**
   * @param work - of a request that has just arrived
   * @param now - current time
   */
  onArrived(work: Work, now: number): void {
    const demand = this.demandOf(work);
    this.#arrived = engineCosts.sumOf(this.#arrived, demand);
    this.#requests++;
    this.retries.earn();
    this.planner.onRequests(demand, 1, now);
  }

  /**
   * @param work - the request's work
   * @returns engine time that it takes
   */
  demandOf(work: Work): engineCosts.Demand {
    if (this.#isPlain()) return { prefillMs: 0, decodeMs: 0, mixedMs: this.#plainMs };
    return engineCosts.demandOf(this.#costs, work.promptTokens, work.outputTokens);
  }

  /**
   * @param work - the request's work
   * @param now - current time
   * @returns the runners that can begin now, if any
   */
  choose(work: Work, now: number): runnerChoice.RunnerPlan | undefined {
    if (!this.#isPlain()) return this.#choice.chooseWhole(this.#runnerList, work, now);
    const runner = this.#choice.choosePlain(this.#runnerList, work, this.#entry.settings.limits.perRunner, now);
    return runner && { answer: runner, finishMs: this.#plainMs };
  }

  /**
   * @param work - the request's work
   * @param now - current time
   * @returns the runner that makes the answer from an imported KV cache
   */
  chooseDecode(work: Work, now: number): model.RunnerModel | undefined {
    return this.#choice.chooseDecode(this.#runnerList, work, now);
  }

  /**
   * @param work - the request's work
   * @param now - current time
   * @returns milliseconds from dispatch to the whole answer at a runner as busy as usual
   */
  serviceMs(work: Work, now: number): number {
    if (this.#isPlain()) return this.#plainMs;
    const usable = this.#runnerList.filter((runner) => runner.isUsable(now));
    const prefill = usable.filter((runner) => runner.role !== configuration.RunnerRole.Decode);
    const decode = usable.filter((runner) => runner.role !== configuration.RunnerRole.Prefill);
    const prefillMs = work.promptTokens * lowest(prefill, (runner) => runner.prefillTokenMs());
    return prefillMs + work.outputTokens * lowest(decode, (runner) => runner.tokenMs(now));
  }

  /**
   * @param now - current time
   * @returns whether the usable runners can serve a request at all
   */
  canServe(now: number): boolean {
    const roles = new Set(this.#runnerList.filter((runner) => runner.isUsable(now)).map((runner) => runner.role));
    const pairs = roles.has(configuration.RunnerRole.Prefill) && roles.has(configuration.RunnerRole.Decode);
    return roles.has(configuration.RunnerRole.Mixed) || pairs;
  }

  /**
   * @param now - current time
   * @returns what the usable runners give and what is ahead of them
   */
  capacity(now: number): admission.PoolCapacity {
    let [tokensPerMs, waitingTokens, slots, busySlots] = [0, 0, 0, 0];
    for (const runner of this.#runnerList) {
      if (!runner.isUsable(now)) continue;
      if (runner.role !== configuration.RunnerRole.Decode) {
        tokensPerMs += 1 / runner.prefillTokenMs();
        waitingTokens += runner.waitingTokens(now);
      }
      if (runner.role === configuration.RunnerRole.Prefill) continue;
      slots += this.#isPlain() ? this.#entry.settings.limits.perRunner : runner.slots;
      busySlots += this.#isPlain() ? runner.totalInFlight : runner.streams;
    }
    const slotMs = this.#isPlain() ? this.#plainMs : this.#answerMs;
    const daemons = this.#peers + 1;
    return { tokensPerMs, waitingTokens, peerQueues: this.#peerQueues, slots, busySlots, slotMs, daemons };
  }

  /**
   * @param work - the work of a request that was answered
   * @param outputTokens - tokens that the answer had
   * @param tookMs - from dispatch to the end
   */
  onAnswered(work: Work, outputTokens: number, tookMs: number): void {
    this.#answerMs += ANSWER_LEARNING_RATE * (tookMs - this.#answerMs);
    const share = outputTokens / Math.max(1, work.maximumOutputTokens);
    this.#outputShare += OUTPUT_LEARNING_RATE * (Math.min(1, share) - this.#outputShare);
  }

  /** @param tookMs - duration of a plain call */
  onPlainAnswered(tookMs: number): void {
    this.#plainMs += PLAIN_LEARNING_RATE * (tookMs - this.#plainMs);
  }

  #isPlain(): boolean {
    return this.#entry.settings.kind === configuration.ServiceKind.Plain;
  }
}

function lowest(runners: readonly model.RunnerModel[], valueOf: (runner: model.RunnerModel) => number): number {
  return runners.length === 0 ? 0 : Math.min(...runners.map(valueOf));
}
