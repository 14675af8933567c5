import * as common from "@camphorcourse/common";
import * as serving from "@camphorcourse/serving";
import * as callEndpoints from "./callEndpoint.js";
import * as callViews from "./callView.js";
import * as virtualTimes from "./virtualTime.js";

/** How daemons send plain calls. */
export enum CallPolicy {
  /** To the least busy endpoint at once, whatever runs there. */
  LeastBusy = "least-busy",
  /** By predicted time, without a limit. */
  NoLimit = "no-limit",
  Gradient = "gradient",
  Aimd = "aimd",
}

/** Calls of the organisations of one rank. */
export interface CallClass {
  readonly organisation: string;
  /** Rank of the organisation, 0 for the first. */
  readonly rank: number;
  /** Part of all calls. */
  readonly part: number;
}

/** A fleet of daemons before the endpoints of a plain service. */
export interface CallScenario {
  readonly policy: CallPolicy;
  readonly daemons: number;
  readonly endpoints: readonly callEndpoints.EndpointModel[];
  /** Requests a second that callers send to all daemons together, outside bursts. */
  readonly requestsPerSecond: number;
  /** Factor by which bursts raise the load, how often they begin, and how long they last, in milliseconds. */
  readonly burst: { readonly factor: number; readonly everyMs: number; readonly forMs: number };
  /** Time between two heartbeats of a daemon, in milliseconds. */
  readonly heartbeatMs: number;
  readonly objectiveMs: number;
  readonly timeoutMs: number;
  readonly forMs: number;
  /** Organisations of the callers; left out, there are none. */
  readonly classes?: readonly CallClass[];
  /** Whether ranks and shares decide; the organisations are known in any case. */
  readonly isRanked?: boolean;
}

/** What became of the calls. */
export interface CallOutcomes {
  readonly offered: number;
  readonly inObjective: number;
  /** Answered before the deadline, objective included. */
  readonly answered: number;
  /** Ended at the deadline after they were sent, so that they may have run. */
  readonly timedOut: number;
  /** Rejected without having run. */
  readonly rejected: number;
  /** Most requests that ran and waited in one endpoint. */
  readonly mostAtEndpoint: number;
  /** Calls of each organisation, and those that were answered. */
  readonly byOrganisation: ReadonlyMap<string, { readonly offered: number; readonly answered: number }>;
}

const MS_PER_SECOND = 1_000;
const MAX_SENDS = 2;

/** Interval at which a daemon checks whether a waiting request can be sent, in milliseconds. */
const CHECK_MS = 5;

interface Call {
  readonly asking: serving.AskingRequest;
  readonly arrivedAt: number;
  readonly place: serving.CallPlace;
  readonly deadlineAt: number;
  readonly workMs: number;
  readonly tried: Set<string>;
  isOver: boolean;
}

interface Known {
  readonly freshness: number;
  readonly endpoints: readonly serving.CallEndpoint<serving.Endpoint>[];
}

interface Daemon {
  /** Ranks and shares of the calls; the counts of ranks are shared by all daemons, as heartbeats exchange them. */
  readonly order: serving.OrganisationOrder;
  readonly loads: callViews.CallView;
  readonly health: serving.EndpointHealth;
  readonly estimates: serving.RunningEstimates;
  readonly times: serving.ServiceTimes;
  readonly limits: Map<string, serving.ConcurrencyLimit>;
  readonly queue: serving.CallQueue<Call>;
  isChecking: boolean;
}

/** Replays the decisions on the calls of a plain service. */
export class CallReplay {
  readonly #scenario: CallScenario;
  /** Draws what callers ask for: the same for all policies, so that they can be compared. */
  readonly #callers: common.SeededRandom;
  readonly #random: common.SeededRandom;
  readonly #time = new virtualTimes.VirtualTime();
  readonly #acceptance = new serving.AcceptanceTracker();
  readonly #byOrganisation = new Map<string, { offered: number; answered: number }>();
  readonly #reports = new serving.EngineLoadTracker();
  readonly #daemons: readonly Daemon[];
  readonly #endpoints: readonly callEndpoints.EmulatedCallEndpoint[];
  readonly #counts = { offered: 0, inObjective: 0, answered: 0, timedOut: 0, rejected: 0 };

  /**
   * @param scenario - fleet and load
   * @param seed - equal seeds replay the same events
   */
  constructor(scenario: CallScenario, seed: number) {
    this.#scenario = scenario;
    this.#callers = new common.SeededRandom(seed);
    this.#random = new common.SeededRandom(seed + 1_000_000);
    this.#endpoints = scenario.endpoints.map(
      (model, index) => new callEndpoints.EmulatedCallEndpoint(`e${index}`, model, this.#time),
    );
    this.#daemons = Array.from({ length: scenario.daemons }, (_, index) => ({
      order: this.#createOrder(),
      loads: new callViews.CallView(this.#reports, `vm-${index}`),
      health: new serving.EndpointHealth(),
      estimates: new serving.RunningEstimates(),
      times: new serving.ServiceTimes(),
      limits: new Map(this.#endpoints.map(({ endpoint }) => [endpoint.id, this.#createLimit(endpoint.slots)])),
      queue: new serving.CallQueue<Call>(),
      isChecking: false,
    }));
  }

  /** @returns what became of the calls */
  run(): CallOutcomes {
    this.#scheduleArrival();
    for (const daemon of this.#daemons) {
      this.#time.after(this.#random.next() * this.#scenario.heartbeatMs, () => this.#heartbeat(daemon));
    }
    this.#time.run(this.#scenario.forMs + this.#scenario.timeoutMs);
    const mostAtEndpoint = Math.max(...this.#endpoints.map(({ most }) => most));
    return { ...this.#counts, mostAtEndpoint, byOrganisation: this.#byOrganisation };
  }

  #createLimit(slots: number): serving.ConcurrencyLimit {
    const { policy } = this.#scenario;
    if (policy === CallPolicy.Gradient) return new serving.GradientLimit(slots);
    return policy === CallPolicy.Aimd ? new serving.AimdLimit(slots) : new serving.NoLimit();
  }

  #createOrder(): serving.OrganisationOrder {
    const { classes = [], isRanked = false } = this.#scenario;
    const order = new serving.OrganisationOrder(this.#acceptance);
    const organisations = classes.map(({ organisation, rank }) => ({ name: organisation, priority: rank }));
    const configuration = { organisations, routes: [], services: [{ name: "s" }] } as unknown as serving.Configuration;
    if (isRanked) order.configure(new serving.RankOrder(configuration));
    return order;
  }

  #scheduleArrival(): void {
    const { burst, forMs, requestsPerSecond } = this.#scenario;
    const { now } = this.#time;
    const factor = now % burst.everyMs < burst.forMs ? burst.factor : 1;
    this.#time.after(this.#callers.exponential(MS_PER_SECOND / (requestsPerSecond * factor)), () => {
      if (this.#time.now > forMs) return;
      this.#arrive();
      this.#scheduleArrival();
    });
  }

  #arrive(): void {
    const daemon = this.#daemons[this.#callers.integer(this.#daemons.length)];
    if (daemon === undefined) return;
    this.#counts.offered++;
    const { now } = this.#time;
    const { timeoutMs } = this.#scenario;
    const asking = this.#drawAsking();
    const call: Call = {
      asking,
      arrivedAt: now,
      deadlineAt: now + timeoutMs,
      place: { level: 0, deadlineAt: now + timeoutMs, inTimeUntil: this.#inTimeUntil(daemon) },
      workMs: callEndpoints.drawWork(this.#callers),
      tried: new Set(),
      isOver: false,
    };
    this.#time.after(timeoutMs, () => {
      if (call.isOver) return;
      if (daemon.queue.remove(call)) this.#end(call, "rejected");
      else this.#end(call, "timedOut");
    });
    this.#choose(daemon, call, daemon.queue.countBefore(this.#placeOf(daemon, call).place, now));
  }

  #drawAsking(): serving.AskingRequest {
    const { classes = [] } = this.#scenario;
    let drawn = classes.length === 0 ? 0 : this.#callers.next();
    const chosen = classes.find(({ part }) => (drawn -= part) < 0) ?? classes.at(-1);
    return { service: "s", route: { priority: 0 }, organisation: chosen?.organisation, session: undefined };
  }

  /** Rank and share change while a call waits, so that its place does. */
  #placeOf(daemon: Daemon, call: Call): { readonly order: serving.CallOrder; readonly place: serving.CallPlace } {
    const order = serving.callOrder(daemon.order.standingOf(call.asking, this.#time.now));
    return { order, place: { ...call.place, level: order.level } };
  }

  #inTimeUntil(daemon: Daemon): number {
    const { endpoints } = this.#known(
      daemon,
      this.#endpoints.map(({ endpoint }) => endpoint),
    );
    return serving.inTimeUntil({ arrivedAt: this.#time.now, objectiveMs: this.#scenario.objectiveMs }, endpoints);
  }

  #choose(daemon: Daemon, call: Call, ahead: number, hasWaited = false): void {
    const { now } = this.#time;
    const untried = this.#endpoints.map(({ endpoint }) => endpoint).filter(({ id }) => !call.tried.has(id));
    const usable = daemon.health.selectUsable(untried, false, now);
    if (this.#scenario.policy === CallPolicy.LeastBusy) {
      const endpoint = serving.leastBusy({
        endpoints: usable,
        loads: daemon.loads,
        health: daemon.health,
        isLimited: () => false,
        dataCentre: "a",
        draw: () => this.#random.next(),
        now,
      });
      if (endpoint === undefined) this.#end(call, "rejected");
      else this.#send(daemon, call, endpoint);
      return;
    }
    const known = this.#known(daemon, usable);
    const { order, place } = this.#placeOf(daemon, call);
    const displaced = daemon.queue.displacedBy(place, now);
    const decision = serving.decideCall({
      ...known,
      isLate: now > call.place.inTimeUntil,
      isSetBack: order.isSetBack,
      ahead,
      hasWaited,
      isQueueFull: daemon.queue.isFull && displaced === undefined,
      isLearned: daemon.times.isLearned("s"),
      remainingMs: call.deadlineAt - now,
      draw: () => this.#random.next(),
    });
    const isWaiting = decision.isOk() && decision.value.endpoint === undefined;
    if (!isWaiting && call.tried.size === 0) this.#noteDecision(daemon, call, decision.isOk());
    if (decision.isErr()) this.#end(call, "rejected");
    else if (decision.value.endpoint !== undefined) this.#send(daemon, call, decision.value.endpoint);
    else this.#wait(daemon, call, place, displaced);
  }

  /** What a daemon knows of some endpoints, from its own requests and its peers' heartbeats. */
  #known(daemon: Daemon, endpoints: readonly serving.Endpoint[]): Known {
    const { now } = this.#time;
    const { objectiveMs, heartbeatMs } = this.#scenario;
    const counted = endpoints.map((endpoint) => {
      const own = daemon.loads.ownRunning(endpoint.id);
      const peers = daemon.loads.runningRequests(endpoint.id, now) - own;
      const { id, slots } = endpoint;
      return { id, slots, own, peers, serviceMs: daemon.times.serviceMs(endpoint, objectiveMs) };
    });
    const { freshness, running } = daemon.estimates.estimate(counted, this.#daemons.length > 1 ? heartbeatMs : 0, now);
    return {
      freshness,
      endpoints: endpoints.map((endpoint, index) => ({
        endpoint,
        slots: endpoint.slots,
        running: running[index] ?? 0,
        limit: daemon.limits.get(endpoint.id)?.limit(now) ?? 1,
        serviceMs: counted[index]?.serviceMs ?? 0,
        networkMs: 0,
      })),
    };
  }

  #send(daemon: Daemon, call: Call, endpoint: serving.Endpoint): void {
    const sentAt = this.#time.now;
    call.tried.add(endpoint.id);
    const running = daemon.loads.runningRequests(endpoint.id, sentAt) + 1;
    const limit = daemon.limits.get(endpoint.id);
    daemon.loads.beginRequest(endpoint.id);
    const isAccepted = this.#endpoints
      .find((each) => each.endpoint === endpoint)
      ?.accept(call.workMs, call.deadlineAt, (isAnswer) => {
        const { now } = this.#time;
        daemon.loads.endRequest(endpoint.id);
        if (isAnswer) {
          daemon.health.recordResult(endpoint.id, serving.SendResult.Good, now);
          daemon.times.learn(endpoint, now - sentAt, running);
          limit?.onAnswer({ tookMs: now - sentAt, running }, now);
          this.#end(call, "answered");
        } else {
          daemon.times.learnAtLeast(endpoint, now - sentAt, running);
          limit?.onAnswer({ tookMs: now - sentAt, running }, now);
        }
        this.#handOn(daemon, endpoint);
        this.#drain(daemon);
      });
    if (isAccepted === true) return;
    daemon.loads.endRequest(endpoint.id);
    daemon.health.recordResult(endpoint.id, serving.SendResult.Declined, sentAt);
    limit?.onDeclined(sentAt);
    if (call.tried.size >= Math.min(MAX_SENDS, this.#endpoints.length)) this.#end(call, "rejected");
    else this.#choose(daemon, call, 0);
  }

  #heartbeat(daemon: Daemon): void {
    daemon.loads.report(this.#time.now, 10 * this.#scenario.heartbeatMs);
    this.#time.after(this.#scenario.heartbeatMs, () => this.#heartbeat(daemon));
  }

  #noteDecision(daemon: Daemon, call: Call, isAccepted: boolean): void {
    const outcome = { isAccepted, isShort: !isAccepted, isPromoted: false, engineMs: 1 };
    daemon.order.noteDecision(call.asking, outcome, this.#time.now);
  }

  #wait(daemon: Daemon, call: Call, place: serving.CallPlace, displaced: Call | undefined): void {
    if (displaced !== undefined) daemon.queue.remove(displaced);
    daemon.queue.add(call, place);
    this.#scheduleCheck(daemon);
    if (displaced !== undefined) this.#choose(daemon, displaced, 0, true);
  }

  #scheduleCheck(daemon: Daemon): void {
    if (daemon.isChecking || daemon.queue.size === 0) return;
    daemon.isChecking = true;
    this.#time.after(CHECK_MS, () => this.#check(daemon));
  }

  #check(daemon: Daemon): void {
    daemon.isChecking = false;
    this.#drain(daemon);
    this.#scheduleCheck(daemon);
  }

  /** The slot that a call has left is free for certain, unlike those that are known from heartbeats. */
  #handOn(daemon: Daemon, endpoint: serving.Endpoint): void {
    const { now } = this.#time;
    const call = daemon.queue.inOrder(now).find(({ tried }) => !tried.has(endpoint.id));
    if (call === undefined) return;
    const { freshness, endpoints } = this.#known(daemon, [endpoint]);
    const inputs = { freshness, isLate: now > call.place.inTimeUntil, ...this.#placeOf(daemon, call).order };
    if (!endpoints.every((each) => serving.mayHandOn(each, inputs))) return;
    daemon.queue.remove(call);
    if (call.tried.size === 0) this.#noteDecision(daemon, call, true);
    this.#send(daemon, call, endpoint);
  }

  #drain(daemon: Daemon): void {
    const { now } = this.#time;
    for (const call of daemon.queue.inOrder(now)) {
      const untried = this.#endpoints.map(({ endpoint }) => endpoint).filter(({ id }) => !call.tried.has(id));
      const { freshness, endpoints } = this.#known(daemon, untried);
      const inputs = { freshness, isLate: now > call.place.inTimeUntil, ...this.#placeOf(daemon, call).order };
      const leastMs = Math.min(...endpoints.map(({ serviceMs }) => serviceMs));
      if (!endpoints.some((each) => serving.hasRoom(each, inputs)) && call.deadlineAt - now >= leastMs) break;
      daemon.queue.remove(call);
      this.#choose(daemon, call, 0, true);
    }
  }

  #end(call: Call, outcome: "answered" | "timedOut" | "rejected"): void {
    if (call.isOver) return;
    call.isOver = true;
    this.#counts[outcome]++;
    const { organisation = "" } = call.asking;
    const counts = this.#byOrganisation.get(organisation) ?? { offered: 0, answered: 0 };
    const answered = counts.answered + (outcome === "answered" ? 1 : 0);
    this.#byOrganisation.set(organisation, { offered: counts.offered + 1, answered });
    const isInObjective = this.#time.now - call.arrivedAt <= this.#scenario.objectiveMs;
    if (outcome === "answered" && isInObjective) this.#counts.inObjective++;
  }
}
