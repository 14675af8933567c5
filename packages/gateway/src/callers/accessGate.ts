import * as serving from "@camphorcourse/serving";
import type * as callerAnswers from "../callerAnswer.js";
import type * as callerRequests from "../callerRequest.js";
import type * as contexts from "../context.js";

/** Retry-After value while the configuration may be outdated, in seconds: about the time to receive a newer one. */
export const OUTDATED_RETRY_AFTER = "1.000";

const DETAILS: Readonly<Record<serving.AccessProblem, string>> = {
  [serving.AccessProblem.MissingKey]: "this route requires an API key; send one",
  [serving.AccessProblem.MalformedCredential]: "the credential is not exactly one valid API key; correct it",
  [serving.AccessProblem.UnknownKey]: "no organisation holds this API key; use a valid one",
  [serving.AccessProblem.UnconfirmedKey]:
    "this API key is not known here, and a newer configuration may exist; retry after Retry-After",
};

/** Admits requests by their API keys, and answers those that are not admitted. */
export class AccessGate {
  readonly #context: contexts.ServingContext;

  /** @param context - dependencies shared by all requests */
  constructor(context: contexts.ServingContext) {
    this.#context = context;
  }

  /**
   * @param request - the request
   * @param route - the route that matched
   * @param table - the configuration in force
   * @param answer - answered with an error if the request is not admitted
   * @returns on whose behalf the request is served; undefined if it is not admitted
   */
  admit(
    request: callerRequests.CallerRequest,
    route: serving.Route,
    table: serving.RouteTable,
    answer: callerAnswers.CallerAnswer,
  ): serving.Access | undefined {
    const { configuration, format, log, metrics, view } = this.#context;
    const { credential, requestId: id } = request.headers;
    const admitted = table.organisations.admit(route, credential, () => configuration.isCurrent);
    if (admitted.isOk()) return admitted.value;
    const problem = admitted.error;
    log.info("access-denied", {
      id,
      route: route.name,
      problem,
      configuration: view.configurationRevision,
      ageMs: Math.round(configuration.ageMs),
    });
    metrics.count("access_denied");
    if (problem === serving.AccessProblem.UnconfirmedKey) {
      const retry = [format.retryAfterHeader, OUTDATED_RETRY_AFTER];
      const proof = serving.NotRunProof.ofUnaccepted();
      answer.reject(proof, serving.RejectionStatus.Unavailable, DETAILS[problem], retry);
    } else {
      answer.refuse(serving.FailureStatus.Unauthorized, DETAILS[problem]);
    }
    return undefined;
  }
}
