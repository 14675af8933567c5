import * as core from "../../src/index.js";
import type * as simulations from "./simulation.js";

/** Timeouts in milliseconds: then a daemon writes a claim itself, and a join counts as unanswered. */
const TIMEOUT_MS = { claim: 1000, join: 5000 };

type AskClaim = Extract<core.Action, { type: core.ActionType.AskClaim }>;
type AskJoin = Extract<core.Action, { type: core.ActionType.AskJoin }>;
type AnswerJoin = Extract<core.Action, { type: core.ActionType.AnswerJoin }>;

/** Calls between daemons, whose replies may be lost. */
export class PeerCalls {
  readonly #simulation: simulations.Simulation;
  readonly #deliver: (vm: string, event: core.CoreEvent) => void;
  readonly #pending = new Map<string, (value: unknown) => void>();
  #joins = 0;

  /**
   * @param simulation - shared time, random numbers and faults
   * @param deliver - passes an event to a daemon
   */
  constructor(simulation: simulations.Simulation, deliver: (vm: string, event: core.CoreEvent) => void) {
    this.#simulation = simulation;
    this.#deliver = deliver;
  }

  /**
   * Asks another daemon to write a claim.
   *
   * @param action - the call
   * @param reply - receives the answer
   */
  askClaim(action: AskClaim, reply: simulations.Reply): void {
    const { claim, peerUrl } = action;
    let answered = false;
    this.#call(claim.attempt, peerUrl, { type: core.EventType.ClaimsAsked, claims: [claim] }, (value) => {
      answered = true;
      const { verdict, standing } = value as core.ClaimAnswer;
      const event = { type: core.EventType.ClaimAnswered, attempt: claim.attempt, verdict } as const;
      reply(standing ? { ...event, standing } : event);
    });
    this.#simulation.time.after(TIMEOUT_MS.claim, () => {
      if (!answered) reply({ type: core.EventType.ClaimsAsked, claims: [claim] });
    });
  }

  /**
   * Asks another daemon for the answer of an attempt.
   *
   * @param action - the call
   * @param reply - receives the answer
   */
  askJoin(action: AskJoin, reply: simulations.Reply): void {
    const { request, key, digest, owner, asker, timeoutMs } = action;
    if (!Number.isInteger(timeoutMs))
      throw new Error(`the timeout of a call between daemons must be whole milliseconds: ${timeoutMs}`);
    const join = `join-${this.#joins++}`;
    const { incarnation, attempt } = owner;
    const event = { type: core.EventType.JoinAsked, join, key, digest, incarnation, attempt, asker } as const;
    let answered = false;
    this.#call(join, owner.vm, event, (value) => {
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
    this.#simulation.time.after(TIMEOUT_MS.join, () => {
      if (!answered) reply({ type: core.EventType.JoinAnswered, request, verdict: core.JoinVerdict.Unknown });
    });
  }

  /**
   * Answers a call; the reply may be lost.
   *
   * @param id - id of the call
   * @param value - its answer
   */
  settle(id: string, value: unknown): void {
    const resolve = this.#pending.get(id);
    this.#pending.delete(id);
    if (!resolve || this.#simulation.random.next() < this.#simulation.faults.lostReply) return;
    this.#simulation.afterCall(() => {
      resolve(value);
    });
  }

  #call(id: string, vm: string, event: core.CoreEvent, resolve: (value: unknown) => void): void {
    this.#pending.set(id, resolve);
    this.#simulation.afterCall(() => {
      this.#deliver(vm, event);
    });
  }
}
