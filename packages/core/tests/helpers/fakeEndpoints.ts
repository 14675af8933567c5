import type * as common from "@camphorcourse/common";
import * as core from "../../src/index.js";
import type * as simulations from "./simulation.js";

/** Time that a call runs, in ways of a call. */
const RUN_CALLS = 5;

/** What an endpoint carried out, in order. */
export interface Execution {
  readonly endpoint: string;
  readonly request: string;
  readonly key: string;
  readonly attempt: string;
}

/** The final word that a caller got. */
export interface CallerResult {
  readonly request: string;
  readonly key: string;
  readonly outcome: "answered" | common.Outcome;
  readonly problem?: common.Problem;
}

/** The endpoints that run calls, and the callers that hear of them. */
export class FakeEndpoints {
  readonly executions: Execution[] = [];
  readonly callerResults: CallerResult[] = [];
  readonly #round: simulations.Simulation;
  readonly #inFlight = new Map<string, Set<string>>();
  readonly #keys = new Map<string, string>();

  /** @param round - time, draws and faults */
  constructor(round: simulations.Simulation) {
    this.#round = round;
  }

  /** @param request - a request that a caller sends */
  noteRequest(request: core.RequestDescription): void {
    this.#keys.set(request.id, request.key ?? "");
  }

  /**
   * @param endpoint - an endpoint
   * @returns requests that run there
   */
  runningAt(endpoint: string): number {
    return this.#inFlight.get(endpoint)?.size ?? 0;
  }

  /**
   * @param action - what is sent to an endpoint
   * @param onSent - called before it is on its way
   * @param reply - told how it ended
   */
  dispatch(action: core.DispatchAction, onSent: () => void, reply: simulations.Reply): void {
    const { request, attempt, endpoint } = action;
    const draw = this.#round.random.next();
    onSent();
    this.#round.afterCall(() => {
      if (draw < this.#round.faults.endpointRefuses) {
        reply({ type: core.EventType.AttemptFailed, request, attempt, outcome: core.SendOutcome.NotRun });
        return;
      }
      this.executions.push({ endpoint, request, key: this.#keys.get(request) ?? "", attempt });
      const here = this.#inFlight.get(endpoint) ?? new Set<string>();
      this.#inFlight.set(endpoint, here.add(request));
      this.#round.time.after(this.#round.callMs() * RUN_CALLS, () => {
        here.delete(request);
        if (draw > 1 - this.#round.faults.endpointLost) {
          reply({ type: core.EventType.AttemptFailed, request, attempt, outcome: core.SendOutcome.MayHaveRun });
          return;
        }
        const answer = { status: 200, contentType: "text/plain", body: Buffer.from(attempt) };
        this.recordCallerResult(request, "answered");
        reply({ type: core.EventType.AnswerDone, request, attempt, outputTokens: 1, answer });
      });
    });
  }

  /**
   * @param request - the request
   * @param outcome - what its caller is told
   * @param problem - why it was refused
   */
  recordCallerResult(request: string, outcome: CallerResult["outcome"], problem?: common.Problem): void {
    this.callerResults.push({ request, key: this.#keys.get(request) ?? "", outcome, ...(problem ? { problem } : {}) });
  }
}
