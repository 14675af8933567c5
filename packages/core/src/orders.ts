import type * as configuration from "./configuration.js";

/** Phases of a planned change of an endpoint. */
export enum OrderPhase {
  /** Daemons send no new requests to the endpoint; running ones finish. */
  Draining = "draining",
  /** The order may have been sent. */
  Intended = "intended",
  /** The endpoint confirmed the order, or reported the new role. */
  Settled = "settled",
  /** Drained for the operator; no order is sent. */
  Drained = "drained",
}

/** Durable record of the latest change of one endpoint. */
export interface OrderRecord {
  /** `team/endpoint`. */
  readonly endpoint: string;
  /** Fencing number; incremented with each order. */
  readonly number: number;
  /** Revision of the lease under which it was written; increases with each holder. */
  readonly epoch: number;
  readonly vm: string;
  readonly incarnation: string;
  /** Unique id of the write, so that its writer recognizes it after a lost reply. */
  readonly attempt: string;
  readonly phase: OrderPhase;
  readonly fromRole: configuration.EndpointRole;
  readonly targetRole: configuration.EndpointRole;
  readonly reason: string;
}

/** What is known of the process that wrote an unsettled order, the former holder. */
export interface WriterEvidence {
  /** The process has answered that it knows the new epoch and has reset its order connections. */
  readonly deposed: boolean;
  /** The platform lists its VM as gone. */
  readonly vmGone: boolean;
  /** When another incarnation was first known to run on its VM. */
  readonly replacedSince?: number;
}

/** Whether a successor may send orders to an endpoint. */
export interface TakeoverDecision {
  readonly allowed: boolean;
  /** The reason, as text for the operator. */
  readonly reason: string;
}

/**
 * Decides whether the successor of a lease holder may send orders to an endpoint
 * whose order is unsettled.
 *
 * An endpoint that checks fencing numbers refuses a late order of the former
 * holder. One that doesn't would carry it out after the successor's order: the
 * former holder may be paused between its check and its write, or its bytes may
 * be in a socket buffer. A timeout can't exclude that, so the successor waits
 * for proof that no more orders of the former holder can arrive.
 *
 * @param checksFencing - whether the endpoint refuses old fencing numbers
 * @param evidence - what is known of the former holder
 * @param lingerMs - maximum time for which socket buffers outlive their process
 * @param now - current time
 * @returns the decision, with its reason
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
  if (leftMs <= 0) return { allowed: true, reason: "the former holder's socket buffers have expired" };
  return {
    allowed: false,
    reason: `socket buffers of the former holder may persist for another ${Math.ceil(leftMs / 1000)} s`,
  };
}

/**
 * Determines from the roles that an endpoint reports whether an unsettled order
 * has taken effect.
 *
 * A report of the target role alone is no proof: the endpoint may have had that
 * role before, and a late report of an earlier role may have hidden this when
 * the change was planned. Accepting it would allow a newer order while this
 * one's bytes are still in transit. So the change itself must be observed: first
 * the former role, reported long enough after the drain began, then the target.
 */
export class RoleChangeObserver {
  readonly #notBefore: number;
  #hasSeenFormerRole = false;
  #hasSeenChange = false;

  /** @param notBefore - reports that arrive earlier are ignored, as they may predate the drain */
  constructor(notBefore: number) {
    this.#notBefore = notBefore;
  }

  /** @returns whether the order is known to have taken effect */
  get hasSeenChange(): boolean {
    return this.#hasSeenChange;
  }

  /**
   * @param record - the order
   * @param role - the role that the endpoint reports
   * @param receivedAt - when the report was received
   */
  onReport(record: OrderRecord, role: configuration.EndpointRole | undefined, receivedAt: number): void {
    if (receivedAt < this.#notBefore || record.fromRole === record.targetRole) return;
    if (role === record.fromRole) this.#hasSeenFormerRole = true;
    if (role === record.targetRole && this.#hasSeenFormerRole) this.#hasSeenChange = true;
  }
}
