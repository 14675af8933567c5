import * as common from "@camphorcourse/common";
import * as actions from "./actions.js";
import type * as admission from "./admission.js";
import * as attempts from "./attempts.js";
import * as claims from "./claims.js";
import * as configuration from "./configuration.js";
import * as constants from "./constants.js";
import * as events from "./events.js";
import type * as runnerChoice from "./runnerChoice.js";
import * as runnerModel from "./runnerModel.js";
import type * as servicePool from "./servicePool.js";
import * as timeline from "./timeline.js";

/** Where a request stands. */
export enum RequestPhase {
  Claiming = "claiming",
  /** Waits for the answer of another attempt of its key. */
  Joining = "joining",
  Queued = "queued",
  Prefilling = "prefilling",
  /** Its KV cache is ready; it waits for a place at a decoding runner. */
  HandingOff = "handing-off",
  Answering = "answering",
}

interface LiveRequest {
  readonly description: events.RequestDescription;
  readonly pool: servicePool.ServicePool;
  work: servicePool.Work;
  readonly arrivedAt: number;
  readonly deadline: number;
  readonly idempotent: boolean;
  phase: RequestPhase;
  attemptCount: number;
  attempt: string;
  runner?: runnerModel.RunnerModel;
  dispatchedAt: number;
  handoff?: actions.Handoff;
  record?: attempts.AttemptRecord;
  /** The caller went away after it had received a part. */
  abandoned: boolean;
  firstTokenSeen: boolean;
}

/** What the desk asks of its surroundings. */
export interface DeskContext {
  readonly vm: string;
  readonly incarnation: string;
  readonly random: common.SeededRandom;
  poolOf(service: string): servicePool.ServicePool | undefined;
  urlOf(runner: string): string | undefined;
  /** The answer comes with {@link RequestDesk.onClaimAnswered}. */
  requestClaim(request: string, claim: claims.Claim): void;
  emit(action: actions.Action): void;
}

const MODEL_RETRY_MS = 1000;
const UNAVAILABLE_RETRY_MS = 2000;
const REFUSED_JOIN_RETRY_MS = 1000;

/** The life of each request at this daemon, from arrival to its one answer. */
export class RequestDesk {
  readonly #context: DeskContext;
  readonly #attempts: attempts.AttemptBook;
  readonly #live = new Map<string, LiveRequest>();
  readonly #handingOff = new Set<LiveRequest>();
  readonly #joinersByKey = new Map<string, Set<string>>();
  readonly #remoteJoinsByKey = new Map<string, Set<string>>();

  /**
   * @param context - the daemon round the desk
   * @param attemptBook - the attempts claimed by this daemon
   */
  constructor(context: DeskContext, attemptBook: attempts.AttemptBook) {
    this.#context = context;
    this.#attempts = attemptBook;
  }

  /** @returns requests that have no final answer yet */
  get size(): number {
    return this.#live.size;
  }

  /**
   * @param description - the request
   * @param now - current time
   */
  onArrived(description: events.RequestDescription, now: number): void {
    const pool = this.#context.poolOf(description.service);
    if (!pool) {
      this.#refuseUnknown(description);
      return;
    }
    const request = this.#open(description, pool, now);
    this.#note(timeline.EventKind.RequestArrived, request, { service: description.service });
    pool.onArrived(request.work, now);
    if (description.key !== undefined && !request.idempotent) this.#beginKeyed(request, description.key, now);
    else this.#admit(request, now);
  }

  /**
   * @param id - the request
   * @param verdict - what became of its claim
   * @param standing - the claim that stands, when another has the key
   * @param now - current time
   */
  onClaimAnswered(id: string, verdict: claims.ClaimVerdict, standing: claims.Claim | undefined, now: number): void {
    const request = this.#live.get(id);
    const record = request?.record;
    if (!request || !record || request.phase !== RequestPhase.Claiming) return;
    if (verdict === claims.ClaimVerdict.Granted) {
      record.claimed = true;
      this.#attempts.run(record);
      this.#note(timeline.EventKind.RequestClaimed, request, { attempt: record.attempt });
      this.#admit(request, now);
      return;
    }
    if (verdict === claims.ClaimVerdict.Taken && standing) {
      this.#joinStanding(request, standing, now);
      return;
    }
    // The write may still stand, so the attempt is remembered: a duplicate that
    // finds the claim comes back here and may run it, as nothing was dispatched.
    const detail = "the claim that keeps this call from running twice can't be written now";
    this.#refuse(
      request,
      common.problem(common.ProblemKind.KeyValueUnavailable, detail, { retryAfterMs: UNAVAILABLE_RETRY_MS }),
      now,
    );
  }

  /**
   * @param event - how the join at another daemon ended
   * @param now - current time
   */
  onJoinAnswered(event: Extract<events.CoreEvent, { type: events.EventType.JoinAnswered }>, now: number): void {
    const request = this.#live.get(event.request);
    if (request?.phase !== RequestPhase.Joining || !request.record) return;
    if (event.verdict === events.JoinVerdict.Answered && event.answer) {
      this.#settleRecord(request.record, attempts.AttemptState.Answered, now, event.answer);
      return;
    }
    if (event.verdict === events.JoinVerdict.Ceded) {
      request.record.claimed = true;
      this.#attempts.run(request.record);
      this.#admit(request, now);
      return;
    }
    if (
      event.verdict === events.JoinVerdict.Moved &&
      event.movedTo &&
      event.movedTo.incarnation !== this.#context.incarnation
    ) {
      this.#askJoin(request, event.movedTo);
      return;
    }
    const { key } = request.record;
    this.#refuse(request, joinProblem(event.verdict), now);
    this.#attempts.forget(key);
  }

  /**
   * Another daemon asks for the answer of an attempt that was claimed here.
   *
   * @param event - the question
   */
  onJoinAsked(event: Extract<events.CoreEvent, { type: events.EventType.JoinAsked }>): void {
    const record = this.#attempts.get(event.key);
    const answer = (verdict: events.JoinVerdict, movedTo?: attempts.AttemptOwner): void => {
      this.#context.emit({
        type: actions.ActionType.AnswerJoin,
        join: event.join,
        verdict,
        ...(movedTo ? { movedTo } : {}),
      });
    };
    const known = event.incarnation === this.#context.incarnation && record?.attempt === event.attempt;
    if (!record || !known) answer(events.JoinVerdict.Unknown);
    else if (record.digest !== event.digest) answer(events.JoinVerdict.KeyReused);
    else if (record.state === attempts.AttemptState.NotRun) {
      record.claimed = true;
      record.state = attempts.AttemptState.Ceded;
      record.cededTo = event.asker;
      answer(events.JoinVerdict.Ceded);
    } else if (record.state === attempts.AttemptState.Ceded) {
      const again = record.cededTo?.attempt === event.asker.attempt;
      answer(again ? events.JoinVerdict.Ceded : events.JoinVerdict.Moved, record.cededTo);
    } else {
      addTo(this.#remoteJoinsByKey, event.key, event.join);
      this.#answerJoinersIfSettled(record);
    }
  }

  /**
   * @param id - the request
   * @param attempt - the attempt that took the prompt in
   * @param now - current time
   */
  onPrefillDone(id: string, attempt: string, now: number): void {
    const request = this.#current(id, attempt);
    if (request?.phase !== RequestPhase.Prefilling) return;
    request.runner?.onEnded(id, now);
    request.runner?.onSuccess(now);
    request.handoff = { url: this.#context.urlOf(request.runner?.id ?? "") ?? "", attempt };
    request.phase = RequestPhase.HandingOff;
    this.#handingOff.add(request);
    this.serveQueues(now, request.pool);
  }

  /**
   * @param id - the request
   * @param attempt - the attempt whose answer has begun
   * @param now - current time
   */
  onFirstToken(id: string, attempt: string, now: number): void {
    const request = this.#current(id, attempt);
    if (request?.phase !== RequestPhase.Answering) return;
    request.firstTokenSeen = true;
    request.runner?.onFirstToken(id, now);
    this.serveQueues(now, request.pool);
  }

  /**
   * @param event - the whole answer has come
   * @param now - current time
   */
  onAnswerDone(event: Extract<events.CoreEvent, { type: events.EventType.AnswerDone }>, now: number): void {
    const request = this.#current(event.request, event.attempt);
    if (request?.phase !== RequestPhase.Answering) return;
    request.runner?.onEnded(event.request, now, event.outputTokens);
    request.runner?.onSuccess(now);
    this.#learn(request, event.outputTokens, now);
    this.#note(timeline.EventKind.RequestAnswered, request, {
      runner: request.runner?.id,
      tookMs: Math.round(now - request.arrivedAt),
    });
    this.#live.delete(event.request);
    if (request.record) {
      const state = event.answer ? attempts.AttemptState.Answered : attempts.AttemptState.NotKept;
      this.#settleRecord(request.record, state, now, event.answer);
    }
    this.serveQueues(now, request.pool);
  }

  /**
   * @param id - the request
   * @param attempt - the attempt that failed
   * @param reach - how far it can have got
   * @param now - current time
   */
  onAttemptFailed(id: string, attempt: string, reach: events.Reach, now: number): void {
    const request = this.#current(id, attempt);
    if (!request) return;
    request.runner?.onEnded(id, now);
    request.runner?.onFailure(now, reach !== events.Reach.NeverSent);
    if (request.runner) request.work = avoiding(request.work, request.runner.id);
    delete request.runner;
    const ran = reach === events.Reach.MayHaveRun;
    if (request.abandoned) this.#live.delete(id);
    else if (ran && !request.idempotent) this.#giveUp(request, common.Outcome.Unknown, now);
    else if (this.#mayRetry(request, now)) this.#retry(request, now);
    else this.#giveUp(request, ran ? common.Outcome.Unknown : common.Outcome.NotRun, now);
    this.serveQueues(now, request.pool);
  }

  /**
   * The caller has gone. What has not been dispatched is dropped. An answer
   * that has begun goes on: the caller may take it up again through another
   * daemon by its last event id.
   *
   * @param id - the request
   * @param now - current time
   */
  onCallerGone(id: string, now: number): void {
    const request = this.#live.get(id);
    if (!request) return;
    request.abandoned = true;
    // A non-idempotent call is left to end, for the sake of duplicates that ask for its answer.
    if (!request.idempotent || request.firstTokenSeen) return;
    request.pool.queue.remove(id);
    this.#handingOff.delete(request);
    this.#cancel(request, now);
    this.#live.delete(id);
    this.serveQueues(now, request.pool);
  }

  /**
   * Dispatches what can begin, and refuses at once what can no longer be in time.
   *
   * @param now - current time
   * @param pool - the service
   */
  serveQueues(now: number, pool: servicePool.ServicePool): void {
    this.#serveHandoffs(pool, now);
    for (const hopeless of pool.queue.takeHopeless(now)) this.#refuseLate(hopeless.id, now);
    for (;;) {
      const next = pool.queue.first;
      const request = next && this.#live.get(next.id);
      if (!request) return;
      const plan = pool.choose(request.work, now);
      if (!plan) return;
      pool.queue.remove(next.id);
      this.#start(request, plan, now);
    }
  }

  /** @param now - current time; ends abandoned streams past their deadline and old attempts */
  onTick(now: number): void {
    this.#attempts.expire(now);
    for (const [id, request] of this.#live) {
      if (!request.abandoned || !request.idempotent || now < request.deadline) continue;
      this.#cancel(request, now);
      this.#live.delete(id);
    }
  }

  #open(description: events.RequestDescription, pool: servicePool.ServicePool, now: number): LiveRequest {
    const { settings } = pool.entry;
    const deadlineMs = Math.min(description.deadlineMs ?? settings.deadlineMs, settings.deadlineMs);
    const request: LiveRequest = {
      description,
      pool,
      work: pool.workOf(description.promptTokens, description.maximumOutputTokens, description.prefix),
      arrivedAt: now,
      deadline: now + deadlineMs,
      idempotent: settings.idempotent,
      phase: RequestPhase.Claiming,
      attemptCount: 0,
      attempt: "",
      dispatchedAt: now,
      abandoned: false,
      firstTokenSeen: false,
    };
    this.#live.set(description.id, request);
    return request;
  }

  #beginKeyed(request: LiveRequest, key: string, now: number): void {
    const digest = request.description.digest ?? "";
    const present = this.#attempts.get(key);
    if (present) {
      this.#joinLocal(request, present, digest, now);
      return;
    }
    // Refusing before the claim is written leaves nothing behind to clear up.
    const late = this.#lateProblem(request, now);
    if (late) {
      this.#refuse(request, late, now);
      return;
    }
    const attempt = this.#context.random.identifier();
    request.record = this.#attempts.begin(key, digest, attempt);
    this.#requestClaim(request, request.record);
  }

  #joinLocal(request: LiveRequest, record: attempts.AttemptRecord, digest: string, now: number): void {
    if (record.digest !== digest) {
      this.#refuse(
        request,
        common.problem(common.ProblemKind.KeyReused, "the Idempotency-Key was used for another request"),
        now,
      );
      return;
    }
    this.#note(timeline.EventKind.RequestJoined, request, { attempt: record.attempt });
    if (record.state === attempts.AttemptState.NotRun) {
      request.record = record;
      this.#takeUp(request, record, now);
      return;
    }
    request.phase = RequestPhase.Joining;
    if (record.state === attempts.AttemptState.Ceded && record.cededTo) {
      request.record = record;
      this.#askJoin(request, record.cededTo);
      return;
    }
    addTo(this.#joinersByKey, record.key, request.description.id);
    this.#answerJoinersIfSettled(record);
  }

  /** The key's attempt was given up before it was dispatched: this request runs it. */
  #takeUp(request: LiveRequest, record: attempts.AttemptRecord, now: number): void {
    if (record.claimed) {
      this.#attempts.run(record);
      this.#admit(request, now);
      return;
    }
    record.state = attempts.AttemptState.Seeking;
    delete record.settledAt;
    this.#requestClaim(request, record);
  }

  #requestClaim(request: LiveRequest, record: attempts.AttemptRecord): void {
    const { key, digest, attempt } = record;
    this.#context.requestClaim(request.description.id, {
      key,
      digest,
      vm: this.#context.vm,
      incarnation: this.#context.incarnation,
      attempt,
    });
  }

  #joinStanding(request: LiveRequest, standing: claims.Claim, now: number): void {
    if (standing.digest !== request.record?.digest) {
      this.#attempts.forget(standing.key);
      this.#refuse(
        request,
        common.problem(common.ProblemKind.KeyReused, "the Idempotency-Key was used for another request"),
        now,
      );
      return;
    }
    request.phase = RequestPhase.Joining;
    this.#note(timeline.EventKind.RequestJoined, request, { owner: standing.vm, attempt: standing.attempt });
    this.#askJoin(request, standing);
  }

  #askJoin(request: LiveRequest, owner: attempts.AttemptOwner): void {
    const { record } = request;
    if (!record) return;
    addTo(this.#joinersByKey, record.key, request.description.id);
    this.#context.emit({
      type: actions.ActionType.AskJoin,
      request: request.description.id,
      key: record.key,
      digest: record.digest,
      owner: { vm: owner.vm, incarnation: owner.incarnation, attempt: owner.attempt },
      asker: { vm: this.#context.vm, incarnation: this.#context.incarnation, attempt: record.attempt },
      timeoutMs: Math.max(0, request.deadline - request.arrivedAt),
    });
  }

  #admit(request: LiveRequest, now: number): void {
    request.phase = RequestPhase.Queued;
    const { pool } = request;
    const problem = this.#lateProblem(request, now);
    if (problem) {
      this.#refuse(request, problem, now);
      return;
    }
    const plan = pool.queue.length === 0 ? pool.choose(request.work, now) : undefined;
    if (plan) this.#start(request, plan, now);
    else pool.queue.add(this.#queued(request, now));
  }

  /** Whether the request can't be in time, as far as can be told. */
  #lateProblem(request: LiveRequest, now: number): common.Problem | undefined {
    const { pool } = request;
    if (!pool.canServe(now)) {
      return common.problem(common.ProblemKind.NoRunner, "no runner of the service takes work now", {
        retryAfterMs: MODEL_RETRY_MS,
      });
    }
    const { concurrent } = pool.entry.settings.limits;
    const estimate = pool.queue.estimate(this.#queued(request, now), pool.capacity(now), now);
    if (pool.queue.length >= concurrent) {
      const retryAfterMs = Math.max(MODEL_RETRY_MS, estimate.finishMs);
      return common.problem(common.ProblemKind.Overloaded, `${concurrent} requests wait already`, { retryAfterMs });
    }
    if (estimate.feasible || !pool.refusesLate) return undefined;
    const detail = `would take ${Math.round(estimate.finishMs)} ms, ${Math.round(request.deadline - now)} ms are left`;
    return common.problem(common.ProblemKind.DeadlineUnreachable, detail, { retryAfterMs: estimate.retryAfterMs });
  }

  #queued(request: LiveRequest, now: number): admission.QueuedRequest {
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

  #start(request: LiveRequest, plan: runnerChoice.RunnerPlan, now: number): void {
    if (plan.prefill) {
      request.phase = RequestPhase.Prefilling;
      this.#dispatch(request, plan.prefill, runnerModel.RequestPart.Prefill, now);
      return;
    }
    request.phase = RequestPhase.Answering;
    this.#dispatch(request, plan.answer, runnerModel.RequestPart.Whole, now);
  }

  #serveHandoffs(pool: servicePool.ServicePool, now: number): void {
    for (const request of this.#handingOff) {
      if (request.pool !== pool) continue;
      const runner = pool.chooseDecode(request.work, now);
      if (!runner) continue;
      this.#handingOff.delete(request);
      request.phase = RequestPhase.Answering;
      this.#dispatch(request, runner, runnerModel.RequestPart.Decode, now);
    }
  }

  #dispatch(request: LiveRequest, runner: runnerModel.RunnerModel, part: runnerModel.RequestPart, now: number): void {
    const { id, prefix } = request.description;
    const url = this.#context.urlOf(runner.id) ?? "";
    request.attemptCount++;
    request.attempt = this.#context.random.identifier();
    request.runner = runner;
    request.dispatchedAt = now;
    const cached = runner.cachedTokens(prefix);
    const promptTokens = Math.max(1, request.work.promptTokens - cached);
    runner.onDispatched(id, { part, promptTokens, outputTokens: request.work.outputTokens, dispatchedAt: now });
    if (prefix !== undefined && part !== runnerModel.RequestPart.Decode)
      runner.rememberPrefix(prefix, request.work.promptTokens);
    this.#note(timeline.EventKind.RequestDispatched, request, { runner: runner.id, part, attempt: request.attempt });
    this.#context.emit({
      type: actions.ActionType.Dispatch,
      request: id,
      attempt: request.attempt,
      runner: runner.id,
      url,
      part,
      timeoutMs: Math.max(1, request.deadline - now),
      ...(part === runnerModel.RequestPart.Decode && request.handoff ? { handoff: request.handoff } : {}),
    });
  }

  #mayRetry(request: LiveRequest, now: number): boolean {
    if (request.attemptCount >= constants.MAXIMUM_ATTEMPTS * (request.handoff ? 2 : 1)) return false;
    if (now + request.pool.serviceMs(request.work, now) > request.deadline) return false;
    return request.pool.retries.spend();
  }

  #retry(request: LiveRequest, now: number): void {
    this.#note(timeline.EventKind.RequestRetried, request, { attempts: request.attemptCount });
    request.attempt = "";
    delete request.handoff;
    this.#admit(request, now);
  }

  #giveUp(request: LiveRequest, outcome: common.Outcome, now: number): void {
    const detail =
      outcome === common.Outcome.NotRun
        ? "the runners refused the request"
        : "the runner failed while it had the request";
    const retryAfterMs = outcome === common.Outcome.NotRun ? MODEL_RETRY_MS : undefined;
    this.#refuse(
      request,
      common.problem(common.ProblemKind.RunnerFailed, detail, { outcome, ...(retryAfterMs ? { retryAfterMs } : {}) }),
      now,
    );
  }

  #refuseLate(id: string, now: number): void {
    const request = this.#live.get(id);
    if (!request) return;
    const retryAfterMs = Math.max(MODEL_RETRY_MS, request.pool.serviceMs(request.work, now));
    const detail = "waited for a runner and can no longer be in time";
    this.#refuse(request, common.problem(common.ProblemKind.DeadlineUnreachable, detail, { retryAfterMs }), now);
  }

  #refuseUnknown(description: events.RequestDescription): void {
    const detail = `there is no service '${description.service}'`;
    const problem = common.problem(common.ProblemKind.UnknownService, detail);
    this.#context.emit({ type: actions.ActionType.Refuse, request: description.id, problem });
  }

  #refuse(request: LiveRequest, problem: common.Problem, now: number): void {
    this.#note(timeline.EventKind.RequestRefused, request, { kind: problem.kind, outcome: problem.outcome });
    this.#live.delete(request.description.id);
    this.#context.emit({ type: actions.ActionType.Refuse, request: request.description.id, problem });
    const { record } = request;
    if (!record || record.settledAt !== undefined) return;
    const notRun = problem.outcome === common.Outcome.NotRun;
    this.#settleRecord(record, notRun ? attempts.AttemptState.NotRun : attempts.AttemptState.Unknown, now);
  }

  #settleRecord(
    record: attempts.AttemptRecord,
    state: attempts.AttemptState,
    now: number,
    answer?: attempts.KeptAnswer,
  ): void {
    this.#attempts.settle(record, state, now, answer);
    this.#answerJoinersIfSettled(record);
  }

  /** Gives every duplicate that waits the outcome of the one attempt. */
  #answerJoinersIfSettled(record: attempts.AttemptRecord): void {
    const verdict = settledVerdict(record);
    if (!verdict) return;
    const { answer } = record;
    for (const join of takeAll(this.#remoteJoinsByKey, record.key)) {
      this.#context.emit({ type: actions.ActionType.AnswerJoin, join, verdict, ...(answer ? { answer } : {}) });
    }
    for (const id of takeAll(this.#joinersByKey, record.key)) {
      if (!this.#live.delete(id)) continue;
      if (answer) this.#context.emit({ type: actions.ActionType.Relay, request: id, answer });
      else this.#context.emit({ type: actions.ActionType.Refuse, request: id, problem: joinProblem(verdict) });
    }
  }

  #learn(request: LiveRequest, outputTokens: number, now: number): void {
    const tookMs = now - request.dispatchedAt;
    if (request.pool.entry.settings.kind === configuration.ServiceKind.Plain) request.pool.onPlainAnswered(tookMs);
    else request.pool.onAnswered(request.work, outputTokens, tookMs);
  }

  #cancel(request: LiveRequest, now: number): void {
    if (!request.runner) return;
    const url = this.#context.urlOf(request.runner.id) ?? "";
    request.runner.onEnded(request.description.id, now);
    this.#context.emit({
      type: actions.ActionType.CancelAttempt,
      request: request.description.id,
      attempt: request.attempt,
      url,
    });
  }

  /** Late events of an attempt that was given up are ignored: their nonce is not the current one. */
  #current(id: string, attempt: string): LiveRequest | undefined {
    const request = this.#live.get(id);
    return request?.attempt === attempt ? request : undefined;
  }

  #note(kind: timeline.EventKind, request: LiveRequest, fields: Record<string, common.Field>): void {
    this.#context.emit({
      type: actions.ActionType.Note,
      note: { kind, fields: { request: request.description.id, ...fields } },
    });
  }
}

function avoiding(work: servicePool.Work, runner: string): servicePool.Work {
  return { ...work, avoid: new Set([...(work.avoid ?? []), runner]) };
}

function settledVerdict(record: attempts.AttemptRecord): events.JoinVerdict | undefined {
  if (record.answer) return events.JoinVerdict.Answered;
  if (record.state === attempts.AttemptState.NotKept) return events.JoinVerdict.NotKept;
  if (record.state === attempts.AttemptState.Unknown) return events.JoinVerdict.Unknown;
  // Duplicates that waited are all told that it did not run: were one of them
  // let run it, "not run" would soon be untrue for the others. They may come again.
  if (record.state === attempts.AttemptState.NotRun) return events.JoinVerdict.NotRun;
  return undefined;
}

function joinProblem(verdict: events.JoinVerdict): common.Problem {
  switch (verdict) {
    case events.JoinVerdict.KeyReused:
      return common.problem(common.ProblemKind.KeyReused, "the Idempotency-Key was used for another request");
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

function addTo(sets: Map<string, Set<string>>, key: string, value: string): void {
  const present = sets.get(key) ?? new Set<string>();
  present.add(value);
  sets.set(key, present);
}

function takeAll(sets: Map<string, Set<string>>, key: string): string[] {
  const values = [...(sets.get(key) ?? [])];
  sets.delete(key);
  return values;
}
