import * as serving from "@camphorcourse/serving";
import * as callerAnswers from "./callerAnswer.js";
import type * as contexts from "./context.js";
import type * as sendings from "./sending.js";
import * as metricsModule from "./metrics.js";
import type * as servedRequests from "./servedRequest.js";

const HTTP_OK = 200;

/** Outcome in the log of a request whose deadline has passed. */
const TIMED_OUT = "timed-out";

/** Status in the log of a request whose caller disconnected before its answer was complete. */
const NO_STATUS = 0;

/** Range of the retry delay of rejected callers, in milliseconds; it is drawn at random so that retries spread out. */
const RETRY_DELAY_MS = { least: 150, most: 450 };

const MS_PER_SECOND = 1_000;

/** What a request does at its end. */
export interface EndListener {
  /** Cancels what is under way: from then on the ledger says for good whether the request may have run. */
  onConclude(): void;
  /** Called once at the end, to stop what still runs for the request. */
  onEnded(): void;
}

/** Ends a request once: with its final answer, or because its caller disconnected. */
export class RequestEnd {
  readonly #context: contexts.ServingContext;
  readonly #served: servedRequests.ServedRequest;
  readonly #answer: callerAnswers.CallerAnswer;
  readonly #listener: EndListener;
  #over = false;

  /**
   * @param context - dependencies shared by all requests
   * @param served - the request
   * @param answer - the answer to the caller
   * @param listener - acts at the end
   */
  constructor(
    context: contexts.ServingContext,
    served: servedRequests.ServedRequest,
    answer: callerAnswers.CallerAnswer,
    listener: EndListener,
  ) {
    this.#context = context;
    this.#served = served;
    this.#answer = answer;
    this.#listener = listener;
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
   * Forwards the complete answer of an endpoint to the caller. A status by which callers repeat what may run once is not forwarded,
   * as the endpoint hasn't said that the request has not run.
   *
   * @param status - HTTP status
   * @param headers - the endpoint's headers
   * @param body - the complete body
   * @param now - instant at which the answer came, in milliseconds
   */
  forward(status: number, headers: sendings.AnswerHeaders, body: Buffer, now: number): void {
    if (serving.isRejection(status) && !this.#served.isRepeatable) {
      this.fail(
        serving.FailureStatus.BadGateway,
        "unproven-rejection",
        "the endpoint failed; the request may have run",
      );
      return;
    }
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
   * Gives the request up. Only a request that is proven not to have run is answered as not run, with the time after which to
   * retry; any other gets a 502.
   *
   * @param reason - outcome in the log
   * @param retryAfterMs - time after which the caller may retry, in milliseconds, or undefined for the default range
   */
  reject(reason: string, retryAfterMs?: number): void {
    const proof = this.#conclude();
    if (proof === undefined) {
      this.fail(serving.FailureStatus.BadGateway, reason, "the request may have run and its answer is lost");
      return;
    }
    const spread = RETRY_DELAY_MS.most - RETRY_DELAY_MS.least;
    const delayMs = retryAfterMs ?? RETRY_DELAY_MS.least + this.#context.random.next() * spread;
    const seconds = (delayMs / MS_PER_SECOND).toFixed(3);
    const headers = [this.#context.format.retryAfterHeader, seconds];
    this.#rejectNotRun(proof, reason, "the request has not run; retry after Retry-After", headers);
  }

  /**
   * Gives the request up like {@link RequestEnd.reject}, without a time at which a retry may succeed.
   *
   * @param reason - outcome in the log
   */
  rejectForGood(reason: string): void {
    const proof = this.#conclude();
    if (proof === undefined) this.fail(serving.FailureStatus.BadGateway, reason, "the stream can't go on");
    else this.#rejectNotRun(proof, reason, "the stream can't go on, and this request has not run; begin it anew");
  }

  /** Ends the request because its deadline has passed. */
  timeOut(): void {
    const detail = "the deadline has passed; the request may have run";
    if (this.#conclude() === undefined) this.fail(serving.FailureStatus.GatewayTimeout, TIMED_OUT, detail);
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
  fail(status: serving.FailureStatus, reason: string, detail: string, headers: readonly string[] = []): void {
    if (this.#over) return;
    if (this.#answer.state === callerAnswers.AnswerState.Streaming) this.#abort(reason, detail);
    else this.#answer.refuse(status, detail, headers);
    this.#finish(reason, status);
  }

  #rejectNotRun(proof: serving.NotRunProof, reason: string, detail: string, headers: readonly string[] = []): void {
    if (this.#over) return;
    const status = serving.RejectionStatus.Unavailable;
    this.#answer.reject(proof, status, detail, headers);
    this.#finish(reason, status);
  }

  /** Concludes whether the request is proven not to have run; nothing of it is under way from then on. */
  #conclude(): serving.NotRunProof | undefined {
    if (!this.#over) this.#listener.onConclude();
    return this.#served.ledger.proveNotRun();
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
    this.#listener.onEnded();
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
