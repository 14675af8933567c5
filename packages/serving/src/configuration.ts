/** The operators' configuration as the daemons serve by it. */

/** What may be repeated when an answer is lost. */
export enum RequestClass {
  /** May run more than once. */
  Idempotent = "idempotent",
  /** Runs at most once for each attempt of a caller. */
  NonIdempotent = "non-idempotent",
  /** Answered by a series of events; runs at most once unless the route allows resuming. */
  Stream = "stream",
}

/** A share of a route's requests that goes to one service. */
export interface ServiceShare {
  readonly service: string;
  readonly weight: number;
}

/** One route: which requests it takes and how they are treated. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly requestClass: RequestClass;
  /** Whether a broken stream may go on at another endpoint. */
  readonly resumable: boolean;
  /** Whether its requests carry a model's prompt parts. */
  readonly carriesPrompt: boolean;
  /** Longest time a caller is kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** Time within which an answer is in time, in milliseconds; for streams, to the first event. */
  readonly objectiveMs: number;
  /** Longest pause between events that is in time, in milliseconds. */
  readonly pauseMs: number;
  /** Rank among the routes, 0 is the highest. */
  readonly priority: number;
  /** Most endpoints that one attempt of a caller may be sent to. */
  readonly attempts: number;
  readonly shares: readonly ServiceShare[];
}

/** What the engines of a model service can do. */
export interface EngineLimits {
  readonly slots: number;
  readonly memoryTokens: number;
  /** Milliseconds that a handle of a read prompt is kept. */
  readonly handleMs: number;
}

/** A service that routes lead to. */
export interface Service {
  readonly name: string;
  readonly maxConnections: number;
  readonly engine: EngineLimits | undefined;
}

/** What a caller may send, and how long it may take. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A whole configuration. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: CallerLimits;
}
