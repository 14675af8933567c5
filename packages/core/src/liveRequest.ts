import type * as common from "@camphorcourse/common";
import type * as actions from "./actions.js";
import type * as attempts from "./attempts.js";
import type * as claims from "./claims.js";
import type * as events from "./events.js";
import type * as endpointModel from "./endpointModel.js";
import type * as servicePool from "./servicePool.js";

/** Phase of a live request. */
export enum RequestPhase {
  /** Waits for the claim of its idempotency key. */
  Claiming = "claiming",
  /** Waits for the answer of another attempt with the same key. */
  Joining = "joining",
  Queued = "queued",
  Prefilling = "prefilling",
  /** Prefilled; waits for a slot at a decode endpoint. */
  HandingOff = "handing-off",
  Answering = "answering",
}

/** A request that has no final answer yet. */
export interface LiveRequest {
  readonly description: events.RequestDescription;
  readonly pool: servicePool.ServicePool;
  work: servicePool.Work;
  readonly arrivedAt: number;
  readonly deadline: number;
  readonly idempotent: boolean;
  phase: RequestPhase;
  attemptCount: number;
  attempt: string;
  endpoint?: endpointModel.EndpointModel;
  dispatchedAt: number;
  handoff?: actions.Handoff;
  record?: attempts.AttemptRecord;
  /** The caller has disconnected. */
  abandoned: boolean;
  firstTokenSeen: boolean;
}

/** Dependencies of the request manager on the rest of the daemon. */
export interface RequestManagerContext {
  readonly vm: string;
  readonly incarnation: string;
  readonly random: common.SeededRandom;
  poolOf(service: string): servicePool.ServicePool | undefined;
  urlOf(endpoint: string): string | undefined;
  /** The outcome is passed to `RequestDeduplicator.onClaimAnswered`. */
  requestClaim(request: string, claim: claims.Claim): void;
  emit(action: actions.Action): void;
}
