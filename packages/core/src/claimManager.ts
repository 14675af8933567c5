import * as common from "@camphorcourse/common";
import * as actions from "./actions.js";
import * as claims from "./claims.js";
import type * as keyValue from "./keyValueTypes.js";
import type * as membership from "./membership.js";

/** Dependencies of {@link ClaimManager}. */
export interface ClaimContext {
  readonly vm: string;
  readonly incarnation: string;
  servingMembers(): membership.Registration[];
  onClaimAnswered(request: string, verdict: claims.ClaimVerdict, existing: claims.Claim | undefined): void;
  emit(action: actions.Action): void;
}

/** Routes each claim to its partition's preferred daemon and returns the verdict to the request. */
export class ClaimManager {
  readonly #context: ClaimContext;
  readonly #table: claims.ClaimTable;
  readonly #requestsByAttempt = new Map<string, string>();

  /** @param context - dependencies */
  constructor(context: ClaimContext) {
    this.#context = context;
    this.#table = new claims.ClaimTable(context.incarnation);
  }

  /** @returns whether claims are waiting to be written */
  get hasWaiting(): boolean {
    return this.#table.hasWaiting;
  }

  /**
   * Requests a claim; the verdict is reported by `onClaimAnswered` of the context.
   *
   * @param request - id of the request that needs the claim
   * @param claim - the claim
   */
  request(request: string, claim: claims.Claim): void {
    this.#requestsByAttempt.set(claim.attempt, request);
    const members = this.#context.servingMembers();
    const partition = claims.ClaimTable.partitionOf(claim.key);
    const vms = members.map((member) => member.vm);
    const [preferred] = common.rendezvousOrder(`claims/${partition}`, vms);
    const owner = members.find((member) => member.vm === preferred);
    if (!owner || owner.vm === this.#context.vm) this.#table.request(claim);
    else this.#context.emit({ type: actions.ActionType.AskClaim, claim, peerUrl: owner.peerUrl });
  }

  /** @param asked - claims of other daemons, or own claims whose preferred daemon is unreachable */
  onAsked(asked: readonly claims.Claim[]): void {
    for (const claim of asked) this.#table.request(claim);
  }

  /**
   * Handles the verdict on one of this daemon's claims.
   *
   * @param attempt - the claim's attempt
   * @param verdict - the verdict
   * @param existing - the existing claim, if another attempt holds the key
   */
  onAnswered(attempt: string, verdict: claims.ClaimVerdict, existing: claims.Claim | undefined): void {
    const request = this.#requestsByAttempt.get(attempt);
    if (request === undefined) return;
    this.#requestsByAttempt.delete(attempt);
    this.#context.onClaimAnswered(request, verdict, existing);
  }

  /**
   * @param partition - number of the partition that was read
   * @param records - its keys, or undefined if the key-value service was unreachable
   */
  onRead(partition: number, records: readonly keyValue.KeyRecord[] | undefined): void {
    this.#table.onRead(partition, records);
  }

  /** @param result - result of the write in progress */
  onWritten(result: keyValue.TransactionResult): void {
    this.#table.onWritten(result);
  }

  /**
   * Emits the reads and writes that are due and delivers the verdicts.
   *
   * @param now - monotonic time
   * @param systemTime - time of day, in milliseconds since the epoch
   */
  run(now: number, systemTime: number): void {
    for (const command of this.#table.nextCommands(now, systemTime)) {
      if (command.kind === "read") {
        const token = `claims:${command.partition}`;
        this.#context.emit({ type: actions.ActionType.ReadKeys, token, prefix: command.prefix });
      } else {
        this.#context.emit({ type: actions.ActionType.Transact, token: "claims", transaction: command.transaction });
      }
    }
    const answers = this.#table.takeAnswers();
    const peerAnswers = answers.filter((answer) => !this.#requestsByAttempt.has(answer.claim.attempt));
    if (peerAnswers.length > 0) this.#context.emit({ type: actions.ActionType.AnswerClaims, answers: peerAnswers });
    for (const { claim, verdict, standing } of answers) this.onAnswered(claim.attempt, verdict, standing);
  }
}
