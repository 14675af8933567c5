import * as common from "@camphorcourse/common";
import * as events from "./events.js";

const UNAVAILABLE_RETRY_MS = 2000;
const NOT_RUN_RETRY_MS = 1000;

/** @returns the problem of an idempotency key that was used with a different request */
export function keyReused(): common.Problem {
  return common.problem(common.ProblemKind.KeyReused, "the Idempotency-Key was already used for a different request");
}

/** @returns the problem of a claim that can't be written to the key-value service */
export function claimUnavailable(): common.Problem {
  const detail = "the claim that prevents this call from running twice can't be written now";
  return common.problem(common.ProblemKind.KeyValueUnavailable, detail, { retryAfterMs: UNAVAILABLE_RETRY_MS });
}

/**
 * @param verdict - outcome of a join that got no answer
 * @returns the problem for the duplicate's caller
 */
export function joinProblem(verdict: events.JoinVerdict): common.Problem {
  switch (verdict) {
    case events.JoinVerdict.KeyReused:
      return keyReused();
    case events.JoinVerdict.NotKept:
    case events.JoinVerdict.Answered:
      return common.problem(common.ProblemKind.AnswerNotKept, "the call ran, but its answer is no longer stored", {
        outcome: common.Outcome.Ran,
      });
    case events.JoinVerdict.NotRun:
      return common.problem(
        common.ProblemKind.Overloaded,
        "the first attempt with this key was abandoned before it ran",
        {
          retryAfterMs: NOT_RUN_RETRY_MS,
        },
      );
    default:
      return common.problem(
        common.ProblemKind.ClaimantLost,
        "the daemon that ran the call with this key can't determine its outcome",
        {
          outcome: common.Outcome.Unknown,
        },
      );
  }
}
