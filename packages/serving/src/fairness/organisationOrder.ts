import type * as acceptanceTrackers from "../acceptanceTracker.js";
import type * as configurations from "../configuration.js";
import * as engineTimeShares from "./engineTimeShares.js";
import type * as fairAdmissions from "./fairAdmission.js";
import * as rankBalances from "./rankBalance.js";
import * as promotionBudgets from "./promotionBudget.js";
import type * as rankOrders from "./rankOrder.js";
import * as sessionMemories from "./sessionMemory.js";

/** A request whose admission is to be decided. */
export interface AskingRequest {
  readonly service: string;
  readonly route: Pick<configurations.Route, "priority">;
  /** Name of its organisation, if it has one. */
  readonly organisation: string | undefined;
  /** Hash of its organisation and session, if both are known. */
  readonly session: bigint | undefined;
}

/** A decided admission. */
export interface AdmissionOutcome {
  readonly isAccepted: boolean;
  /** Whether the engines have no room for the prompt by the usual rule. */
  readonly isShort: boolean;
  /** Whether it was accepted first, as its session was rejected before. */
  readonly isPromoted: boolean;
  /** Predicted engine time of the request, in milliseconds. */
  readonly engineMs: number;
}

/**
 * What one daemon knows of organisations: ranks, shares and rejected sessions. It tells how a request stands among the
 * others, and counts what was decided.
 */
export class OrganisationOrder {
  readonly shares = new engineTimeShares.EngineTimeShares();
  readonly sessions = new sessionMemories.SessionMemory();
  readonly #acceptance: acceptanceTrackers.AcceptanceTracker;
  readonly #promotions = new promotionBudgets.PromotionBudget();
  #ranks: rankOrders.RankOrder | undefined;

  /** @param acceptance - counts the decisions on each rank, which daemons exchange with those on each size */
  constructor(acceptance: acceptanceTrackers.AcceptanceTracker) {
    this.#acceptance = acceptance;
  }

  /** @param ranks - ranks by the configuration in force */
  configure(ranks: rankOrders.RankOrder): void {
    this.#ranks = ranks.organisations > 0 ? ranks : undefined;
    this.shares.setConfigured(ranks.organisations);
  }

  /** @returns whether the configuration lists organisations; otherwise nothing is decided or counted */
  get isConfigured(): boolean {
    return this.#ranks !== undefined;
  }

  /**
   * @param asking - a request
   * @param now - current instant in milliseconds
   * @returns how it stands among the others; undefined where neither ranks nor shares decide
   */
  standingOf(asking: AskingRequest, now: number): fairAdmissions.Standing | undefined {
    if (this.#ranks === undefined) return undefined;
    const { service, route, organisation, session } = asking;
    const ranks = this.#ranks.ranksOf(service);
    if (ranks.length < 2 && this.shares.overShare(now) === 0) return undefined;
    const rank = this.#ranks.rankOf(route, organisation);
    const share = this.shares.shareOf(organisation ?? "", now);
    return {
      rank,
      rankShift: this.#ranks.shiftOf(service, rank),
      balance: rankBalances.rankBalance(service, ranks, rank, this.#acceptance, now),
      share: organisation === undefined ? { ...share, ofFairShare: 1 } : share,
      mayBePromoted: this.#promotions.isLeft,
      rejections: session === undefined ? 0 : (this.sessions.find(session, now)?.rejections ?? 0),
    };
  }

  /**
   * @param asking - a request
   * @param outcome - what was decided on it
   * @param now - current instant in milliseconds
   */
  noteDecision(asking: AskingRequest, outcome: AdmissionOutcome, now: number): void {
    if (this.#ranks === undefined) return;
    const { service, route, organisation, session } = asking;
    const { isAccepted, isShort, isPromoted, engineMs } = outcome;
    if (isAccepted) this.#promotions.noteAccepted(engineMs, isPromoted, now);
    if (this.#ranks.ranksOf(service).length > 1) {
      const kind = rankBalances.rankKind(service, this.#ranks.rankOf(route, organisation));
      this.#acceptance.noteDecision(kind, rankBalances.RANK_TOKENS, isAccepted, now);
    }
    if (organisation !== undefined) {
      if (isAccepted) this.shares.noteAccepted(organisation, engineMs, now);
      // A request that only its organisation's share keeps out is no sign of a shortage, which would then never end.
      else if (isShort) this.shares.noteRejected(organisation, engineMs, now);
    }
    if (session === undefined) return;
    if (isAccepted) this.sessions.forget(session);
    else this.sessions.noteRejected(session, now);
  }
}
