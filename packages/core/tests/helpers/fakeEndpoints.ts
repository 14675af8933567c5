import type * as common from "@camphorcourse/common";
import * as core from "../../src/index.js";
import type * as simulations from "./simulation.js";

/** Run time of a call, as a multiple of a drawn network latency. */
const RUN_LATENCIES = 5;

/** One execution of a request at an endpoint. */
export interface Execution {
  readonly endpoint: string;
  readonly request: string;
  readonly key: string;
  readonly attempt: string;
}

/** The final result that a caller got. */
export interface CallerResult {
  readonly request: string;
  readonly key: string;
  readonly outcome: "answered" | common.Outcome;
  readonly problem?: common.Problem;
}

/** Fake endpoints that run calls, and the results that their callers get. */
export class FakeEndpoints {
  readonly executions: Execution[] = [];
  readonly callerResults: CallerResult[] = [];
  readonly #simulation: simulations.Simulation;
  readonly #inFlight = new Map<string, Set<string>>();
  readonly #keys = new Map<string, string>();

  /** @param simulation - shared time, random numbers and faults */
  constructor(simulation: simulations.Simulation) {
    this.#simulation = simulation;
  }

  /**
   * Records the key of a request.
   *
   * @param request - a request that a caller sends
   */
  noteRequest(request: core.RequestDescription): void {
    this.#keys.set(request.id, request.key ?? "");
  }

  /**
   * @param endpoint - an endpoint
   * @returns number of requests that run there
   */
  runningAt(endpoint: string): number {
    return this.#inFlight.get(endpoint)?.size ?? 0;
  }

  /**
   * @param action - the request to an endpoint
   * @param onSent - called before the request is sent
   * @param reply - receives the outcome
   */
  dispatch(action: core.DispatchAction, onSent: () => void, reply: simulations.Reply): void {
    const { request, attempt, endpoint } = action;
    const draw = this.#simulation.random.next();
    onSent();
    this.#simulation.afterCall(() => {
      if (draw < this.#simulation.faults.endpointRefuses) {
        reply({ type: core.EventType.AttemptFailed, request, attempt, delivery: core.DeliveryStatus.NotRun });
        return;
      }
      this.executions.push({ endpoint, request, key: this.#keys.get(request) ?? "", attempt });
      const inFlight = this.#inFlight.get(endpoint) ?? new Set<string>();
      this.#inFlight.set(endpoint, inFlight.add(request));
      this.#simulation.time.after(this.#simulation.callMs() * RUN_LATENCIES, () => {
        inFlight.delete(request);
        if (draw > 1 - this.#simulation.faults.endpointLost) {
          reply({ type: core.EventType.AttemptFailed, request, attempt, delivery: core.DeliveryStatus.MayHaveRun });
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
   * @param outcome - outcome that its caller gets
   * @param problem - problem that its caller gets, if it was refused
   */
  recordCallerResult(request: string, outcome: CallerResult["outcome"], problem?: common.Problem): void {
    this.callerResults.push({ request, key: this.#keys.get(request) ?? "", outcome, ...(problem ? { problem } : {}) });
  }
}
