import type * as common from "@camphorcourse/common";
import * as actions from "./actions.js";
import * as attempts from "./attempts.js";
import * as claims from "./claims.js";
import * as events from "./events.js";
import * as liveRequest from "./liveRequest.js";
import * as requestProblems from "./requestProblems.js";
import * as timeline from "./timeline.js";

/** Operations on live requests that the deduplicator needs. */
export interface RequestOperations {
  get(id: string): liveRequest.LiveRequest | undefined;
  admit(request: liveRequest.LiveRequest, now: number): void;
  refuse(request: liveRequest.LiveRequest, problem: common.Problem, now: number): void;
  /** Returns why the request can't be admitted now, for example because it can't meet its deadline. */
  admissionProblem(request: liveRequest.LiveRequest, now: number): common.Problem | undefined;
  /** Removes a live request; returns false if there was none. */
  close(id: string): boolean;
  note(kind: timeline.EventKind, request: liveRequest.LiveRequest, fields: Record<string, common.Field>): void;
}

/**
 * Merges requests with the same idempotency key. The first one claims the key
 * and runs; the others, at this or at other daemons, wait for its answer.
 */
export class RequestDeduplicator {
  readonly #context: liveRequest.RequestManagerContext;
  readonly #requests: RequestOperations;
  readonly #attempts: attempts.AttemptTable;
  readonly #localJoinersByKey = new Map<string, Set<string>>();
  readonly #remoteJoinsByKey = new Map<string, Set<string>>();

  /**
   * @param context - dependencies on the rest of the daemon
   * @param requests - operations on live requests
   * @param attemptTable - the attempts claimed by this daemon
   */
  constructor(
    context: liveRequest.RequestManagerContext,
    requests: RequestOperations,
    attemptTable: attempts.AttemptTable,
  ) {
    this.#context = context;
    this.#requests = requests;
    this.#attempts = attemptTable;
  }

  /**
   * Handles the outcome of a claim.
   *
   * @param id - id of the request
   * @param verdict - outcome of its claim
   * @param existingClaim - the existing claim, if another attempt holds the key
   * @param now - current time
   */
  onClaimAnswered(
    id: string,
    verdict: claims.ClaimVerdict,
    existingClaim: claims.Claim | undefined,
    now: number,
  ): void {
    const request = this.#requests.get(id);
    const record = request?.record;
    if (!request || !record || request.phase !== liveRequest.RequestPhase.Claiming) return;
    if (verdict === claims.ClaimVerdict.Granted) {
      record.claimed = true;
      this.#attempts.markRunning(record);
      this.#requests.note(timeline.EventKind.RequestClaimed, request, { attempt: record.attempt });
      this.#requests.admit(request, now);
      return;
    }
    if (verdict === claims.ClaimVerdict.Taken && existingClaim) {
      this.#joinExistingClaim(request, existingClaim, now);
      return;
    }
    // The claim may have been written, so the record is kept: a duplicate that finds
    // the claim asks this daemon and may run the attempt, as nothing was dispatched.
    this.#requests.refuse(request, requestProblems.claimUnavailable(), now);
  }

  /**
   * Handles the outcome of a join at another daemon.
   *
   * @param event - the outcome
   * @param now - current time
   */
  onJoinAnswered(event: Extract<events.CoreEvent, { type: events.EventType.JoinAnswered }>, now: number): void {
    const request = this.#requests.get(event.request);
    if (request?.phase !== liveRequest.RequestPhase.Joining || !request.record) return;
    if (event.verdict === events.JoinVerdict.Answered && event.answer) {
      this.settle(request.record, attempts.AttemptState.Answered, now, event.answer);
      return;
    }
    if (event.verdict === events.JoinVerdict.Ceded) {
      request.record.claimed = true;
      this.#attempts.markRunning(request.record);
      this.#requests.admit(request, now);
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
    this.#requests.refuse(request, requestProblems.joinProblem(event.verdict), now);
    this.#attempts.remove(key);
  }

  /**
   * Handles another daemon's request for the answer of an attempt claimed here.
   *
   * @param event - the join request
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
    const isKnown = event.incarnation === this.#context.incarnation && record?.attempt === event.attempt;
    if (!record || !isKnown) answer(events.JoinVerdict.Unknown);
    else if (record.digest !== event.digest) answer(events.JoinVerdict.KeyReused);
    else if (record.state === attempts.AttemptState.NotRun) {
      record.claimed = true;
      record.state = attempts.AttemptState.Ceded;
      record.cededTo = event.asker;
      answer(events.JoinVerdict.Ceded);
    } else if (record.state === attempts.AttemptState.Ceded) {
      const isSameAsker = record.cededTo?.attempt === event.asker.attempt;
      answer(isSameAsker ? events.JoinVerdict.Ceded : events.JoinVerdict.Moved, record.cededTo);
    } else {
      addToSet(this.#remoteJoinsByKey, event.key, event.join);
      this.#answerJoinersIfSettled(record);
    }
  }

  /**
   * Claims the key of a new request, or joins it to the attempt that holds the key.
   *
   * @param request - the request
   * @param key - its scoped idempotency key
   * @param now - current time
   */
  begin(request: liveRequest.LiveRequest, key: string, now: number): void {
    const digest = request.description.digest ?? "";
    const present = this.#attempts.get(key);
    if (present) {
      this.#joinLocal(request, present, digest, now);
      return;
    }
    // Refusing before the claim is written leaves nothing to clean up.
    const problem = this.#requests.admissionProblem(request, now);
    if (problem) {
      this.#requests.refuse(request, problem, now);
      return;
    }
    const attempt = this.#context.random.identifier();
    request.record = this.#attempts.begin(key, digest, attempt);
    this.#requestClaim(request, request.record);
  }

  #joinLocal(request: liveRequest.LiveRequest, record: attempts.AttemptRecord, digest: string, now: number): void {
    if (record.digest !== digest) {
      this.#requests.refuse(request, requestProblems.keyReused(), now);
      return;
    }
    this.#requests.note(timeline.EventKind.RequestJoined, request, { attempt: record.attempt });
    if (record.state === attempts.AttemptState.NotRun) {
      request.record = record;
      this.#runAbandonedAttempt(request, record, now);
      return;
    }
    request.phase = liveRequest.RequestPhase.Joining;
    if (record.state === attempts.AttemptState.Ceded && record.cededTo) {
      request.record = record;
      this.#askJoin(request, record.cededTo);
      return;
    }
    addToSet(this.#localJoinersByKey, record.key, request.description.id);
    this.#answerJoinersIfSettled(record);
  }

  /** Lets this request run the key's attempt, which was abandoned before it was dispatched. */
  #runAbandonedAttempt(request: liveRequest.LiveRequest, record: attempts.AttemptRecord, now: number): void {
    if (record.claimed) {
      this.#attempts.markRunning(record);
      this.#requests.admit(request, now);
      return;
    }
    record.state = attempts.AttemptState.Pending;
    delete record.settledAt;
    this.#requestClaim(request, record);
  }

  #requestClaim(request: liveRequest.LiveRequest, record: attempts.AttemptRecord): void {
    const { key, digest, attempt } = record;
    this.#context.requestClaim(request.description.id, {
      key,
      digest,
      vm: this.#context.vm,
      incarnation: this.#context.incarnation,
      attempt,
    });
  }

  #joinExistingClaim(request: liveRequest.LiveRequest, existingClaim: claims.Claim, now: number): void {
    if (existingClaim.digest !== request.record?.digest) {
      this.#attempts.remove(existingClaim.key);
      this.#requests.refuse(request, requestProblems.keyReused(), now);
      return;
    }
    request.phase = liveRequest.RequestPhase.Joining;
    this.#requests.note(timeline.EventKind.RequestJoined, request, {
      owner: existingClaim.vm,
      attempt: existingClaim.attempt,
    });
    this.#askJoin(request, existingClaim);
  }

  #askJoin(request: liveRequest.LiveRequest, owner: attempts.AttemptOwner): void {
    const { record } = request;
    if (!record) return;
    addToSet(this.#localJoinersByKey, record.key, request.description.id);
    this.#context.emit({
      type: actions.ActionType.AskJoin,
      request: request.description.id,
      key: record.key,
      digest: record.digest,
      owner: { vm: owner.vm, incarnation: owner.incarnation, attempt: owner.attempt },
      asker: { vm: this.#context.vm, incarnation: this.#context.incarnation, attempt: record.attempt },
      timeoutMs: Math.ceil(request.deadline - request.arrivedAt),
    });
  }

  /**
   * Records how an attempt of this daemon ended and answers its waiting duplicates.
   *
   * @param record - the attempt
   * @param state - how it ended
   * @param now - current time
   * @param answer - the complete answer, if there is one
   */
  settle(
    record: attempts.AttemptRecord,
    state: attempts.AttemptState,
    now: number,
    answer?: attempts.KeptAnswer,
  ): void {
    this.#attempts.settle(record, state, now, answer);
    this.#answerJoinersIfSettled(record);
  }

  /** Sends the attempt's outcome, if it has one, to every waiting duplicate. */
  #answerJoinersIfSettled(record: attempts.AttemptRecord): void {
    const verdict = settledVerdict(record);
    if (!verdict) return;
    const { answer } = record;
    for (const join of removeAll(this.#remoteJoinsByKey, record.key)) {
      this.#context.emit({ type: actions.ActionType.AnswerJoin, join, verdict, ...(answer ? { answer } : {}) });
    }
    for (const id of removeAll(this.#localJoinersByKey, record.key)) {
      if (!this.#requests.close(id)) continue;
      if (answer) this.#context.emit({ type: actions.ActionType.Relay, request: id, answer });
      else
        this.#context.emit({
          type: actions.ActionType.Refuse,
          request: id,
          problem: requestProblems.joinProblem(verdict),
        });
    }
  }
}

function settledVerdict(record: attempts.AttemptRecord): events.JoinVerdict | undefined {
  if (record.answer) return events.JoinVerdict.Answered;
  if (record.state === attempts.AttemptState.NotKept) return events.JoinVerdict.NotKept;
  if (record.state === attempts.AttemptState.Unknown) return events.JoinVerdict.Unknown;
  // All waiting duplicates are told that it did not run, and may retry. If one of
  // them could run it now, "not run" would soon be wrong for the others.
  if (record.state === attempts.AttemptState.NotRun) return events.JoinVerdict.NotRun;
  return undefined;
}

function addToSet(sets: Map<string, Set<string>>, key: string, value: string): void {
  const present = sets.get(key) ?? new Set<string>();
  present.add(value);
  sets.set(key, present);
}

function removeAll(sets: Map<string, Set<string>>, key: string): string[] {
  const values = [...(sets.get(key) ?? [])];
  sets.delete(key);
  return values;
}
