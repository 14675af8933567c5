import * as common from "@camphorcourse/common";
import * as events from "./events.js";

const UNAVAILABLE_RETRY_MS = 2000;
const REFUSED_JOIN_RETRY_MS = 1000;

/** @returns the problem of a key that comes with another request's body */
export function keyReused(): common.Problem {
  return common.problem(common.ProblemKind.KeyReused, "the Idempotency-Key was used for another request");
}

/** @returns the problem of a claim that can't be written */
export function claimUnavailable(): common.Problem {
  const detail = "the claim that keeps this call from running twice can't be written now";
  return common.problem(common.ProblemKind.KeyValueUnavailable, detail, { retryAfterMs: UNAVAILABLE_RETRY_MS });
}

/**
 * @param verdict - how a join ended without an answer
 * @returns what the duplicate's caller is told
 */
export function joinProblem(verdict: events.JoinVerdict): common.Problem {
  switch (verdict) {
    case events.JoinVerdict.KeyReused:
      return keyReused();
    case events.JoinVerdict.NotKept:
    case events.JoinVerdict.Answered:
      return common.problem(common.ProblemKind.AnswerNotKept, "the call ran; its answer is no longer kept", {
        outcome: common.Outcome.Ran,
      });
    case events.JoinVerdict.NotRun:
      return common.problem(common.ProblemKind.Overloaded, "the first attempt of this key was given up before it ran", {
        retryAfterMs: REFUSED_JOIN_RETRY_MS,
      });
    default:
      return common.problem(
        common.ProblemKind.ClaimantLost,
        "the daemon that ran this key's call can't tell its outcome",
        {
          outcome: common.Outcome.Unknown,
        },
      );
  }
}
