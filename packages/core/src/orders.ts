import type * as configuration from "./configuration.js";

/** How far a planned change of an endpoint has come. */
export enum OrderPhase {
  /** Daemons give no new work; what runs is finished. */
  Draining = "draining",
  /** The order may have been sent. */
  Intended = "intended",
  /** The endpoint confirmed, or was seen in the new role. */
  Settled = "settled",
  /** Drained for the operator; no order follows. */
  Drained = "drained",
}

/** The durable record of the latest change of one endpoint. */
export interface OrderRecord {
  /** `team/endpoint`. */
  readonly endpoint: string;
  /** Fencing number: grows by one with each order. */
  readonly number: number;
  /** Revision of the lease under which it was written; grows with each holder. */
  readonly epoch: number;
  readonly vm: string;
  readonly incarnation: string;
  /** Names the write, so that its writer knows it again when the reply was lost. */
  readonly attempt: string;
  readonly phase: OrderPhase;
  readonly fromRole: configuration.EndpointRole;
  readonly targetRole: configuration.EndpointRole;
  readonly reason: string;
}

/** What is known of the process that wrote an unsettled order. */
export interface WriterEvidence {
  /** Its own answer that it has seen the new epoch and reset its order connections. */
  readonly deposed: boolean;
  /** The platform lists its VM as gone. */
  readonly vmGone: boolean;
  /** Since when another incarnation is known to run on its VM. */
  readonly replacedSince?: number;
}

/** Whether a successor may order an endpoint. */
export interface TakeoverDecision {
  readonly allowed: boolean;
  /** Why not, for the operator. */
  readonly reason: string;
}

/**
 * Whether the successor of a lease holder may order an endpoint whose order is
 * unsettled.
 *
 * An endpoint that checks fencing numbers refuses the former holder's late order
 * by itself. An endpoint that doesn't would carry it out after ours: the former
 * holder may be paused between its check and its write, or its bytes may sit in
 * a socket buffer. No clock excludes that, so the successor waits for proof
 * that nothing more can come.
 *
 * @param checksFencing - whether the endpoint refuses old fencing numbers
 * @param evidence - what is known of the former holder
 * @param lingerMs - longest time that socket buffers outlive their process
 * @param now - current time
 * @returns the verdict, with the reason to wait
 */
export function mayTakeOver(
  checksFencing: boolean,
  evidence: WriterEvidence,
  lingerMs: number,
  now: number,
): TakeoverDecision {
  if (checksFencing) return { allowed: true, reason: "the endpoint checks fencing numbers" };
  if (evidence.deposed) return { allowed: true, reason: "the former holder has reset its order connections" };
  if (evidence.vmGone) return { allowed: true, reason: "the former holder's VM is gone" };
  if (evidence.replacedSince === undefined) {
    return { allowed: false, reason: "the former holder doesn't answer and its VM is still listed" };
  }
  const leftMs = evidence.replacedSince + lingerMs - now;
  if (leftMs <= 0) return { allowed: true, reason: "the former holder's socket buffers have run out" };
  return { allowed: false, reason: `socket buffers of the former holder may last ${Math.ceil(leftMs / 1000)} s more` };
}

/**
 * Watches whether an unsettled order has taken effect, by the roles that the
 * endpoint reports.
 *
 * The target role alone proves nothing: the endpoint may have had it before, and
 * a late report of an earlier role may have hidden that when the change was
 * planned. Taken for a proof, it would let a newer order out while this one's
 * bytes are still under way. So the change itself must be seen: first the
 * former role, reported well after the drain began, then the target.
 */
export class RoleChangeObserver {
  readonly #notBefore: number;
  #sawFormerRole = false;
  #sawChange = false;

  /** @param notBefore - reports that arrive earlier may speak of the time before the drain */
  constructor(notBefore: number) {
    this.#notBefore = notBefore;
  }

  /** @returns whether the order is known to have taken effect */
  get hasSeenChange(): boolean {
    return this.#sawChange;
  }

  /**
   * @param record - the order
   * @param role - the role that the endpoint reports
   * @param at - when the report arrived
   */
  onReport(record: OrderRecord, role: configuration.EndpointRole | undefined, at: number): void {
    if (at < this.#notBefore || record.fromRole === record.targetRole) return;
    if (role === record.fromRole) this.#sawFormerRole = true;
    if (role === record.targetRole && this.#sawFormerRole) this.#sawChange = true;
  }
}
