/** Weight of the newest answer in the moving average of an endpoint's service time. */
const WEIGHT = 0.1;

/** Answers after which a service's times count as learned. */
const LEARNED_AFTER = 5;

/** Service time until an answer is known, as a share of the route's objective. */
const PRIOR_SHARE = 0.25;

interface Mean {
  meanMs: number;
  answers: number;
}

/** An endpoint, and what decides how long its requests wait in it. */
export interface TimedEndpoint {
  readonly id: string;
  readonly service: string;
  readonly slots: number;
}

/** Learns the time that plain endpoints take for a request that doesn't wait in them. */
export class ServiceTimes {
  readonly #endpoints = new Map<string, Mean>();
  readonly #services = new Map<string, Mean>();

  /**
   * @param endpoint - an endpoint that has answered
   * @param tookMs - time from the send to the answer, without the network, in milliseconds
   * @param running - requests that ran there after the send, this one included
   */
  learn(endpoint: TimedEndpoint, tookMs: number, running: number): void {
    const beyond = Math.max(0, running - endpoint.slots);
    const serviceMs = Math.max(1, tookMs / (1 + beyond / Math.max(1, endpoint.slots)));
    for (const [means, key] of [
      [this.#endpoints, endpoint.id],
      [this.#services, endpoint.service],
    ] as const)
      learnMean(means, key, serviceMs);
  }

  /**
   * Learns from a request that ended without an answer: it would have taken longer than it has waited.
   *
   * @param endpoint - the endpoint
   * @param waitedMs - time that it has waited, in milliseconds
   * @param running - requests that ran there after the send, this one included
   */
  learnAtLeast(endpoint: TimedEndpoint, waitedMs: number, running: number): void {
    const knownMs = this.#endpoints.get(endpoint.id)?.meanMs ?? 0;
    if (waitedMs > knownMs) this.learn(endpoint, waitedMs, running);
  }

  /**
   * @param endpoint - an endpoint
   * @param objectiveMs - objective of the request's route, from which the time is estimated until one is known
   * @returns its service time in milliseconds; that of its service until it has answered
   */
  serviceMs({ id, service }: TimedEndpoint, objectiveMs: number): number {
    const known = this.#endpoints.get(id) ?? this.#services.get(service);
    return known?.meanMs ?? Math.max(1, objectiveMs * PRIOR_SHARE);
  }

  /**
   * @param service - a service
   * @returns whether enough of its endpoints' answers are known to predict from
   */
  isLearned(service: string): boolean {
    return (this.#services.get(service)?.answers ?? 0) >= LEARNED_AFTER;
  }

  /** @param endpointId - an endpoint that is gone */
  forget(endpointId: string): void {
    this.#endpoints.delete(endpointId);
  }

  /** @param services - names of the services of the configuration in force; the times of others are dropped */
  retainServices(services: ReadonlySet<string>): void {
    for (const service of this.#services.keys()) if (!services.has(service)) this.#services.delete(service);
  }
}

function learnMean(means: Map<string, Mean>, key: string, valueMs: number): void {
  const mean = means.get(key) ?? { meanMs: valueMs, answers: 0 };
  mean.answers++;
  mean.meanMs += (valueMs - mean.meanMs) * Math.max(WEIGHT, 1 / mean.answers);
  means.set(key, mean);
}
