import * as common from "@camphorcourse/common";
import * as actions from "./actions.js";
import type * as admission from "./admission.js";
import * as attempts from "./attempts.js";
import * as configuration from "./configuration.js";
import * as constants from "./constants.js";
import * as requestDeduplicator from "./requestDeduplicator.js";
import * as events from "./events.js";
import * as liveRequest from "./liveRequest.js";
import type * as endpointChoice from "./endpointChoice.js";
import * as endpointModel from "./endpointModel.js";
import type * as servicePool from "./servicePool.js";
import * as timeline from "./timeline.js";

const MIN_RETRY_MS = 1000;

/** Manages each request at this daemon from its arrival to its final answer. */
export class RequestManager {
  readonly deduplicator: requestDeduplicator.RequestDeduplicator;
  readonly #context: liveRequest.RequestManagerContext;
  readonly #attempts: attempts.AttemptTable;
  readonly #live = new Map<string, liveRequest.LiveRequest>();
  readonly #handingOff = new Set<liveRequest.LiveRequest>();

  /**
   * @param context - dependencies on the rest of the daemon
   * @param attemptTable - the attempts claimed by this daemon
   */
  constructor(context: liveRequest.RequestManagerContext, attemptTable: attempts.AttemptTable) {
    this.#context = context;
    this.#attempts = attemptTable;
    const operations: requestDeduplicator.RequestOperations = {
      get: (id) => this.#live.get(id),
      close: (id) => this.#live.delete(id),
      admissionProblem: (request, now) => this.#admissionProblem(request, now),
      admit: (request, now) => {
        this.#admit(request, now);
      },
      refuse: (request, problem, now) => {
        this.#refuse(request, problem, now);
      },
      note: (kind, request, fields) => {
        this.#note(kind, request, fields);
      },
    };
    this.deduplicator = new requestDeduplicator.RequestDeduplicator(context, operations, attemptTable);
  }

  /** @returns number of requests that have no final answer yet */
  get size(): number {
    return this.#live.size;
  }

  /**
   * Admits, joins or refuses a new request.
   *
   * @param description - the request
   * @param now - current time
   */
  onArrived(description: events.RequestDescription, now: number): void {
    const pool = this.#context.poolOf(description.service);
    if (!pool) {
      this.#refuseUnknownService(description);
      return;
    }
    const request = this.#open(description, pool, now);
    this.#note(timeline.EventKind.RequestArrived, request, { service: description.service });
    pool.onArrived(request.work, now);
    if (description.key !== undefined && !request.idempotent) this.deduplicator.begin(request, description.key, now);
    else this.#admit(request, now);
  }

  /**
   * Records that a prompt has been prefilled and hands the request over to a decode endpoint.
   *
   * @param id - id of the request
   * @param attempt - the attempt that prefilled the prompt
   * @param now - current time
   */
  onPrefillDone(id: string, attempt: string, now: number): void {
    const request = this.#findCurrent(id, attempt);
    if (request?.phase !== liveRequest.RequestPhase.Prefilling) return;
    request.endpoint?.onEnded(id, now);
    request.endpoint?.onSuccess(now);
    request.handoff = { url: this.#context.urlOf(request.endpoint?.id ?? "") ?? "", attempt };
    request.phase = liveRequest.RequestPhase.HandingOff;
    this.#handingOff.add(request);
    this.dispatchQueued(now, request.pool);
  }

  /**
   * Records that the answer has started.
   *
   * @param id - id of the request
   * @param attempt - the attempt whose answer has started
   * @param now - current time
   */
  onFirstToken(id: string, attempt: string, now: number): void {
    const request = this.#findCurrent(id, attempt);
    if (request?.phase !== liveRequest.RequestPhase.Answering) return;
    request.firstTokenSeen = true;
    request.endpoint?.onFirstToken(id, now);
    this.dispatchQueued(now, request.pool);
  }

  /**
   * Records that the answer is complete.
   *
   * @param event - the complete answer
   * @param now - current time
   */
  onAnswerDone(event: Extract<events.CoreEvent, { type: events.EventType.AnswerDone }>, now: number): void {
    const request = this.#findCurrent(event.request, event.attempt);
    if (request?.phase !== liveRequest.RequestPhase.Answering) return;
    request.endpoint?.onEnded(event.request, now, event.outputTokens);
    request.endpoint?.onSuccess(now);
    this.#learn(request, event.outputTokens, now);
    this.#note(timeline.EventKind.RequestAnswered, request, {
      endpoint: request.endpoint?.id,
      tookMs: Math.round(now - request.arrivedAt),
    });
    this.#live.delete(event.request);
    if (request.record) {
      const state = event.answer ? attempts.AttemptState.Answered : attempts.AttemptState.NotKept;
      this.deduplicator.settle(request.record, state, now, event.answer);
    }
    this.dispatchQueued(now, request.pool);
  }

  /**
   * Retries or refuses a request after a failed attempt.
   *
   * @param id - id of the request
   * @param attempt - the attempt that failed
   * @param delivery - whether it may have run
   * @param now - current time
   */
  onAttemptFailed(id: string, attempt: string, delivery: events.DeliveryStatus, now: number): void {
    const request = this.#findCurrent(id, attempt);
    if (!request) return;
    request.endpoint?.onEnded(id, now);
    request.endpoint?.onFailure(now, delivery !== events.DeliveryStatus.NeverSent);
    if (request.endpoint) request.work = withAvoided(request.work, request.endpoint.id);
    delete request.endpoint;
    const mayHaveRun = delivery === events.DeliveryStatus.MayHaveRun;
    if (request.abandoned) this.#live.delete(id);
    else if (mayHaveRun && !request.idempotent) this.#refuseFailed(request, common.Outcome.Unknown, now);
    else if (this.#mayRetry(request, now)) this.#retry(request, now);
    else this.#refuseFailed(request, mayHaveRun ? common.Outcome.Unknown : common.Outcome.NotRun, now);
    this.dispatchQueued(now, request.pool);
  }

  /**
   * Handles the disconnect of a caller. A request whose answer has not started is
   * cancelled. An answer that has started continues: the caller may resume it
   * through another daemon by its last event id.
   *
   * @param id - id of the request
   * @param now - current time
   */
  onCallerGone(id: string, now: number): void {
    const request = this.#live.get(id);
    if (!request) return;
    request.abandoned = true;
    // A non-idempotent call runs to its end, since duplicates may ask for its answer.
    if (!request.idempotent || request.firstTokenSeen) return;
    request.pool.queue.remove(id);
    this.#handingOff.delete(request);
    this.#cancel(request, now);
    this.#live.delete(id);
    this.dispatchQueued(now, request.pool);
  }

  /**
   * Dispatches the queued requests that can start, and refuses those that can no longer meet their deadline.
   *
   * @param now - current time
   * @param pool - the service
   */
  dispatchQueued(now: number, pool: servicePool.ServicePool): void {
    this.#dispatchHandoffs(pool, now);
    for (const infeasible of pool.queue.takeInfeasible(now)) this.#refuseInfeasible(infeasible.id, now);
    for (;;) {
      const head = pool.queue.first;
      const request = head && this.#live.get(head.id);
      if (!request) return;
      const plan = pool.choose(request.work, now);
      if (!plan) return;
      pool.queue.remove(head.id);
      this.#start(request, plan, now);
    }
  }

  /**
   * Cancels abandoned streams past their deadline and removes expired attempts.
   *
   * @param now - current time
   */
  onTick(now: number): void {
    this.#attempts.expire(now);
    for (const [id, request] of this.#live) {
      if (!request.abandoned || !request.idempotent || now < request.deadline) continue;
      this.#cancel(request, now);
      this.#live.delete(id);
    }
  }

  #open(description: events.RequestDescription, pool: servicePool.ServicePool, now: number): liveRequest.LiveRequest {
    const { settings } = pool.entry;
    const deadlineMs = Math.min(description.deadlineMs ?? settings.deadlineMs, settings.deadlineMs);
    const request: liveRequest.LiveRequest = {
      description,
      pool,
      work: pool.workOf(description.promptTokens, description.maximumOutputTokens, description.prefix),
      arrivedAt: now,
      deadline: now + deadlineMs,
      idempotent: settings.idempotent,
      phase: liveRequest.RequestPhase.Claiming,
      attemptCount: 0,
      attempt: "",
      dispatchedAt: now,
      abandoned: false,
      firstTokenSeen: false,
    };
    this.#live.set(description.id, request);
    return request;
  }

  #admit(request: liveRequest.LiveRequest, now: number): void {
    request.phase = liveRequest.RequestPhase.Queued;
    const { pool } = request;
    const problem = this.#admissionProblem(request, now);
    if (problem) {
      this.#refuse(request, problem, now);
      return;
    }
    const plan = pool.queue.length === 0 ? pool.choose(request.work, now) : undefined;
    if (plan) this.#start(request, plan, now);
    else pool.queue.add(this.#toQueuedRequest(request, now));
  }

  /** Returns why the request can't be admitted: no endpoint, a full queue, or an unreachable deadline. */
  #admissionProblem(request: liveRequest.LiveRequest, now: number): common.Problem | undefined {
    const { pool } = request;
    if (!pool.canServe(now)) {
      return common.problem(common.ProblemKind.NoEndpoint, "no endpoint of the service accepts requests now", {
        retryAfterMs: MIN_RETRY_MS,
      });
    }
    const { concurrent } = pool.entry.settings.limits;
    const estimate = pool.queue.estimate(this.#toQueuedRequest(request, now), pool.capacity(now), now);
    if (pool.queue.length >= concurrent) {
      const retryAfterMs = Math.max(MIN_RETRY_MS, estimate.finishMs);
      return common.problem(common.ProblemKind.Overloaded, `the queue is full: ${concurrent} requests are waiting`, {
        retryAfterMs,
      });
    }
    if (estimate.feasible || !pool.refusesInfeasible) return undefined;
    const detail = `predicted ${Math.round(estimate.finishMs)} ms to finish, but the deadline is in ${Math.round(request.deadline - now)} ms`;
    return common.problem(common.ProblemKind.DeadlineUnreachable, detail, { retryAfterMs: estimate.retryAfterMs });
  }

  #toQueuedRequest(request: liveRequest.LiveRequest, now: number): admission.QueuedRequest {
    const { fingerprint } = request.description;
    const isPlain = request.pool.entry.settings.kind === configuration.ServiceKind.Plain;
    return {
      id: request.description.id,
      priority: request.description.priority ?? request.pool.entry.settings.priority,
      deadline: request.deadline,
      promptTokens: isPlain ? 0 : request.work.promptTokens,
      serviceMs: request.pool.serviceMs(request.work, now),
      ...(fingerprint === undefined ? {} : { fingerprint }),
    };
  }

  #start(request: liveRequest.LiveRequest, plan: endpointChoice.EndpointPlan, now: number): void {
    if (plan.prefill) {
      request.phase = liveRequest.RequestPhase.Prefilling;
      this.#dispatch(request, plan.prefill, endpointModel.RequestPart.Prefill, now);
      return;
    }
    request.phase = liveRequest.RequestPhase.Answering;
    this.#dispatch(request, plan.answer, endpointModel.RequestPart.Whole, now);
  }

  #dispatchHandoffs(pool: servicePool.ServicePool, now: number): void {
    for (const request of this.#handingOff) {
      if (request.pool !== pool) continue;
      const endpoint = pool.chooseDecode(request.work, now);
      if (!endpoint) continue;
      this.#handingOff.delete(request);
      request.phase = liveRequest.RequestPhase.Answering;
      this.#dispatch(request, endpoint, endpointModel.RequestPart.Decode, now);
    }
  }

  #dispatch(
    request: liveRequest.LiveRequest,
    endpoint: endpointModel.EndpointModel,
    part: endpointModel.RequestPart,
    now: number,
  ): void {
    const { id, prefix } = request.description;
    const url = this.#context.urlOf(endpoint.id) ?? "";
    request.attemptCount++;
    request.attempt = this.#context.random.identifier();
    request.endpoint = endpoint;
    request.dispatchedAt = now;
    const cached = endpoint.cachedTokens(prefix);
    const promptTokens = Math.max(1, request.work.promptTokens - cached);
    endpoint.onDispatched(id, { part, promptTokens, outputTokens: request.work.outputTokens, dispatchedAt: now });
    if (prefix !== undefined && part !== endpointModel.RequestPart.Decode)
      endpoint.rememberPrefix(prefix, request.work.promptTokens);
    this.#note(timeline.EventKind.RequestDispatched, request, {
      endpoint: endpoint.id,
      part,
      attempt: request.attempt,
    });
    this.#context.emit({
      type: actions.ActionType.Dispatch,
      request: id,
      attempt: request.attempt,
      endpoint: endpoint.id,
      url,
      part,
      timeoutMs: Math.max(1, request.deadline - now),
      ...(part === endpointModel.RequestPart.Decode && request.handoff ? { handoff: request.handoff } : {}),
    });
  }

  #mayRetry(request: liveRequest.LiveRequest, now: number): boolean {
    if (request.attemptCount >= constants.MAXIMUM_ATTEMPTS * (request.handoff ? 2 : 1)) return false;
    if (now + request.pool.serviceMs(request.work, now) > request.deadline) return false;
    return request.pool.retryBudget.spend();
  }

  #retry(request: liveRequest.LiveRequest, now: number): void {
    this.#note(timeline.EventKind.RequestRetried, request, { attempts: request.attemptCount });
    request.attempt = "";
    delete request.handoff;
    this.#admit(request, now);
  }

  #refuseFailed(request: liveRequest.LiveRequest, outcome: common.Outcome, now: number): void {
    const detail =
      outcome === common.Outcome.NotRun
        ? "the endpoints refused the request"
        : "the endpoint failed after the request was sent to it";
    const retryAfterMs = outcome === common.Outcome.NotRun ? MIN_RETRY_MS : undefined;
    this.#refuse(
      request,
      common.problem(common.ProblemKind.EndpointFailed, detail, { outcome, ...(retryAfterMs ? { retryAfterMs } : {}) }),
      now,
    );
  }

  #refuseInfeasible(id: string, now: number): void {
    const request = this.#live.get(id);
    if (!request) return;
    const retryAfterMs = Math.max(MIN_RETRY_MS, request.pool.serviceMs(request.work, now));
    const detail = "waited for an endpoint and can no longer meet the deadline";
    this.#refuse(request, common.problem(common.ProblemKind.DeadlineUnreachable, detail, { retryAfterMs }), now);
  }

  #refuseUnknownService(description: events.RequestDescription): void {
    const detail = `there is no service '${description.service}'`;
    const problem = common.problem(common.ProblemKind.UnknownService, detail);
    this.#context.emit({ type: actions.ActionType.Refuse, request: description.id, problem });
  }

  #refuse(request: liveRequest.LiveRequest, problem: common.Problem, now: number): void {
    this.#note(timeline.EventKind.RequestRefused, request, { kind: problem.kind, outcome: problem.outcome });
    this.#live.delete(request.description.id);
    this.#context.emit({ type: actions.ActionType.Refuse, request: request.description.id, problem });
    const { record } = request;
    if (!record || record.settledAt !== undefined) return;
    const notRun = problem.outcome === common.Outcome.NotRun;
    this.deduplicator.settle(record, notRun ? attempts.AttemptState.NotRun : attempts.AttemptState.Unknown, now);
  }

  #learn(request: liveRequest.LiveRequest, outputTokens: number, now: number): void {
    const tookMs = now - request.dispatchedAt;
    if (request.pool.entry.settings.kind === configuration.ServiceKind.Plain) request.pool.onPlainAnswered(tookMs);
    else request.pool.onAnswered(request.work, outputTokens, tookMs);
  }

  #cancel(request: liveRequest.LiveRequest, now: number): void {
    if (!request.endpoint) return;
    const url = this.#context.urlOf(request.endpoint.id) ?? "";
    request.endpoint.onEnded(request.description.id, now);
    this.#context.emit({
      type: actions.ActionType.CancelAttempt,
      request: request.description.id,
      attempt: request.attempt,
      url,
    });
  }

  /** Returns the request if the attempt is its current one; late events of earlier attempts are ignored. */
  #findCurrent(id: string, attempt: string): liveRequest.LiveRequest | undefined {
    const request = this.#live.get(id);
    return request?.attempt === attempt ? request : undefined;
  }

  #note(kind: timeline.EventKind, request: liveRequest.LiveRequest, fields: Record<string, common.Field>): void {
    this.#context.emit({
      type: actions.ActionType.Note,
      note: { kind, fields: { request: request.description.id, ...fields } },
    });
  }
}

function withAvoided(work: servicePool.Work, endpoint: string): servicePool.Work {
  return { ...work, avoid: new Set([...(work.avoid ?? []), endpoint]) };
}
