/** Urgency that a request has in an engine's queue: 0 goes first. */

/** Least urgent level. */
export const LEAST_URGENT = 9;

/** Number of levels. */
export const URGENCY_LEVELS = LEAST_URGENT + 1;

/** Unread tokens up to which a prompt has the most urgent level; each level above holds twice as many. */
const SMALLEST_LEVEL_TOKENS = 256;

/** Tokens of a typical prompt of a level, as a share of the most that the level holds. */
const TYPICAL_SHARE = 0.75;

/**
 * @param level - an urgency level
 * @returns unread tokens of a typical prompt that has it
 */
export function typicalTokens(level: number): number {
  return SMALLEST_LEVEL_TOKENS * 2 ** level * TYPICAL_SHARE;
}

/**
 * Least unread work first: under a load of short and long prompts it keeps most
 * of them within their objective, as a short one delays a long one by little
 * and a long one delays many short ones by much. Levels double, so that prompts
 * of like size are served in the order in which they came.
 *
 * @param unreadTokens - tokens of the prompt that the engine has to read
 * @returns the level
 */
export function urgencyOf(unreadTokens: number): number {
  const level = Math.ceil(Math.log2(Math.max(1, unreadTokens) / SMALLEST_LEVEL_TOKENS));
  return Math.max(0, Math.min(LEAST_URGENT, level));
}
