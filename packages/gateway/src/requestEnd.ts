import * as callerAnswers from "./callerAnswer.js";
import type * as contexts from "./context.js";
import type * as sendings from "./sending.js";
import * as metricsModule from "./metrics.js";
import type * as servedRequests from "./servedRequest.js";

const HTTP_OK = 200;
const BAD_GATEWAY = 502;
const UNAVAILABLE = 503;
const GATEWAY_TIMEOUT = 504;

/** Outcome in the log of a request whose deadline has passed. */
const TIMED_OUT = "timed-out";

/** Status in the log of a request whose caller disconnected before its answer was complete. */
const NO_STATUS = 0;

/** Range of the retry delay of rejected callers, in milliseconds; it is drawn at random so that retries spread out. */
const RETRY_DELAY_MS = { least: 150, most: 450 };

const MS_PER_SECOND = 1_000;

/** Ends a request once: with its final answer, or because its caller disconnected. */
export class RequestEnd {
  readonly #context: contexts.ServingContext;
  readonly #served: servedRequests.ServedRequest;
  readonly #answer: callerAnswers.CallerAnswer;
  readonly #onEnded: () => void;
  #over = false;

  /**
   * @param context - dependencies shared by all requests
   * @param served - the request
   * @param answer - the answer to the caller
   * @param onEnded - called once at the end, to stop what still runs for the request
   */
  constructor(
    context: contexts.ServingContext,
    served: servedRequests.ServedRequest,
    answer: callerAnswers.CallerAnswer,
    onEnded: () => void,
  ) {
    this.#context = context;
    this.#served = served;
    this.#answer = answer;
    this.#onEnded = onEnded;
  }

  /** @returns whether the request has ended */
  get over(): boolean {
    return this.#over;
  }

  /** @returns whether a part of the answer has been sent to the caller */
  get hasBegun(): boolean {
    return this.#answer.state !== callerAnswers.AnswerState.Open;
  }

  /** Ends the request because the caller has disconnected. */
  onCallerDisconnected(): void {
    if (this.#over) return;
    this.#finish("caller-left", NO_STATUS);
  }

  /**
   * Forwards the complete answer of an endpoint to the caller.
   *
   * @param status - HTTP status
   * @param headers - the endpoint's headers
   * @param body - the complete body
   * @param now - instant at which the answer came, in milliseconds
   */
  forward(status: number, headers: sendings.AnswerHeaders, body: Buffer, now: number): void {
    this.#context.metrics.record(metricsModule.Duration.Request, now - this.#served.caller.arrivedAt);
    this.#answer.forward(status, headers, body);
    this.#context.suspects.noteSuccess(this.#served);
    this.#finish("answered", status);
  }

  /** Ends the caller's stream as complete. */
  endStream(): void {
    this.#answer.endStream();
    this.#context.streams.noteComplete(this.#served);
    this.#context.backups.noteComplete(this.#served);
    this.#context.suspects.noteSuccess(this.#served);
    this.#context.suspects.noteWritten(this.#served);
    this.#finish("answered", HTTP_OK);
  }

  /**
   * Gives the request up. Only a request that cannot have run is answered as not run, with the time after which to
   * retry; one that may have run gets a 502.
   *
   * @param reason - outcome in the log
   * @param retryAfterMs - time after which the caller may retry, in milliseconds, or undefined for the default range
   */
  reject(reason: string, retryAfterMs?: number): void {
    if (this.#served.mayHaveRun) {
      this.fail(BAD_GATEWAY, reason, "the request may have run and cannot be sent again");
      return;
    }
    const spread = RETRY_DELAY_MS.most - RETRY_DELAY_MS.least;
    const delayMs = retryAfterMs ?? RETRY_DELAY_MS.least + this.#context.random.next() * spread;
    const seconds = (delayMs / MS_PER_SECOND).toFixed(3);
    this.fail(UNAVAILABLE, reason, "the request has not run; retry after Retry-After", [
      this.#context.format.retryAfterHeader,
      seconds,
    ]);
  }

  /**
   * Gives the request up like {@link RequestEnd.reject}, without a time at which a retry may succeed.
   *
   * @param reason - outcome in the log
   */
  rejectForGood(reason: string): void {
    if (this.#served.mayHaveRun) this.fail(BAD_GATEWAY, reason, "the stream can't go on");
    else this.fail(UNAVAILABLE, reason, "the stream can't go on, and this request has not run; begin it anew");
  }

  /**
   * Ends the request because its deadline has passed.
   *
   * @param mayHaveRun - whether a send may have run the request
   */
  timeOut(mayHaveRun: boolean): void {
    if (mayHaveRun) this.fail(GATEWAY_TIMEOUT, TIMED_OUT, "the deadline has passed; the request may have run");
    else this.reject(TIMED_OUT);
  }

  /**
   * Ends the request with an error answer of the daemon itself; a stream that has begun is aborted instead.
   *
   * @param status - HTTP status
   * @param reason - outcome in the log
   * @param detail - text for people: what happened and what to do
   * @param headers - alternating names and values
   */
  fail(status: number, reason: string, detail: string, headers: readonly string[] = []): void {
    if (this.#over) return;
    if (this.#answer.state === callerAnswers.AnswerState.Streaming) this.#abort(reason, detail);
    else this.#answer.refuse(status, detail, headers);
    this.#finish(reason, status);
  }

  #abort(reason: string, detail: string): void {
    const { client, log, metrics, view } = this.#context;
    const { acceptedUnder, id, progress, service, triedEndpoints } = this.#served;
    const heardAt = client.lastReceivedFromAnyAt;
    metrics.count("answers_aborted");
    log.warn("answer-aborted", {
      id,
      reason,
      detail,
      service,
      endpoints: triedEndpoints.join(" "),
      events: progress.events,
      after: progress.lastEventId,
      anyHeardMs: heardAt === 0 ? undefined : Math.round(performance.now() - heardAt),
      loopLateMs: Math.round(this.#context.lateMs()),
      acceptedUnder,
      configuration: view.configurationRevision,
    });
    this.#answer.abort();
  }

  #finish(outcome: string, status: number): void {
    this.#logEnd(outcome, status);
    this.#over = true;
    this.#onEnded();
  }

  #logEnd(outcome: string, status: number): void {
    const { caller, ledger, route, service, sends, mayHaveRun, progress, id } = this.#served;
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
      sent: ledger.toString(),
      tookMs: Math.round(now - caller.arrivedAt),
      ...progress.logFields(caller.arrivedAt, now),
      configuration: this.#context.view.configurationRevision,
    });
  }
}
