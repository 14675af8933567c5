import * as actions from "./actions.js";
import type * as membership from "./membership.js";
import * as orders from "./orders.js";

/** Dependencies of {@link TakeoverGuard}. */
export interface TakeoverContext {
  readonly incarnation: string;
  readonly lingerMs: number;
  readonly roster: membership.Roster;
  emit(action: actions.Action): void;
}

/** The shard lease under which a successor acts. */
export interface SuccessorLease {
  readonly shard: string;
  readonly epoch: number;
}

const DEPOSE_RETRY_MS = 1000;

/** Collects evidence on former holders with unsettled orders and decides when their endpoints may be taken over. */
export class TakeoverGuard {
  readonly #context: TakeoverContext;
  readonly #deposed = new Set<string>();
  readonly #replacedSince = new Map<string, number>();
  readonly #askedAt = new Map<string, number>();

  /** @param context - dependencies */
  constructor(context: TakeoverContext) {
    this.#context = context;
  }

  /**
   * @param vm - the former holder's VM
   * @param incarnation - the process that has reset its order connections
   * @param shard - the shard
   */
  onDeposed(vm: string, incarnation: string, shard: string): void {
    this.#deposed.add(`${vm}/${incarnation}/${shard}`);
  }

  /**
   * Records when the writers of unsettled orders were replaced by another process on their VM.
   *
   * @param records - the latest order of each endpoint
   * @param now - current time
   */
  watchReplacements(records: readonly orders.OrderRecord[], now: number): void {
    for (const record of records) {
      if (record.phase !== orders.OrderPhase.Intended) continue;
      const writer = writerOf(record);
      const member = this.#context.roster.get(record.vm);
      const isReplaced = member !== undefined && member.registration.incarnation !== record.incarnation;
      if (isReplaced && !this.#replacedSince.has(writer)) this.#replacedSince.set(writer, now);
    }
  }

  /**
   * @param checksFencing - whether the endpoint refuses old fencing numbers
   * @param record - the unsettled order of another holder
   * @param lease - the lease under which this daemon acts
   * @param now - current time
   * @returns whether this daemon may send orders to the endpoint; if not, the former holder is asked to reset its
   * order connections
   */
  decide(
    checksFencing: boolean,
    record: orders.OrderRecord,
    lease: SuccessorLease,
    now: number,
  ): orders.TakeoverDecision {
    const writer = writerOf(record);
    const replacedSince = this.#replacedSince.get(writer);
    const sameProcess = record.incarnation === this.#context.incarnation;
    const evidence: orders.WriterEvidence = {
      deposed: sameProcess || this.#deposed.has(`${writer}/${lease.shard}`),
      vmGone: this.#context.roster.isGone(record.vm),
      ...(replacedSince === undefined ? {} : { replacedSince }),
    };
    const decision = orders.mayTakeOver(checksFencing, evidence, this.#context.lingerMs, now);
    if (!decision.allowed) this.#askDepose(record, lease, now);
    return decision;
  }

  #askDepose(record: orders.OrderRecord, { shard, epoch }: SuccessorLease, now: number): void {
    const member = this.#context.roster.get(record.vm);
    if (member?.registration.incarnation !== record.incarnation) return;
    const lastAskedAt = this.#askedAt.get(`${record.vm}/${shard}`) ?? Number.NEGATIVE_INFINITY;
    if (now - lastAskedAt < DEPOSE_RETRY_MS) return;
    this.#askedAt.set(`${record.vm}/${shard}`, now);
    const { peerUrl } = member.registration;
    this.#context.emit({ type: actions.ActionType.AskDepose, vm: record.vm, peerUrl, shard, epoch });
  }
}

function writerOf(record: orders.OrderRecord): string {
  return `${record.vm}/${record.incarnation}`;
}
