import type * as configurations from "../configuration.js";
import * as urgencies from "../urgency.js";

/**
 * Levels of urgency by which a rank may be set back. Two levels are a factor of four in the prompt's length, so that a
 * small prompt of the lowest rank still goes before one of the highest rank that is more than four times as long.
 */
const MAX_RANK_SHIFT = 2;

/** Levels by which an organisation above its fair share is set back. */
const SHARE_SHIFT = 1;

/** What the order of a request depends on, besides its size. */
export interface OrderInputs {
  /** Levels by which its rank sets it back, see {@link RankOrder.shiftOf}. */
  readonly rankShift: number;
  /** Whether its organisation takes more than its fair share while requests are rejected. */
  readonly isOverShare: boolean;
  /** Rejections of its session that are remembered. */
  readonly rejections: number;
}

/**
 * The ranks of requests, by the configuration: the priority of the organisation, otherwise that of the route. It answers a
 * flood of requests of a low rank, which by size alone would go before most of the others.
 */
export class RankOrder {
  readonly #priorities: ReadonlyMap<string, number | undefined>;
  readonly #ranks = new Map<string, readonly number[]>();

  /** @param configuration - the configuration in force */
  constructor(configuration: configurations.Configuration) {
    const organisations = configuration.organisations ?? [];
    this.#priorities = new Map(organisations.map(({ name, priority }) => [name, priority]));
    if (organisations.length === 0) return;
    const own = organisations.flatMap(({ priority }) => priority ?? []);
    const hasUnranked = own.length < organisations.length;
    for (const { name } of configuration.services) {
      const routes = configuration.routes.filter(({ shares }) => shares.some((share) => share.service === name));
      const ofRoutes = routes.filter(({ isPublic }) => hasUnranked || isPublic).map(({ priority }) => priority);
      const ranks = new Set([...own, ...ofRoutes]);
      this.#ranks.set(
        name,
        [...ranks].sort((left, right) => left - right),
      );
    }
  }

  /** @returns number of organisations; 0 if the configuration lists none */
  get organisations(): number {
    return this.#priorities.size;
  }

  /**
   * @param service - name of a service
   * @returns the ranks that its requests can have, the first first; none if the configuration lists no organisations
   */
  ranksOf(service: string): readonly number[] {
    return this.#ranks.get(service) ?? [];
  }

  /**
   * The ranks are spread over the levels, as few as they may be: two ranks that are a level apart would leave the first one
   * behind prompts of the second one that are half as long.
   *
   * @param service - name of a service
   * @param rank - a rank of its requests
   * @returns levels of urgency by which it is set back: none for the first rank, the most for the lowest
   */
  shiftOf(service: string, rank: number): number {
    const ranks = this.ranksOf(service);
    const position = ranks.indexOf(rank);
    return position <= 0 ? 0 : Math.round((MAX_RANK_SHIFT * position) / (ranks.length - 1));
  }

  /**
   * @param route - route of a request
   * @param organisation - name of its organisation, if it has one
   * @returns its rank, 0 for the first
   */
  rankOf(route: Pick<configurations.Route, "priority">, organisation: string | undefined): number {
    return (organisation === undefined ? undefined : this.#priorities.get(organisation)) ?? route.priority;
  }
}

/**
 * The one order of waiting, rejection and urgency: rank and share set a request back from the urgency that its size gives,
 * and each rejection of its session moves it up by a level, as it has waited since its first attempt.
 *
 * @param bySize - urgency by the size of the prompt
 * @param inputs - what else the order depends on
 * @returns the urgency
 */
export function orderedUrgency(bySize: number, { rankShift, isOverShare, rejections }: OrderInputs): number {
  const setBack = Math.min(MAX_RANK_SHIFT, rankShift) + (isOverShare ? SHARE_SHIFT : 0);
  // An organisation above its share, whose rejected requests all return, gets no further than its size would.
  const movedUp = isOverShare ? Math.min(setBack, rejections) : rejections;
  return Math.max(urgencies.MOST_URGENT, Math.min(urgencies.LEAST_URGENT, bySize + setBack - movedUp));
}
