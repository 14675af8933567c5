/** The typed errors of the product, with the HTTP status and the remedy that callers get. */

/** Whether a request that failed was run. */
export enum Outcome {
  /** No endpoint started it. Reported only if it was not dispatched or the endpoint itself says so. */
  NotRun = "not-run",
  /** It ran, but its answer is not available. */
  Ran = "ran",
  /** It may have run. */
  Unknown = "unknown",
}

/** The kinds of error; docs/operators/errors.md lists each with its remedy. */
export enum ProblemKind {
  BadRequest = "bad-request",
  BodyTooLarge = "body-too-large",
  Unauthorized = "unauthorized",
  Forbidden = "forbidden",
  UnknownService = "unknown-service",
  UnknownEndpoint = "unknown-endpoint",
  KeyReused = "idempotency-key-reused",
  Overloaded = "overloaded",
  DeadlineUnreachable = "deadline-unreachable",
  NoEndpoint = "no-endpoint",
  Leaving = "daemon-leaving",
  Starting = "daemon-starting",
  Isolated = "daemon-isolated",
  KeyValueUnavailable = "key-value-unavailable",
  ClaimantLost = "claimant-lost",
  AnswerNotKept = "answer-not-kept",
  EndpointFailed = "endpoint-failed",
  Interrupted = "answer-interrupted",
  Conflict = "configuration-conflict",
  InvalidConfiguration = "invalid-configuration",
  InvalidSetting = "invalid-setting",
  ChangeInProgress = "change-in-progress",
  Internal = "internal",
}

interface KindDefaults {
  readonly status: number;
  readonly remedy: string;
}

const KIND_DEFAULTS: Record<ProblemKind, KindDefaults> = {
  [ProblemKind.BadRequest]: { status: 400, remedy: "correct the request as the detail says and send it again" },
  [ProblemKind.BodyTooLarge]: { status: 413, remedy: "send a smaller body, or raise --body-limit on the daemons" },
  [ProblemKind.Unauthorized]: { status: 401, remedy: "send the team's token as 'Authorization: Bearer TOKEN'" },
  [ProblemKind.Forbidden]: { status: 403, remedy: "use a token of the team that owns this path" },
  [ProblemKind.UnknownService]: {
    status: 404,
    remedy: "name a service of your team; 'camphorcourse service' lists them",
  },
  [ProblemKind.UnknownEndpoint]: {
    status: 404,
    remedy: "name an endpoint of your team; 'camphorcourse endpoint list' lists them",
  },
  [ProblemKind.KeyReused]: { status: 422, remedy: "use a new Idempotency-Key for a different request" },
  [ProblemKind.Overloaded]: { status: 429, remedy: "retry after the time in Retry-After" },
  [ProblemKind.DeadlineUnreachable]: {
    status: 503,
    remedy: "retry after the time in Retry-After, or allow a longer timeout",
  },
  [ProblemKind.NoEndpoint]: {
    status: 503,
    remedy: "retry after the time in Retry-After; the operator checks 'camphorcourse endpoint list'",
  },
  [ProblemKind.Leaving]: { status: 503, remedy: "ask any daemon for addresses and use another VM" },
  [ProblemKind.Starting]: {
    status: 503,
    remedy: "retry after the time in Retry-After; the daemon has not read the configuration yet",
  },
  [ProblemKind.Isolated]: {
    status: 503,
    remedy: "use another VM; this one reaches neither its peers nor the key-value service",
  },
  [ProblemKind.KeyValueUnavailable]: {
    status: 503,
    remedy: "retry after the time in Retry-After with the same Idempotency-Key",
  },
  [ProblemKind.ClaimantLost]: {
    status: 502,
    remedy: "check whether the call took effect before sending it with a new Idempotency-Key",
  },
  [ProblemKind.AnswerNotKept]: {
    status: 409,
    remedy: "the call ran, but its answer was too large or too old to keep; look up its effect",
  },
  [ProblemKind.EndpointFailed]: { status: 502, remedy: "see the outcome; an idempotent request can be retried" },
  [ProblemKind.Interrupted]: {
    status: 502,
    remedy: "discard the partial answer and retry the request if it is idempotent",
  },
  [ProblemKind.Conflict]: { status: 409, remedy: "read the configuration again, merge your changes into it and apply" },
  [ProblemKind.InvalidConfiguration]: {
    status: 422,
    remedy: "correct the document at the path that the detail names and apply again",
  },
  [ProblemKind.InvalidSetting]: { status: 400, remedy: "correct the flag or its environment variable and start again" },
  [ProblemKind.ChangeInProgress]: {
    status: 409,
    remedy: "wait until the change in progress on this endpoint has ended",
  },
  [ProblemKind.Internal]: { status: 500, remedy: "report the detail together with the daemon's log" },
};

/** A typed error: what happened, whether the request ran, and what to do. */
export interface Problem {
  readonly kind: ProblemKind;
  readonly detail: string;
  readonly remedy: string;
  readonly status: number;
  readonly outcome: Outcome;
  /** Milliseconds to wait before a retry; undefined if a retry does not help. */
  readonly retryAfterMs?: number;
}

/** Optional properties of a problem. */
export interface ProblemOptions {
  readonly outcome?: Outcome;
  readonly retryAfterMs?: number;
  readonly remedy?: string;
}

/**
 * Creates a problem with the status and remedy of its kind.
 *
 * @param kind - the kind of error
 * @param detail - what happened in this case
 * @param options - outcome (by default not run), retry delay, and a remedy that replaces the kind's
 * @returns the problem
 */
export function problem(kind: ProblemKind, detail: string, options: ProblemOptions = {}): Problem {
  const defaults = KIND_DEFAULTS[kind];
  return {
    kind,
    detail,
    remedy: options.remedy ?? defaults.remedy,
    status: defaults.status,
    outcome: options.outcome ?? Outcome.NotRun,
    ...(options.retryAfterMs === undefined ? {} : { retryAfterMs: Math.ceil(options.retryAfterMs) }),
  };
}

/** @returns each kind with its status and remedy, for the operators' documentation */
export function describeKinds(): { kind: ProblemKind; status: number; remedy: string }[] {
  return Object.values(ProblemKind).map((kind) => ({ kind, ...KIND_DEFAULTS[kind] }));
}
