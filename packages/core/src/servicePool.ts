import type * as common from "@camphorcourse/common";
import * as admission from "./admission.js";
import * as configuration from "./configuration.js";
import * as engineCosts from "./engineCosts.js";
import * as retryBudget from "./retryBudget.js";
import * as rolePlanner from "./rolePlanner.js";
import * as endpointChoice from "./endpointChoice.js";
import * as model from "./endpointModel.js";

/** Work that a request needs from a service's endpoints. */
export interface Work extends endpointChoice.WorkSize {
  readonly maximumOutputTokens: number;
}

/** Settings of a pool's policies. */
export interface PolicySettings {
  readonly choice: endpointChoice.ChoiceSettings;
  readonly planner: rolePlanner.PlannerSettings;
  readonly costs: engineCosts.EngineCosts;
  /** Whether a request that can't meet its deadline is refused at once. */
  readonly refusesInfeasible: boolean;
}

/** Default settings, the best ones in trace replays. */
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
const PLAIN_CALL_LEARNING_RATE = 0.1;

/** One service at one daemon: its endpoints, its queue, and learned statistics of its requests. */
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
  #plainCallMs = PLAIN_CALL_PRIOR_MS;
  #peerQueues: admission.WaitingWork = { tokens: 0, requests: 0 };
  #arrivedDemand = engineCosts.NO_DEMAND;
  #arrivedRequests = 0;
  #peerCount = 0;

  /**
   * @param entry - the service
   * @param random - breaks ties between endpoints
   * @param settings - settings of choice, planner and costs
   */
  constructor(entry: configuration.ServiceEntry, random: common.SeededRandom, settings: PolicySettings) {
    this.#entry = entry;
    this.#costs = settings.costs;
    this.refusesInfeasible = settings.refusesInfeasible;
    this.#choice = new endpointChoice.EndpointChoice(random, settings.choice);
    this.planner = new rolePlanner.RolePlanner(settings.planner);
  }

  /** @returns the service's current configuration */
  get entry(): configuration.ServiceEntry {
    return this.#entry;
  }

  /** @returns milliseconds for which a role change makes an engine unavailable */
  get roleChangeMs(): number {
    return this.#costs.roleChangeMs;
  }

  /** @returns total demand of all requests that have arrived at this daemon */
  get arrived(): engineCosts.Demand {
    return this.#arrivedDemand;
  }

  /** @returns number of requests that have arrived at this daemon */
  get requests(): number {
    return this.#arrivedRequests;
  }

  /** @returns the endpoints */
  get endpoints(): readonly model.EndpointModel[] {
    return this.#endpointList;
  }

  /**
   * Applies a configuration change; endpoints that remain keep what was learned about them.
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
   * Updates the known queues of the peers.
   *
   * @param waiting - work in the peers' queues for this service
   * @param peers - number of peers that serve it
   */
  onPeerQueues(waiting: admission.WaitingWork, peers: number): void {
    this.#peerQueues = waiting;
    this.#peerCount = peers;
  }

  /**
   * @param promptTokens - length of the prompt
   * @param maximumOutputTokens - the caller's limit
   * @param prefix - prefix of the prompt
   * @returns the work, with the expected output length
   */
  workOf(promptTokens: number, maximumOutputTokens: number, prefix?: string): Work {
    const outputTokens = Math.max(1, Math.ceil(maximumOutputTokens * this.#outputShare));
    return { promptTokens, outputTokens, maximumOutputTokens, ...(prefix === undefined ? {} : { prefix }) };
  }

  /**
   * Records the arrival of a request.
   *
   * @param work - the request's work
   * @param now - current time
   */
  onArrived(work: Work, now: number): void {
    const demand = this.demandOf(work);
    this.#arrivedDemand = engineCosts.sumOf(this.#arrivedDemand, demand);
    this.#arrivedRequests++;
    this.retryBudget.earn();
    this.planner.onRequests(demand, 1, now);
  }

  /**
   * @param work - the request's work
   * @returns the engine time that it needs
   */
  demandOf(work: Work): engineCosts.Demand {
    if (this.#isPlain()) return { prefillMs: 0, decodeMs: 0, mixedMs: this.#plainCallMs };
    return engineCosts.demandOf(this.#costs, work.promptTokens, work.outputTokens);
  }

  /**
   * @param work - the request's work
   * @param now - current time
   * @returns the endpoints that can start the request now, if any
   */
  choose(work: Work, now: number): endpointChoice.EndpointPlan | undefined {
    if (!this.#isPlain()) return this.#choice.chooseWhole(this.#endpointList, work, now);
    const endpoint = this.#choice.choosePlain(this.#endpointList, work, this.#entry.settings.limits.perEndpoint, now);
    return endpoint && { answer: endpoint, finishMs: this.#plainCallMs };
  }

  /**
   * @param work - the request's work
   * @param now - current time
   * @returns the endpoint that generates the answer from an imported KV cache, if one is available
   */
  chooseDecode(work: Work, now: number): model.EndpointModel | undefined {
    return this.#choice.chooseDecode(this.#endpointList, work, now);
  }

  /**
   * @param work - the request's work
   * @param now - current time
   * @returns predicted milliseconds from dispatch to the complete answer, at the endpoints' current speeds
   */
  serviceMs(work: Work, now: number): number {
    if (this.#isPlain()) return this.#plainCallMs;
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
    const hasPrefillAndDecode =
      roles.has(configuration.EndpointRole.Prefill) && roles.has(configuration.EndpointRole.Decode);
    return roles.has(configuration.EndpointRole.Mixed) || hasPrefillAndDecode;
  }

  /**
   * @param now - current time
   * @returns total capacity and load of the usable endpoints
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
    const slotMs = this.#isPlain() ? this.#plainCallMs : this.#answerMs;
    const daemons = this.#peerCount + 1;
    return { tokensPerMs, waitingTokens, peerQueues: this.#peerQueues, slots, busySlots, slotMs, daemons };
  }

  /**
   * Learns from a completed answer.
   *
   * @param work - the request's work
   * @param outputTokens - number of tokens in the answer
   * @param tookMs - milliseconds from dispatch to the end
   */
  onAnswered(work: Work, outputTokens: number, tookMs: number): void {
    this.#answerMs += ANSWER_LEARNING_RATE * (tookMs - this.#answerMs);
    const share = outputTokens / Math.max(1, work.maximumOutputTokens);
    this.#outputShare += OUTPUT_LEARNING_RATE * (Math.min(1, share) - this.#outputShare);
  }

  /**
   * Learns from a completed plain call.
   *
   * @param tookMs - its duration in milliseconds
   */
  onPlainAnswered(tookMs: number): void {
    this.#plainCallMs += PLAIN_CALL_LEARNING_RATE * (tookMs - this.#plainCallMs);
  }

  #isPlain(): boolean {
    return this.#entry.settings.kind === configuration.ServiceKind.Plain;
  }
}

function lowest(endpoints: readonly model.EndpointModel[], valueOf: (endpoint: model.EndpointModel) => number): number {
  return endpoints.length === 0 ? 0 : Math.min(...endpoints.map(valueOf));
}
