import * as callerAnswers from "./callerAnswer.js";
import type * as contexts from "./context.js";
import type * as sendings from "./sending.js";
import * as metricsModule from "./metrics.js";
import type * as servedRequests from "./servedRequest.js";

const HTTP_OK = 200;
const BAD_GATEWAY = 502;
const UNAVAILABLE = 503;
const GATEWAY_TIMEOUT = 504;

/** Outcome in the log of a request whose time is up. */
const TIMED_OUT = "timed-out";

/** Status in the log of a request whose caller left without an answer. */
const NO_STATUS = 0;

/** Times after which a rejected caller may come back, in milliseconds; drawn between them so that they spread. */
const RETURN_AFTER_MS = { least: 150, most: 450 };

const MS_PER_SECOND = 1_000;

/** The one end of a request: its final answer, or its caller's leaving. */
export class RequestEnd {
  readonly #context: contexts.ServingContext;
  readonly #served: servedRequests.ServedRequest;
  readonly #answer: callerAnswers.CallerAnswer;
  readonly #onOver: () => void;
  #over = false;

  /**
   * @param context - what serving needs
   * @param served - the request
   * @param answer - takes the answer
   * @param onOver - called once at the end, to stop what still runs for the request
   */
  constructor(
    context: contexts.ServingContext,
    served: servedRequests.ServedRequest,
    answer: callerAnswers.CallerAnswer,
    onOver: () => void,
  ) {
    this.#context = context;
    this.#served = served;
    this.#answer = answer;
    this.#onOver = onOver;
  }

  /** @returns whether the request has ended */
  get over(): boolean {
    return this.#over;
  }

  /** @returns whether a part of the answer has left */
  get hasBegun(): boolean {
    return this.#answer.state !== callerAnswers.AnswerState.Open;
  }

  /** The caller has left. */
  callerLeft(): void {
    if (this.#over) return;
    this.#finish("caller-left", NO_STATUS);
  }

  /**
   * An endpoint's whole answer is the caller's.
   *
   * @param status - its status
   * @param headers - its headers
   * @param body - its whole body
   * @param now - when it came, in milliseconds
   */
  pass(status: number, headers: sendings.AnswerHeaders, body: Buffer, now: number): void {
    this.#context.metrics.record(metricsModule.Duration.Request, now - this.#served.caller.arrivedAt);
    this.#answer.pass(status, headers, body);
    this.#context.suspects.noteSuccess(this.#served);
    this.#finish("answered", status);
  }

  /** The caller's stream is complete. */
  endStream(): void {
    this.#answer.endStream();
    this.#context.suspects.noteSuccess(this.#served);
    this.#finish("answered", HTTP_OK);
  }

  /**
   * Gives the request up. One that has not run is told when to come back; one
   * that may have run is never told that it has not.
   *
   * @param reason - why, for the log
   * @param returnAfterMs - time after which the caller may come back in milliseconds, or undefined for the usual one
   */
  reject(reason: string, returnAfterMs?: number): void {
    if (this.#served.mayHaveRun) {
      this.give(BAD_GATEWAY, reason, "the request may have run and can't be sent again");
      return;
    }
    const spread = RETURN_AFTER_MS.most - RETURN_AFTER_MS.least;
    const afterMs = returnAfterMs ?? RETURN_AFTER_MS.least + this.#context.random.next() * spread;
    const seconds = (afterMs / MS_PER_SECOND).toFixed(3);
    this.give(UNAVAILABLE, reason, "the request has not run; come back after Retry-After", [
      this.#context.format.retryAfterHeader,
      seconds,
    ]);
  }

  /**
   * The time is up.
   *
   * @param mayHaveRun - whether a send may have run the request
   */
  timeUp(mayHaveRun: boolean): void {
    if (mayHaveRun) this.give(GATEWAY_TIMEOUT, TIMED_OUT, "the time is up; the request may have run");
    else this.reject(TIMED_OUT);
  }

  /**
   * Gives an answer of the daemon's own; a stream that has begun is broken off instead.
   *
   * @param status - its status
   * @param reason - why, for the log
   * @param detail - what happened and what to do, for people
   * @param headers - names and values by turns
   */
  give(status: number, reason: string, detail: string, headers: readonly string[] = []): void {
    if (this.#over) return;
    if (this.#answer.state === callerAnswers.AnswerState.Streaming) this.#answer.breakOff();
    else this.#answer.refuse(status, detail, headers);
    this.#finish(reason, status);
  }

  #finish(outcome: string, status: number): void {
    this.#log(outcome, status);
    this.#over = true;
    this.#onOver();
  }

  #log(outcome: string, status: number): void {
    const { caller, route, service, sends, mayHaveRun, progress, id } = this.#served;
    const now = performance.now();
    this.#context.metrics.count(`requests_${outcome.replaceAll("-", "_")}`);
    this.#context.log.info("request-end", {
      id,
      outcome,
      status,
      route: route.name,
      service,
      sends,
      mayHaveRun,
      tookMs: Math.round(now - caller.arrivedAt),
      ...progress.logFields(caller.arrivedAt, now),
      configuration: this.#context.view.configurationRevision,
    });
  }
}
