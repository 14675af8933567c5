/** The operators' configuration, in the form that the daemons serve by. */

/** Whether a request may be retried when its answer is lost. */
export enum RequestClass {
  /** May run more than once. */
  Idempotent = "idempotent",
  /** Runs at most once for each attempt of a caller. */
  NonIdempotent = "non-idempotent",
  /** Answered by a stream of events; runs at most once unless the route allows resuming. */
  Stream = "stream",
}

/** A share of a route's requests that goes to one service. */
export interface ServiceShare {
  readonly service: string;
  readonly weight: number;
}

/** A route: which requests it matches and how they are treated. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly requestClass: RequestClass;
  /** Whether a broken stream may be resumed at another endpoint. */
  readonly resumable: boolean;
  /** Whether its requests carry the parts of a model prompt. */
  readonly carriesPrompt: boolean;
  /** Maximum time that a caller waits for the answer, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective of an answer, in milliseconds; for streams, of the first event. */
  readonly objectiveMs: number;
  /** Maximum time between events that meets the objective, in milliseconds. */
  readonly pauseMs: number;
  /** Priority among the routes, 0 is the highest. */
  readonly priority: number;
  /** Maximum number of endpoints that one attempt of a caller may be sent to. */
  readonly attempts: number;
  readonly shares: readonly ServiceShare[];
  /** Whether requests need no key, in a configuration with organisations. */
  readonly isPublic: boolean;
}

/** An organisation whose callers present one of its keys. */
export interface Organisation {
  readonly name: string;
  /** Digests of the keys that are valid at the same time. */
  readonly keyDigests: readonly string[];
  /** Priority of its requests in place of the route's priority, 0 is the highest; undefined for the route's. */
  readonly priority: number | undefined;
}

/** Limits of the engines of a model service. */
export interface EngineLimits {
  readonly slots: number;
  readonly memoryTokens: number;
  /** Time for which the handle of a prefilled prompt is kept, in milliseconds. */
  readonly handleMs: number;
  /** Whether the engines can copy a run to another engine, where it goes on. */
  readonly moves?: boolean;
  /** Whether the engines can keep a copy of a run at a second engine. */
  readonly backups?: boolean;
}

/** Limits and prices of the engines of a service whose number the system controls. */
export interface ScalingLimits {
  /** Fewest engines in a data centre. */
  readonly min: number;
  /** Most engines in a data centre, on-demand and reclaimable ones together. */
  readonly max: number;
  /** Time from an order until a new engine serves, in milliseconds. */
  readonly bootMs: number;
  /** Price of a reclaimable engine, as a share of the price of an on-demand one; undefined if there are none. */
  readonly reclaimablePrice: number | undefined;
  /** Price of a second of an on-demand engine, by data centre. */
  readonly prices: ReadonlyMap<string, number>;
}

/** A service that requests are routed to. */
export interface Service {
  readonly name: string;
  readonly maxConnections: number;
  readonly engine: EngineLimits | undefined;
  /** Limits on the number of engines that the system may order; undefined if it may order none. */
  readonly scaling?: ScalingLimits;
}

/** Size limits and timeouts for requests of callers. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A complete configuration. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: CallerLimits;
  /** Organisations with access; undefined if anyone has. */
  readonly organisations?: readonly Organisation[];
}
