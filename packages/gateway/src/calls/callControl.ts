import * as serving from "@camphorcourse/serving";
import * as neverthrow from "neverthrow";
import type * as decisionLogs from "../decisionLog.js";
import type * as fleetViews from "../fleetView.js";
import type * as metricsModule from "../metrics.js";

/** A request that waits until an endpoint of its service has room. */
export interface WaitingCall {
  readonly service: string;
  /** When the daemon received it, in milliseconds. */
  readonly arrivedAt: number;
  readonly deadlineAt: number;
  readonly objectiveMs: number;
  /** Its place by rank and share. */
  readonly order: serving.CallOrder;
  /** @returns the endpoints that it may be sent to */
  candidates(): readonly serving.Endpoint[];
  /**
   * Chooses an endpoint again; if there is still no room, the request waits again or is rejected.
   *
   * @param freed - an endpoint at which a request has just ended, if that is why it is resumed
   */
  resumeCall(freed?: serving.Endpoint): void;
}

/** A request that is decided on. */
export interface DecidedCall extends Pick<
  WaitingCall,
  "service" | "arrivedAt" | "deadlineAt" | "objectiveMs" | "order"
> {
  /** What its order is based on, for the log. */
  readonly standing: decisionLogs.LogFields;
  readonly id: string;
  /** Whether it has waited, and is the next one. */
  readonly isNext: boolean;
  /** Endpoint at which a request has just ended, if that is why it is decided on now. */
  readonly freed: serving.Endpoint | undefined;
}

/** Why a request isn't sent now. */
export interface CallRefusal {
  readonly reason: string;
  readonly retryAfterMs?: number;
  /** Whether it waits for room instead of being rejected. */
  readonly waitsForRoom?: boolean;
}

/** Dependencies of {@link CallControl}. */
export interface CallControlParts {
  readonly log: decisionLogs.DecisionLog;
  readonly metrics: Pick<metricsModule.Metrics, "count">;
  readonly view: Pick<fleetViews.FleetView, "table">;
  readonly loads: serving.EngineLoadTracker;
  readonly dataCentre: string;
  /** Distances between the data centres; undefined in a deployment of one region. */
  readonly distances?: serving.DistanceModel | undefined;
  /** @returns number of daemons that send requests to endpoints, this one included */
  readonly senders: () => number;
  readonly isLimited: (endpoint: serving.Endpoint) => boolean;
  /** @returns a uniform random number in [0, 1) */
  readonly draw: () => number;
}

/** Network time there and back between data centres of a deployment of one region, in milliseconds. */
const REMOTE_MS = 2;

/** Endpoints as a request finds them. */
interface KnownEndpoints {
  readonly freshness: number;
  readonly endpoints: readonly serving.CallEndpoint<serving.Endpoint>[];
}

/**
 * Interval at which waiting requests are checked, in milliseconds: peers' requests end at any time, and the shortest work
 * takes a few times as long.
 */
const CHECK_MS = 5;

/**
 * Controls the calls of plain services whose routes leave little time: limits the requests at each endpoint, lets further
 * ones wait here, and rejects those that would be answered too late.
 */
export class CallControl {
  readonly #parts: CallControlParts;
  readonly #limits = new Map<string, { readonly slots: number; readonly limit: serving.ConcurrencyLimit }>();
  readonly #times = new serving.ServiceTimes();
  readonly #estimates = new serving.RunningEstimates();
  readonly #queues = new Map<string, serving.CallQueue<WaitingCall>>();
  #controlled = new Map<string, boolean>();
  #controlledBy: unknown;
  #isChecking = false;

  /** @param parts - dependencies */
  constructor(parts: CallControlParts) {
    this.#parts = parts;
  }

  /** @returns number of requests that wait */
  get waiting(): number {
    return [...this.#queues.values()].reduce((sum, queue) => sum + queue.size, 0);
  }

  /**
   * @param service - name of a service
   * @returns whether its calls are controlled, by the configuration in force
   */
  controls(service: string): boolean {
    const { table } = this.#parts.view;
    if (table === undefined) return false;
    if (this.#controlledBy !== table) {
      this.#controlledBy = table;
      this.#controlled = new Map();
      this.#times.retainServices(new Set(table.configuration.services.map(({ name }) => name)));
    }
    let isControlled = this.#controlled.get(service);
    if (isControlled === undefined) {
      const isPlain = table.service(service)?.engine === undefined;
      isControlled = isPlain && serving.controlsCalls(table.configuration.routes, service);
      this.#controlled.set(service, isControlled);
    }
    return isControlled;
  }

  /**
   * @param call - a request
   * @param ready - the endpoints that may get it, at least one
   * @returns the endpoint and the predicted time in milliseconds, or why there is none
   */
  choose(
    call: DecidedCall,
    ready: readonly serving.Endpoint[],
  ): neverthrow.Result<{ readonly endpoint: serving.Endpoint; readonly predictedMs: number }, CallRefusal> {
    const { draw, isLimited, metrics } = this.#parts;
    const now = performance.now();
    const { freshness, endpoints: all } = this.#known(ready, call.objectiveMs, now);
    const endpoints = serving.preferOwnRegion(this.#parts.distances, all);
    const place = this.#placeOf(call, all);
    const room = { freshness, isLate: now > place.inTimeUntil, isSetBack: call.order.isSetBack };
    const freed = all.find(({ endpoint }) => endpoint.id === call.freed?.id);
    const freedMs = freed === undefined ? Infinity : serving.predictCallMs(freed);
    if (freed !== undefined && serving.mayHandOn(freed, room) && freedMs <= call.deadlineAt - now)
      return neverthrow.ok({ endpoint: freed.endpoint, predictedMs: freedMs });
    const queue = this.#queues.get(call.service);
    const decided = serving.decideCall({
      ...room,
      endpoints: endpoints.map((each) => ({ ...each, isLimited: isLimited(each.endpoint) })),
      ahead: call.isNext ? 0 : (queue?.countBefore(place, now) ?? 0),
      hasWaited: call.isNext,
      isQueueFull: queue !== undefined && queue.isFull && queue.displacedBy(place, now) === undefined,
      isLearned: this.#times.isLearned(call.service),
      remainingMs: call.deadlineAt - now,
      draw,
    });
    if (decided.isErr()) {
      metrics.count("calls_rejected_early");
      this.#logDecision("call-rejected", call, endpoints, decided.error);
      return neverthrow.err({ reason: "calls-full", retryAfterMs: decided.error.retryAfterMs });
    }
    const { endpoint, predictedMs } = decided.value;
    if (endpoint !== undefined) return neverthrow.ok({ endpoint, predictedMs });
    if (!call.isNext) this.#logDecision("call-wait", call, endpoints, decided.value);
    return neverthrow.err({ reason: "calls-waiting", waitsForRoom: true });
  }

  /** @param call - waits from now on, until it is resumed or removed */
  wait(call: WaitingCall): void {
    const queue = this.#queues.get(call.service) ?? new serving.CallQueue<WaitingCall>();
    this.#queues.set(call.service, queue);
    const now = performance.now();
    const { endpoints } = this.#known(call.candidates(), call.objectiveMs, now);
    const place = this.#placeOf(call, endpoints);
    const displaced = queue.displacedBy(place, now);
    if (displaced !== undefined) queue.remove(displaced);
    queue.add(call, place);
    this.#scheduleCheck();
    if (displaced === undefined) return;
    this.#parts.metrics.count("calls_displaced");
    displaced.resumeCall();
  }

  /** @param call - a request that is over */
  remove(call: WaitingCall): void {
    if (this.#queues.get(call.service)?.remove(call) === true) this.#dropIfEmpty(call.service);
  }

  /**
   * Learns from an answer, and lets the next request that waits take the slot.
   *
   * @param endpoint - the endpoint that has answered
   * @param tookMs - time from the send to the answer, in milliseconds
   * @param running - requests of all daemons that ran there after the send, this one included
   */
  noteAnswer(endpoint: serving.Endpoint, tookMs: number, running: number): void {
    if (!this.controls(endpoint.service)) return;
    const workMs = Math.max(1, tookMs - this.#networkMs(endpoint));
    this.#times.learn(endpoint, workMs, running);
    this.#limitOf(endpoint).onAnswer({ tookMs: workMs, running }, performance.now());
    // The answer is passed on to its caller first.
    if (this.#queues.has(endpoint.service)) setImmediate(() => this.#handOn(endpoint));
  }

  /**
   * Learns from a request that has reached its deadline without an answer.
   *
   * @param endpoint - the endpoint that it was sent to
   * @param waitedMs - time since the send, in milliseconds
   * @param running - requests of all daemons that ran there after the send, this one included
   */
  noteUnanswered(endpoint: serving.Endpoint, waitedMs: number, running: number): void {
    if (!this.controls(endpoint.service)) return;
    this.#times.learnAtLeast(endpoint, waitedMs, running);
    this.#limitOf(endpoint).onAnswer({ tookMs: waitedMs, running }, performance.now());
  }

  /** @param endpoint - an endpoint that has declined a request without running it */
  noteDeclined(endpoint: serving.Endpoint): void {
    if (this.controls(endpoint.service)) this.#limitOf(endpoint).onDeclined(performance.now());
  }

  /** @param endpointId - an endpoint that is gone, or has restarted */
  forget(endpointId: string): void {
    this.#limits.delete(endpointId);
    this.#times.forget(endpointId);
    this.#estimates.forget(endpointId);
  }

  #known(endpoints: readonly serving.Endpoint[], objectiveMs: number, now: number): KnownEndpoints {
    const { loads } = this.#parts;
    const counted = endpoints.map((endpoint) => {
      const { id, slots } = endpoint;
      const own = loads.ownRunning(id);
      const peers = Math.max(0, loads.runningRequests(id, now) - own);
      return { id, slots, own, peers, serviceMs: this.#times.serviceMs(endpoint, objectiveMs) };
    });
    const peers = this.#parts.senders() - 1;
    const heartbeatMs = peers <= 0 ? 0 : serving.heartbeatIntervalMs(peers);
    const { freshness, running } = this.#estimates.estimate(counted, heartbeatMs, now);
    const known = endpoints.map((endpoint, index) => ({
      endpoint,
      slots: endpoint.slots,
      running: running[index] ?? 0,
      limit: this.#limitOf(endpoint).limit(now),
      serviceMs: counted[index]?.serviceMs ?? objectiveMs,
      networkMs: this.#networkMs(endpoint),
    }));
    return { freshness, endpoints: known };
  }

  #placeOf(
    call: Pick<WaitingCall, "arrivedAt" | "deadlineAt" | "objectiveMs" | "order">,
    endpoints: KnownEndpoints["endpoints"],
  ): serving.CallPlace {
    return { level: call.order.level, deadlineAt: call.deadlineAt, inTimeUntil: serving.inTimeUntil(call, endpoints) };
  }

  /** An endpoint that states other slots has another capacity, and its limit is learned anew. */
  #limitOf({ id, slots }: serving.Endpoint): serving.ConcurrencyLimit {
    const known = this.#limits.get(id);
    if (known?.slots === slots) return known.limit;
    const limit = new serving.GradientLimit(slots);
    this.#limits.set(id, { slots, limit });
    return limit;
  }

  #networkMs({ dataCentre }: serving.Endpoint): number {
    const { distances } = this.#parts;
    if (distances !== undefined) return distances.roundTripMs(dataCentre);
    return dataCentre === this.#parts.dataCentre ? 0 : REMOTE_MS;
  }

  #handOn(endpoint: serving.Endpoint): void {
    const now = performance.now();
    const queue = this.#queues.get(endpoint.service);
    const next = queue?.inOrder(now).find((call) => call.candidates().some(({ id }) => id === endpoint.id));
    if (next === undefined) return;
    const { freshness, endpoints } = this.#known([endpoint], next.objectiveMs, now);
    const room = { freshness, isLate: now > this.#placeOf(next, endpoints).inTimeUntil, ...next.order };
    if (!endpoints.every((each) => serving.mayHandOn(each, room))) return;
    this.#resume(next, endpoint);
    this.#dropIfEmpty(endpoint.service);
  }

  #scheduleCheck(): void {
    if (this.#isChecking) return;
    this.#isChecking = true;
    setTimeout(() => {
      this.#isChecking = false;
      for (const service of [...this.#queues.keys()]) this.#check(service);
      if (this.#queues.size > 0) this.#scheduleCheck();
    }, CHECK_MS);
  }

  /** Resumes the requests for which there is room, and those that can no longer be answered in time. */
  #check(service: string): void {
    const queue = this.#queues.get(service);
    for (const call of queue?.inOrder(performance.now()) ?? []) {
      const now = performance.now();
      const { freshness, endpoints } = this.#known(call.candidates(), call.objectiveMs, now);
      const room = { freshness, isLate: now > this.#placeOf(call, endpoints).inTimeUntil, ...call.order };
      const leastMs = Math.min(...endpoints.map(({ serviceMs, networkMs }) => serviceMs + networkMs));
      const hasRoom = endpoints.some((each) => serving.hasRoom(each, room));
      if (!hasRoom && call.deadlineAt - now >= leastMs) break;
      if (!this.#resume(call)) break;
    }
    this.#dropIfEmpty(service);
  }

  /** @returns whether the request no longer waits */
  #resume(call: WaitingCall, freed?: serving.Endpoint): boolean {
    const queue = this.#queues.get(call.service);
    if (queue?.remove(call) !== true) return true;
    call.resumeCall(freed);
    return !queue.has(call);
  }

  #dropIfEmpty(service: string): void {
    if (this.#queues.get(service)?.size === 0) this.#queues.delete(service);
  }

  #logDecision(
    event: "call-wait" | "call-rejected",
    call: DecidedCall,
    endpoints: readonly serving.CallEndpoint<serving.Endpoint>[],
    decided: { readonly predictedMs: number; readonly retryAfterMs?: number },
  ): void {
    const sumOf = (valueOf: (each: serving.CallEndpoint<serving.Endpoint>) => number): number =>
      endpoints.reduce((sum, each) => sum + valueOf(each), 0);
    this.#parts.log.info(event, {
      id: call.id,
      service: call.service,
      ...call.standing,
      endpoints: endpoints.length,
      limit: sumOf(({ limit }) => limit),
      running: Math.round(sumOf(({ running }) => running)),
      waiting: this.#queues.get(call.service)?.size ?? 0,
      isLearned: this.#times.isLearned(call.service),
      predictedMs: Math.round(decided.predictedMs),
      leftMs: Math.round(call.deadlineAt - performance.now()),
      returnAfterMs: decided.retryAfterMs === undefined ? undefined : Math.round(decided.retryAfterMs),
    });
  }
}
