import type * as common from "@camphorcourse/common";
import * as actions from "./actions.js";
import * as attempts from "./attempts.js";
import * as claims from "./claims.js";
import * as events from "./events.js";
import * as liveRequest from "./liveRequest.js";
import * as requestProblems from "./requestProblems.js";
import * as timeline from "./timeline.js";

/** What the desk asks of the one that runs requests. */
export interface RequestOperations {
  get(id: string): liveRequest.LiveRequest | undefined;
  admit(request: liveRequest.LiveRequest, now: number): void;
  refuse(request: liveRequest.LiveRequest, problem: common.Problem, now: number): void;
  /** Whether the request can't be in time, as far as can be told. */
  lateProblem(request: liveRequest.LiveRequest, now: number): common.Problem | undefined;
  /** Takes a request off the live ones; false if it was none. */
  close(id: string): boolean;
  note(kind: timeline.EventKind, request: liveRequest.LiveRequest, fields: Record<string, common.Field>): void;
}

/**
 * Where deliveries of one idempotency key meet. The first claims the key and
 * runs; the others, here or at other daemons, wait for its answer.
 */
export class RequestDeduplicator {
  readonly #context: liveRequest.RequestManagerContext;
  readonly #owner: RequestOperations;
  readonly #attempts: attempts.AttemptTable;
  readonly #joinersByKey = new Map<string, Set<string>>();
  readonly #remoteJoinsByKey = new Map<string, Set<string>>();

  /**
   * @param context - the daemon round the desk
   * @param owner - runs requests
   * @param attemptBook - the attempts claimed by this daemon
   */
  constructor(
    context: liveRequest.RequestManagerContext,
    owner: RequestOperations,
    attemptBook: attempts.AttemptTable,
  ) {
    this.#context = context;
    this.#owner = owner;
    this.#attempts = attemptBook;
  }

  /**
   * @param id - the request
   * @param verdict - what became of its claim
   * @param standing - the claim that stands, when another has the key
   * @param now - current time
   */
  onClaimAnswered(id: string, verdict: claims.ClaimVerdict, standing: claims.Claim | undefined, now: number): void {
    const request = this.#owner.get(id);
    const record = request?.record;
    if (!request || !record || request.phase !== liveRequest.RequestPhase.Claiming) return;
    if (verdict === claims.ClaimVerdict.Granted) {
      record.claimed = true;
      this.#attempts.run(record);
      this.#owner.note(timeline.EventKind.RequestClaimed, request, { attempt: record.attempt });
      this.#owner.admit(request, now);
      return;
    }
    if (verdict === claims.ClaimVerdict.Taken && standing) {
      this.#joinStanding(request, standing, now);
      return;
    }
    // The write may still stand, so the attempt is remembered: a duplicate that
    // finds the claim comes back here and may run it, as nothing was dispatched.
    this.#owner.refuse(request, requestProblems.claimUnavailable(), now);
  }

  /**
   * @param event - how the join at another daemon ended
   * @param now - current time
   */
  onJoinAnswered(event: Extract<events.CoreEvent, { type: events.EventType.JoinAnswered }>, now: number): void {
    const request = this.#owner.get(event.request);
    if (request?.phase !== liveRequest.RequestPhase.Joining || !request.record) return;
    if (event.verdict === events.JoinVerdict.Answered && event.answer) {
      this.settle(request.record, attempts.AttemptState.Answered, now, event.answer);
      return;
    }
    if (event.verdict === events.JoinVerdict.Ceded) {
      request.record.claimed = true;
      this.#attempts.run(request.record);
      this.#owner.admit(request, now);
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
    this.#owner.refuse(request, requestProblems.joinProblem(event.verdict), now);
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
   * A request with an idempotency key has come.
   *
   * @param request - the request
   * @param key - its scoped key
   * @param now - current time
   */
  begin(request: liveRequest.LiveRequest, key: string, now: number): void {
    const digest = request.description.digest ?? "";
    const present = this.#attempts.get(key);
    if (present) {
      this.#joinLocal(request, present, digest, now);
      return;
    }
    // Refusing before the claim is written leaves nothing behind to clear up.
    const late = this.#owner.lateProblem(request, now);
    if (late) {
      this.#owner.refuse(request, late, now);
      return;
    }
    const attempt = this.#context.random.identifier();
    request.record = this.#attempts.begin(key, digest, attempt);
    this.#requestClaim(request, request.record);
  }

  #joinLocal(request: liveRequest.LiveRequest, record: attempts.AttemptRecord, digest: string, now: number): void {
    if (record.digest !== digest) {
      this.#owner.refuse(request, requestProblems.keyReused(), now);
      return;
    }
    this.#owner.note(timeline.EventKind.RequestJoined, request, { attempt: record.attempt });
    if (record.state === attempts.AttemptState.NotRun) {
      request.record = record;
      this.#takeUp(request, record, now);
      return;
    }
    request.phase = liveRequest.RequestPhase.Joining;
    if (record.state === attempts.AttemptState.Ceded && record.cededTo) {
      request.record = record;
      this.#askJoin(request, record.cededTo);
      return;
    }
    addTo(this.#joinersByKey, record.key, request.description.id);
    this.#answerJoinersIfSettled(record);
  }

  /** The key's attempt was given up before it was dispatched: this request runs it. */
  #takeUp(request: liveRequest.LiveRequest, record: attempts.AttemptRecord, now: number): void {
    if (record.claimed) {
      this.#attempts.run(record);
      this.#owner.admit(request, now);
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

  #joinStanding(request: liveRequest.LiveRequest, standing: claims.Claim, now: number): void {
    if (standing.digest !== request.record?.digest) {
      this.#attempts.forget(standing.key);
      this.#owner.refuse(request, requestProblems.keyReused(), now);
      return;
    }
    request.phase = liveRequest.RequestPhase.Joining;
    this.#owner.note(timeline.EventKind.RequestJoined, request, { owner: standing.vm, attempt: standing.attempt });
    this.#askJoin(request, standing);
  }

  #askJoin(request: liveRequest.LiveRequest, owner: attempts.AttemptOwner): void {
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
      timeoutMs: Math.ceil(request.deadline - request.arrivedAt),
    });
  }

  /**
   * An attempt of this daemon has ended: duplicates that wait get its outcome.
   *
   * @param record - the attempt
   * @param state - how it ended
   * @param now - current time
   * @param answer - the whole answer, if there is one
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

  /** Gives every duplicate that waits the outcome of the one attempt. */
  #answerJoinersIfSettled(record: attempts.AttemptRecord): void {
    const verdict = settledVerdict(record);
    if (!verdict) return;
    const { answer } = record;
    for (const join of takeAll(this.#remoteJoinsByKey, record.key)) {
      this.#context.emit({ type: actions.ActionType.AnswerJoin, join, verdict, ...(answer ? { answer } : {}) });
    }
    for (const id of takeAll(this.#joinersByKey, record.key)) {
      if (!this.#owner.close(id)) continue;
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
  // Duplicates that waited are all told that it did not run: were one of them
  // let run it, "not run" would soon be untrue for the others. They may come again.
  if (record.state === attempts.AttemptState.NotRun) return events.JoinVerdict.NotRun;
  return undefined;
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
