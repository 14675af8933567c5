import type * as common from "@camphorcourse/common";
import type * as attempts from "./attempts.js";
import type * as claims from "./claims.js";
import type * as configuration from "./configuration.js";
import type * as events from "./events.js";
import type * as keyValue from "./keyValueTypes.js";
import type * as membership from "./membership.js";
import type * as endpointModel from "./endpointModel.js";
import type * as timeline from "./timeline.js";

/** The kinds of action that the core asks its host process to carry out. */
export enum ActionType {
  Dispatch = "dispatch",
  CancelAttempt = "cancel-attempt",
  Refuse = "refuse",
  Relay = "relay",
  AskClaim = "ask-claim",
  AskJoin = "ask-join",
  AnswerJoin = "answer-join",
  AnswerClaims = "answer-claims",
  RenewLease = "renew-lease",
  Transact = "transact",
  ReadKeys = "read-keys",
  PushRecords = "push-records",
  SendOrder = "send-order",
  AskDepose = "ask-depose",
  Note = "note",
}

/** Where the decode engine fetches a prompt's KV cache from. */
export interface Handoff {
  readonly url: string;
  readonly attempt: string;
}

/** Sends one part of a request to an endpoint. */
export interface DispatchAction {
  readonly type: ActionType.Dispatch;
  readonly request: string;
  /** Unique id of the attempt; the answer must carry it. */
  readonly attempt: string;
  readonly endpoint: string;
  readonly url: string;
  readonly part: endpointModel.RequestPart;
  /** Milliseconds left until the request's deadline. */
  readonly timeoutMs: number;
  readonly handoff?: Handoff;
}

/** Sends a role order, if `Core.maySendOrder` still allows it in the same event-loop step as the write. */
export interface SendOrderAction {
  readonly type: ActionType.SendOrder;
  readonly endpoint: string;
  readonly url: string;
  readonly shard: string;
  readonly epoch: number;
  readonly number: number;
  readonly role: configuration.EndpointRole;
}

/** An action that the core asks its host process to carry out. */
export type Action =
  | DispatchAction
  | SendOrderAction
  | {
      readonly type: ActionType.CancelAttempt;
      readonly request: string;
      readonly attempt: string;
      readonly url: string;
    }
  | { readonly type: ActionType.Refuse; readonly request: string; readonly problem: common.Problem }
  | { readonly type: ActionType.Relay; readonly request: string; readonly answer: attempts.KeptAnswer }
  /** Asks the partition's preferred daemon; if it is unreachable, the claim is returned to the core as ClaimsAsked. */
  | { readonly type: ActionType.AskClaim; readonly claim: claims.Claim; readonly peerUrl: string }
  | {
      readonly type: ActionType.AskJoin;
      readonly request: string;
      readonly key: string;
      readonly digest: string;
      readonly owner: attempts.AttemptOwner;
      readonly asker: attempts.AttemptOwner;
      readonly timeoutMs: number;
    }
  | {
      readonly type: ActionType.AnswerJoin;
      readonly join: string;
      readonly verdict: events.JoinVerdict;
      readonly answer?: attempts.KeptAnswer;
      readonly movedTo?: attempts.AttemptOwner;
    }
  | { readonly type: ActionType.AnswerClaims; readonly answers: readonly claims.ClaimAnswer[] }
  | { readonly type: ActionType.RenewLease; readonly lease?: string }
  | { readonly type: ActionType.Transact; readonly token: string; readonly transaction: keyValue.Transaction }
  | { readonly type: ActionType.ReadKeys; readonly token: string; readonly prefix: string }
  | {
      readonly type: ActionType.PushRecords;
      readonly to: membership.Registration;
      readonly records: readonly keyValue.KeyRecord[];
      readonly completeRevision: number;
    }
  | {
      readonly type: ActionType.AskDepose;
      readonly vm: string;
      readonly peerUrl: string;
      readonly shard: string;
      readonly epoch: number;
    }
  | { readonly type: ActionType.Note; readonly note: timeline.TimelineNote };
