import type * as serving from "@camphorcourse/serving";
import type * as neverthrow from "neverthrow";
import type * as decisionLogs from "../decisionLog.js";

/** What a send asks of its endpoint. */
export enum Stage {
  /** An engine prefills the prompt for another one. */
  Prefill = "reading",
  /** An endpoint answers the request. */
  Answering = "answering",
}

/** A run that goes on with the KV cache that an engine keeps: the one that has stopped it, or the one that has a copy. */
export interface ResumedRun {
  readonly source: serving.Endpoint;
  /** Names the KV cache at the source. */
  readonly handle: string;
  /** Whether it goes back to the source itself. */
  readonly isReturn: boolean;
  /** Whether the source is the engine that has a copy, where the run goes on after its own engine has ended. */
  readonly isBackup?: boolean;
}

/** A send that was decided on. */
export interface PlannedSend {
  readonly endpoint: serving.Endpoint;
  readonly stage: Stage;
  /** Predicted time to the first event in milliseconds, 0 where nothing is predicted. */
  readonly predictedMs: number;
  readonly plan: serving.EnginePlan | undefined;
  /** Present if a run goes on there that was stopped elsewhere. */
  readonly resume?: ResumedRun;
  /** What its admission was based on, as fields of the log; absent where nothing had to be admitted. */
  readonly admission?: decisionLogs.LogFields;
  /** The budget of the engine that decided, as fields of the log; absent where the prompt isn't paced. */
  readonly pacing?: decisionLogs.LogFields;
}

/** Why a request is sent to no endpoint. */
export interface SendRejection {
  readonly reason: string;
  /** Time after which the caller may retry in milliseconds, or undefined for the default. */
  readonly retryAfterMs?: number;
  /** Whether nothing is known that would let a retry succeed. */
  readonly isFinal?: boolean;
  /** The endpoints that could serve it if their limits let it through, if there are any. */
  readonly limited?: serving.LimitedEndpoints;
  /** Time until the first endpoint is back if all of them rest, in milliseconds. */
  readonly restMs?: number;
  /** Whether the request waits until one of the endpoints has room. */
  readonly waitsForRoom?: boolean;
}

/** A planned send, or why there is none. */
export type Choice = neverthrow.Result<PlannedSend, SendRejection>;
