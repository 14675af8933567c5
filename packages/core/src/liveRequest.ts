import type * as common from "@camphorcourse/common";
import type * as actions from "./actions.js";
import type * as attempts from "./attempts.js";
import type * as claims from "./claims.js";
import type * as events from "./events.js";
import type * as endpointModel from "./endpointModel.js";
import type * as servicePool from "./servicePool.js";

/** Where a request stands. */
export enum RequestPhase {
  Claiming = "claiming",
  /** Waits for the answer of another attempt of its key. */
  Joining = "joining",
  Queued = "queued",
  Prefilling = "prefilling",
  /** Its KV cache is ready; it waits for a place at a decoding endpoint. */
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
  /** The caller went away after it had received a part. */
  abandoned: boolean;
  firstTokenSeen: boolean;
}

/** What the desk asks of its surroundings. */
export interface RequestManagerContext {
  readonly vm: string;
  readonly incarnation: string;
  readonly random: common.SeededRandom;
  poolOf(service: string): servicePool.ServicePool | undefined;
  urlOf(endpoint: string): string | undefined;
  /** The answer comes with `DuplicateDesk.onClaimAnswered`. */
  requestClaim(request: string, claim: claims.Claim): void;
  emit(action: actions.Action): void;
}
