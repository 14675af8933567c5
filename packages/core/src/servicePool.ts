import type * as common from "@camphorcourse/common";
import * as admission from "./admission.js";
import * as configuration from "./configuration.js";
import * as engineCosts from "./engineCosts.js";
import * as retryBudget from "./retryBudget.js";
import * as rolePlanner from "./rolePlanner.js";
import * as endpointChoice from "./endpointChoice.js";
import * as model from "./endpointModel.js";

/** What a request asks of a service's endpoints. */
export interface Work extends endpointChoice.WorkSize {
  readonly maximumOutputTokens: number;
}

/** Settings of a pool's decisions. */
export interface PolicySettings {
  readonly choice: endpointChoice.ChoiceSettings;
  readonly planner: rolePlanner.PlannerSettings;
  readonly costs: engineCosts.EngineCosts;
  /** Whether a request that can't be in time is refused at once. */
  readonly refusesInfeasible: boolean;
}

/** The settings that the replay measure found best. */
export const POLICY_SETTINGS: PolicySettings = {
  choice: endpointChoice.CHOICE_SETTINGS,
  planner: rolePlanner.PLANNER_SETTINGS,
  costs: engineCosts.PRIOR_COSTS,
  refusesInfeasible: true,
};

const OUTPUT_LEARNING_RATE = 0.05;
const ANSWER_PRIOR_MS = 2000;
const ANSWER_LEARNING_RATE = 0.05;
const PLAIN_CALL_PRIOR_MS = 20;
const PLAIN_LEARNING_RATE = 0.1;

/** One service at one daemon: its endpoints, its queue, and what was learned of its requests. */
export class ServicePool {
  readonly queue = new admission.AdmissionQueue();
  readonly retryBudget = new retryBudget.RetryBudget();
  readonly planner: rolePlanner.RolePlanner;
  readonly refusesInfeasible: boolean;
  readonly #choice: endpointChoice.EndpointChoice;
  readonly #costs: engineCosts.EngineCosts;
  readonly #endpoints = new Map<string, model.EndpointModel>();
  #endpointList: model.EndpointModel[] = [];
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
    this.refusesInfeasible = settings.refusesInfeasible;
    this.#choice = new endpointChoice.EndpointChoice(random, settings.choice);
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

  /** @returns the endpoints */
  get endpoints(): readonly model.EndpointModel[] {
    return this.#endpointList;
  }

  /**
   * Follows a change of configuration; endpoints that stay keep what was learned.
   *
   * @param entry - the service
   * @param endpoints - its endpoints
   */
  configure(entry: configuration.ServiceEntry, endpoints: readonly configuration.EndpointEntry[]): void {
    this.#entry = entry;
    const wanted = new Set(endpoints.map((endpoint) => endpoint.id));
    for (const [id, endpoint] of this.#endpoints) {
      if (!wanted.has(id) && endpoint.inFlight === 0) this.#endpoints.delete(id);
      if (!wanted.has(id)) endpoint.accepting = false;
    }
    for (const endpoint of endpoints) {
      if (this.#endpoints.has(endpoint.id)) continue;
      this.#endpoints.set(endpoint.id, new model.EndpointModel(endpoint.id, endpoint.settings.dataCentre, this.#costs));
    }
    this.#endpointList = [...this.#endpoints.values()];
  }

  /**
   * @param id - `team/endpoint`
   * @returns the endpoint
   */
  endpoint(id: string): model.EndpointModel | undefined {
    return this.#endpoints.get(id);
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
    this.retryBudget.earn();
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
   * @returns the endpoints that can begin now, if any
   */
  choose(work: Work, now: number): endpointChoice.EndpointPlan | undefined {
    if (!this.#isPlain()) return this.#choice.chooseWhole(this.#endpointList, work, now);
    const endpoint = this.#choice.choosePlain(this.#endpointList, work, this.#entry.settings.limits.perEndpoint, now);
    return endpoint && { answer: endpoint, finishMs: this.#plainMs };
  }

  /**
   * @param work - the request's work
   * @param now - current time
   * @returns the endpoint that makes the answer from an imported KV cache
   */
  chooseDecode(work: Work, now: number): model.EndpointModel | undefined {
    return this.#choice.chooseDecode(this.#endpointList, work, now);
  }

  /**
   * @param work - the request's work
   * @param now - current time
   * @returns milliseconds from dispatch to the whole answer at an endpoint as busy as usual
   */
  serviceMs(work: Work, now: number): number {
    if (this.#isPlain()) return this.#plainMs;
    const usable = this.#endpointList.filter((endpoint) => endpoint.isUsable(now));
    const prefill = usable.filter((endpoint) => endpoint.role !== configuration.EndpointRole.Decode);
    const decode = usable.filter((endpoint) => endpoint.role !== configuration.EndpointRole.Prefill);
    const prefillMs = work.promptTokens * lowest(prefill, (endpoint) => endpoint.prefillTokenMs());
    return prefillMs + work.outputTokens * lowest(decode, (endpoint) => endpoint.tokenMs(now));
  }

  /**
   * @param now - current time
   * @returns whether the usable endpoints can serve a request at all
   */
  canServe(now: number): boolean {
    const roles = new Set(
      this.#endpointList.filter((endpoint) => endpoint.isUsable(now)).map((endpoint) => endpoint.role),
    );
    const pairs = roles.has(configuration.EndpointRole.Prefill) && roles.has(configuration.EndpointRole.Decode);
    return roles.has(configuration.EndpointRole.Mixed) || pairs;
  }

  /**
   * @param now - current time
   * @returns what the usable endpoints give and what is ahead of them
   */
  capacity(now: number): admission.PoolCapacity {
    let [tokensPerMs, waitingTokens, slots, busySlots] = [0, 0, 0, 0];
    for (const endpoint of this.#endpointList) {
      if (!endpoint.isUsable(now)) continue;
      if (endpoint.role !== configuration.EndpointRole.Decode) {
        tokensPerMs += 1 / endpoint.prefillTokenMs();
        waitingTokens += endpoint.waitingTokens(now);
      }
      if (endpoint.role === configuration.EndpointRole.Prefill) continue;
      slots += this.#isPlain() ? this.#entry.settings.limits.perEndpoint : endpoint.slots;
      busySlots += this.#isPlain() ? endpoint.totalInFlight : endpoint.streams;
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

function lowest(endpoints: readonly model.EndpointModel[], valueOf: (endpoint: model.EndpointModel) => number): number {
  return endpoints.length === 0 ? 0 : Math.min(...endpoints.map(valueOf));
}
