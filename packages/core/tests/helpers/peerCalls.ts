import * as core from "../../src/index.js";
import type * as simulations from "./simulation.js";

/** Time after which a claim is asked of oneself, and a join counts as unanswered, in milliseconds. */
const UNANSWERED_MS = { claim: 1000, join: 5000 };

type AskClaim = Extract<core.Action, { type: core.ActionType.AskClaim }>;
type AskJoin = Extract<core.Action, { type: core.ActionType.AskJoin }>;
type AnswerJoin = Extract<core.Action, { type: core.ActionType.AnswerJoin }>;

/** Questions from daemon to daemon; a reply may be lost. */
export class PeerCalls {
  readonly #round: simulations.Simulation;
  readonly #deliver: (vm: string, event: core.CoreEvent) => void;
  readonly #waiters = new Map<string, (value: unknown) => void>();
  #joins = 0;

  /**
   * @param round - time, draws and faults
   * @param deliver - hands a daemon an event
   */
  constructor(round: simulations.Simulation, deliver: (vm: string, event: core.CoreEvent) => void) {
    this.#round = round;
    this.#deliver = deliver;
  }

  /**
   * @param action - the question
   * @param reply - told the answer
   */
  askClaim(action: AskClaim, reply: simulations.Reply): void {
    const { claim, peerUrl } = action;
    let answered = false;
    this.#ask(claim.attempt, peerUrl, { type: core.EventType.ClaimsAsked, claims: [claim] }, (value) => {
      answered = true;
      const { verdict, standing } = value as core.ClaimAnswer;
      const event = { type: core.EventType.ClaimAnswered, attempt: claim.attempt, verdict } as const;
      reply(standing ? { ...event, standing } : event);
    });
    this.#round.time.after(UNANSWERED_MS.claim, () => {
      if (!answered) reply({ type: core.EventType.ClaimsAsked, claims: [claim] });
    });
  }

  /**
   * @param action - the question
   * @param reply - told the answer
   */
  askJoin(action: AskJoin, reply: simulations.Reply): void {
    const { request, key, digest, owner, asker, timeoutMs } = action;
    if (!Number.isInteger(timeoutMs))
      throw new Error(`a call between daemons takes whole milliseconds, not ${timeoutMs}`);
    const join = `join-${this.#joins++}`;
    const { incarnation, attempt } = owner;
    const question = { type: core.EventType.JoinAsked, join, key, digest, incarnation, attempt, asker } as const;
    let answered = false;
    this.#ask(join, owner.vm, question, (value) => {
      answered = true;
      const { verdict, answer, movedTo } = value as AnswerJoin;
      reply({
        type: core.EventType.JoinAnswered,
        request,
        verdict,
        ...(answer ? { answer } : {}),
        ...(movedTo ? { movedTo } : {}),
      });
    });
    this.#round.time.after(UNANSWERED_MS.join, () => {
      if (!answered) reply({ type: core.EventType.JoinAnswered, request, verdict: core.JoinVerdict.Unknown });
    });
  }

  /**
   * @param id - of the question
   * @param value - its answer
   */
  settle(id: string, value: unknown): void {
    const settle = this.#waiters.get(id);
    this.#waiters.delete(id);
    if (!settle || this.#round.random.next() < this.#round.faults.lostReply) return;
    this.#round.afterCall(() => {
      settle(value);
    });
  }

  #ask(id: string, vm: string, event: core.CoreEvent, settle: (value: unknown) => void): void {
    this.#waiters.set(id, settle);
    this.#round.afterCall(() => {
      this.#deliver(vm, event);
    });
  }
}
