/** The typed errors of the product and how each is told to a caller. */

/** What became of a request that was not answered with a result. */
export enum Outcome {
  /** No endpoint began it. Said only when nothing was dispatched or the endpoint itself says so. */
  NotRun = "not-run",
  /** It ran, and its answer can't be given. */
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
  Busy = "change-in-progress",
  Internal = "internal",
}

interface KindText {
  readonly status: number;
  readonly remedy: string;
}

const KIND_TEXTS: Record<ProblemKind, KindText> = {
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
  [ProblemKind.KeyReused]: { status: 422, remedy: "use a fresh Idempotency-Key for a different request" },
  [ProblemKind.Overloaded]: { status: 429, remedy: "come back after Retry-After" },
  [ProblemKind.DeadlineUnreachable]: { status: 503, remedy: "come back after Retry-After, or allow a longer timeout" },
  [ProblemKind.NoEndpoint]: {
    status: 503,
    remedy: "come back after Retry-After; the operator checks 'camphorcourse endpoint list'",
  },
  [ProblemKind.Leaving]: { status: 503, remedy: "ask any daemon for addresses and use another VM" },
  [ProblemKind.Starting]: {
    status: 503,
    remedy: "come back after Retry-After; the daemon has not read the configuration yet",
  },
  [ProblemKind.Isolated]: {
    status: 503,
    remedy: "use another VM; this one is cut off from its peers and the key-value service",
  },
  [ProblemKind.KeyValueUnavailable]: {
    status: 503,
    remedy: "come back after Retry-After with the same Idempotency-Key",
  },
  [ProblemKind.ClaimantLost]: {
    status: 502,
    remedy: "check whether the call took effect before sending it under a new key",
  },
  [ProblemKind.AnswerNotKept]: {
    status: 409,
    remedy: "the call ran; its answer was too large or too old to keep, look up its effect",
  },
  [ProblemKind.EndpointFailed]: { status: 502, remedy: "see the outcome; an idempotent request can be sent again" },
  [ProblemKind.Interrupted]: {
    status: 502,
    remedy: "discard the partial answer and send the request again if it is idempotent",
  },
  [ProblemKind.Conflict]: { status: 409, remedy: "read the configuration again, merge both sides and apply" },
  [ProblemKind.InvalidConfiguration]: { status: 422, remedy: "correct the named path in the document and apply again" },
  [ProblemKind.InvalidSetting]: { status: 400, remedy: "correct the flag or its environment variable and start again" },
  [ProblemKind.Busy]: { status: 409, remedy: "wait until the change under way on this endpoint has ended" },
  [ProblemKind.Internal]: { status: 500, remedy: "report the detail with the daemon's log" },
};

/** A typed error: what happened, what became of the request, and what to do. */
export interface Problem {
  readonly kind: ProblemKind;
  readonly detail: string;
  readonly remedy: string;
  readonly status: number;
  readonly outcome: Outcome;
  /** Milliseconds after which to come back, where coming back helps. */
  readonly retryAfterMs?: number;
}

/** What may be said of a problem beyond its kind and detail. */
export interface ProblemOptions {
  readonly outcome?: Outcome;
  readonly retryAfterMs?: number;
  readonly remedy?: string;
}

/**
 * @param kind - the kind of error
 * @param detail - what happened, in this case
 * @param options - outcome (by default not run), time to come back, a remedy of its own
 * @returns the problem
 */
export function problem(kind: ProblemKind, detail: string, options: ProblemOptions = {}): Problem {
  const text = KIND_TEXTS[kind];
  return {
    kind,
    detail,
    remedy: options.remedy ?? text.remedy,
    status: text.status,
    outcome: options.outcome ?? Outcome.NotRun,
    ...(options.retryAfterMs === undefined ? {} : { retryAfterMs: Math.ceil(options.retryAfterMs) }),
  };
}

/** @returns each kind with its status and remedy, for the operators' page */
export function describeKinds(): { kind: ProblemKind; status: number; remedy: string }[] {
  return Object.values(ProblemKind).map((kind) => ({ kind, ...KIND_TEXTS[kind] }));
}
