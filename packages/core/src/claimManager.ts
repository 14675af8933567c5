import * as common from "@camphorcourse/common";
import * as actions from "./actions.js";
import * as claims from "./claims.js";
import type * as keyValue from "./keyValueTypes.js";
import type * as membership from "./membership.js";

/** What the desk asks of its surroundings. */
export interface ClaimContext {
  readonly vm: string;
  readonly incarnation: string;
  servingMembers(): membership.Registration[];
  onClaimAnswered(request: string, verdict: claims.ClaimVerdict, standing: claims.Claim | undefined): void;
  emit(action: actions.Action): void;
}

/** Brings each claim to its partition's preferred daemon, and the verdict back to the request. */
export class ClaimManager {
  readonly #context: ClaimContext;
  readonly #book: claims.ClaimTable;
  readonly #requests = new Map<string, string>();

  /** @param context - the daemon round the desk */
  constructor(context: ClaimContext) {
    this.#context = context;
    this.#book = new claims.ClaimTable(context.incarnation);
  }

  /** @returns whether claims wait to be written */
  get hasWaiting(): boolean {
    return this.#book.hasWaiting;
  }

  /**
   * @param request - id of the request that needs the claim
   * @param claim - the claim
   */
  request(request: string, claim: claims.Claim): void {
    this.#requests.set(claim.attempt, request);
    const members = this.#context.servingMembers();
    const partition = claims.ClaimTable.partitionOf(claim.key);
    const names = members.map((member) => member.vm);
    const [preferred] = common.rendezvousOrder(`claims/${partition}`, names);
    const owner = members.find((member) => member.vm === preferred);
    if (!owner || owner.vm === this.#context.vm) this.#book.request(claim);
    else this.#context.emit({ type: actions.ActionType.AskClaim, claim, peerUrl: owner.peerUrl });
  }

  /** @param asked - claims of other daemons, or own ones whose preferred daemon is out of reach */
  onAsked(asked: readonly claims.Claim[]): void {
    for (const claim of asked) this.#book.request(claim);
  }

  /**
   * @param attempt - the attempt of one of our own claims
   * @param verdict - what became of it
   * @param standing - the claim that stands, when another has the key
   */
  onAnswered(attempt: string, verdict: claims.ClaimVerdict, standing: claims.Claim | undefined): void {
    const request = this.#requests.get(attempt);
    if (request === undefined) return;
    this.#requests.delete(attempt);
    this.#context.onClaimAnswered(request, verdict, standing);
  }

  /**
   * @param partition - number of the partition that was read
   * @param records - its keys, or undefined if the service could not be asked
   */
  onRead(partition: number, records: readonly keyValue.KeyRecord[] | undefined): void {
    this.#book.onRead(partition, records);
  }

  /** @param result - how the write under way ended */
  onWritten(result: keyValue.TransactionResult): void {
    this.#book.onWritten(result);
  }

  /**
   * Begins the reads and writes that are due and hands out the verdicts.
   *
   * @param now - monotonic time
   * @param wall - calendar time
   */
  run(now: number, wall: number): void {
    for (const command of this.#book.nextCommands(now, wall)) {
      if (command.kind === "read") {
        const token = `claims:${command.partition}`;
        this.#context.emit({ type: actions.ActionType.ReadKeys, token, prefix: command.prefix });
      } else {
        this.#context.emit({ type: actions.ActionType.Transact, token: "claims", transaction: command.transaction });
      }
    }
    const answers = this.#book.takeAnswers();
    const foreign = answers.filter((answer) => !this.#requests.has(answer.claim.attempt));
    if (foreign.length > 0) this.#context.emit({ type: actions.ActionType.AnswerClaims, answers: foreign });
    for (const { claim, verdict, standing } of answers) this.onAnswered(claim.attempt, verdict, standing);
  }
}
