/** Urgency of a request in an engine's queue: 0 goes first. */

/** The most urgent level. */
export const MOST_URGENT = 0;

/** The least urgent level. */
export const LEAST_URGENT = 9;

/** Number of urgency levels. */
export const URGENCY_LEVELS = LEAST_URGENT + 1;

/** Maximum unread tokens of a prompt of the most urgent level; each further level allows twice as many. */
const FIRST_LEVEL_TOKENS = 256;

/** Unread tokens of a typical prompt of a level, as a share of the level's maximum. */
const TYPICAL_SHARE = 0.75;

/**
 * @param level - an urgency level
 * @returns unread tokens of a typical prompt of that level
 */
export function typicalTokens(level: number): number {
  return FIRST_LEVEL_TOKENS * 2 ** level * TYPICAL_SHARE;
}

/**
 * Ranks prompts by shortest job first: with a mix of short and long prompts this
 * keeps most of them within their objective, as a short one delays a long one by
 * little and a long one delays many short ones by much. Level sizes double, so
 * that prompts of similar size are served in order of arrival.
 *
 * @param unreadTokens - tokens of the prompt that the engine has to prefill
 * @returns the level
 */
export function urgencyOf(unreadTokens: number): number {
  const level = Math.ceil(Math.log2(Math.max(1, unreadTokens) / FIRST_LEVEL_TOKENS));
  return Math.max(0, Math.min(LEAST_URGENT, level));
}
