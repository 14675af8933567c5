import type * as attempts from "./attempts.js";
import type * as claims from "./claims.js";
import type * as configuration from "./configuration.js";
import type * as keyValue from "./keyValueTypes.js";
import type * as membership from "./membership.js";

/** Kinds of events that the core processes. */
export enum EventType {
  Tick = "tick",
  RequestArrived = "request-arrived",
  ClaimAnswered = "claim-answered",
  JoinAnswered = "join-answered",
  JoinAsked = "join-asked",
  PrefillDone = "prefill-done",
  FirstToken = "first-token",
  AnswerDone = "answer-done",
  AttemptFailed = "attempt-failed",
  CallerDisconnected = "caller-gone",
  ClaimsAsked = "claims-asked",
  ControlSnapshot = "control-snapshot",
  ControlChanges = "control-changes",
  KeyValueResponded = "key-value-heard",
  KeyValueFailed = "key-value-failed",
  LeaseRenewed = "lease-renewed",
  LeaseLost = "lease-lost",
  Transacted = "transacted",
  KeysRead = "keys-read",
  PeerReported = "peer-heard",
  VmsListed = "vms-listed",
  LoadReported = "load-reported",
  OrderAnswered = "order-answered",
  DeposeAsked = "depose-asked",
  DeposeAnswered = "depose-answered",
  ResumeBegun = "resume-begun",
  ResumeEnded = "resume-ended",
  StopAsked = "stop-asked",
}

/** Whether a failed attempt was sent and may have run. */
export enum DeliveryStatus {
  /** No byte of it was sent. */
  NeverSent = "never-sent",
  /** The endpoint answered that it did not run. */
  NotRun = "not-run",
  MayHaveRun = "may-have-run",
}

/** Outcome of a join, by which a duplicate asks another daemon for the answer of its key's attempt. */
export enum JoinVerdict {
  Answered = "answered",
  /** The attempt never ran there and is handed over: the asker may run it. */
  Ceded = "ceded",
  /** It was already handed over to another attempt. */
  Moved = "moved",
  /** It was abandoned before it ran, while the asker waited. */
  NotRun = "not-run",
  Unknown = "unknown",
  NotKept = "not-kept",
  KeyReused = "key-reused",
}

/** The properties of a caller's request that decisions need. */
export interface RequestDescription {
  readonly id: string;
  readonly team: string;
  /** `team/service`. */
  readonly service: string;
  readonly promptTokens: number;
  readonly maximumOutputTokens: number;
  readonly prefix?: string;
  readonly deadlineMs?: number;
  readonly priority?: number;
  /** Scoped idempotency key, if the caller sent one. */
  readonly key?: string;
  /** Digest of the request, present together with the key. */
  readonly digest?: string;
  /** Equal for equal requests; recognises the retry of a refused request. */
  readonly fingerprint?: string;
}

/** Outcome of an order to an endpoint. */
export enum OrderOutcome {
  Confirmed = "confirmed",
  /** Rejected: the endpoint has seen a newer fencing number. */
  Stale = "stale",
  /** No byte of it was sent. */
  NotSent = "not-sent",
  /** Sent, but the reply was lost; its connection has been reset. */
  Unknown = "unknown",
}

/** Load report of an endpoint. */
export interface LoadReport {
  readonly endpoint: string;
  readonly running: number;
  readonly waiting: number;
  readonly role?: configuration.EndpointRole;
}

/** An event that a daemon passes to its core. */
export type CoreEvent =
  | { readonly type: EventType.Tick }
  | { readonly type: EventType.RequestArrived; readonly request: RequestDescription }
  | {
      readonly type: EventType.ClaimAnswered;
      readonly attempt: string;
      readonly verdict: claims.ClaimVerdict;
      readonly standing?: claims.Claim;
    }
  | {
      readonly type: EventType.JoinAnswered;
      readonly request: string;
      readonly verdict: JoinVerdict;
      readonly answer?: attempts.KeptAnswer;
      readonly movedTo?: attempts.AttemptOwner;
    }
  | {
      readonly type: EventType.JoinAsked;
      readonly join: string;
      readonly key: string;
      readonly digest: string;
      readonly incarnation: string;
      readonly attempt: string;
      readonly asker: attempts.AttemptOwner;
    }
  | { readonly type: EventType.PrefillDone; readonly request: string; readonly attempt: string }
  | { readonly type: EventType.FirstToken; readonly request: string; readonly attempt: string }
  | {
      readonly type: EventType.AnswerDone;
      readonly request: string;
      readonly attempt: string;
      readonly outputTokens: number;
      readonly answer?: attempts.KeptAnswer;
    }
  | {
      readonly type: EventType.AttemptFailed;
      readonly request: string;
      readonly attempt: string;
      readonly delivery: DeliveryStatus;
    }
  | { readonly type: EventType.CallerDisconnected; readonly request: string }
  | { readonly type: EventType.ClaimsAsked; readonly claims: readonly claims.Claim[] }
  | {
      readonly type: EventType.ControlSnapshot;
      readonly records: readonly keyValue.KeyRecord[];
      readonly revision: number;
    }
  | {
      readonly type: EventType.ControlChanges;
      readonly records: readonly keyValue.KeyRecord[];
      /** Set if these are all changes up to this revision. */
      readonly completeRevision?: number;
    }
  | { readonly type: EventType.KeyValueResponded; readonly revision: number }
  | { readonly type: EventType.KeyValueFailed }
  | { readonly type: EventType.LeaseRenewed; readonly lease: string; readonly sentAt: number; readonly ttlMs: number }
  | { readonly type: EventType.LeaseLost }
  | { readonly type: EventType.Transacted; readonly token: string; readonly result: keyValue.TransactionResult }
  | { readonly type: EventType.KeysRead; readonly token: string; readonly records?: readonly keyValue.KeyRecord[] }
  | { readonly type: EventType.PeerReported; readonly report: membership.PeerReport }
  | { readonly type: EventType.VmsListed; readonly vms: ReadonlyMap<string, membership.VmState> }
  | { readonly type: EventType.LoadReported; readonly report: LoadReport }
  | {
      readonly type: EventType.OrderAnswered;
      readonly endpoint: string;
      readonly number: number;
      readonly outcome: OrderOutcome;
    }
  | { readonly type: EventType.DeposeAsked; readonly shard: string; readonly epoch: number }
  | {
      readonly type: EventType.DeposeAnswered;
      readonly vm: string;
      readonly shard: string;
      readonly epoch: number;
      readonly incarnation: string;
      readonly reset: boolean;
    }
  /** A caller resumes, through this daemon, a stream that another daemon started. */
  | { readonly type: EventType.ResumeBegun; readonly resume: string; readonly endpoint: string }
  | { readonly type: EventType.ResumeEnded; readonly resume: string; readonly endpoint: string }
  | { readonly type: EventType.StopAsked };
