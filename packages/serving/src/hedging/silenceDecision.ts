/** Time between two attempts to find a replacement for one silent send, in milliseconds. */
export const REPLACEMENT_INTERVAL_MS = 250;

/**
 * Time within which data of another endpoint shows that this daemon's link and process are well, in milliseconds. Engines
 * with work write every few tens of milliseconds.
 */
const LINK_SIGN_MS = 300;

/** What is known of a send whose endpoint is silent. */
export interface SilentSend {
  /** Whether the request may run twice, or the send doesn't run it. */
  readonly isRepeatable: boolean;
  /** Whether a later send of the request is in flight. */
  readonly isReplaced: boolean;
  /** Whether its run is being stopped to be moved, and is silent for that. */
  readonly isBeingStopped: boolean;
  /** Time since a replacement was last looked for, in milliseconds. */
  readonly sinceAttemptMs: number;
}

/**
 * @param send - a silent send
 * @returns whether a second endpoint is to be looked for, while the send goes on
 */
export function shouldReplace({ isBeingStopped, isRepeatable, isReplaced, sinceAttemptMs }: SilentSend): boolean {
  return isRepeatable && !isReplaced && !isBeingStopped && sinceAttemptMs >= REPLACEMENT_INTERVAL_MS;
}

/**
 * A VM or a link that stands still makes all endpoints fall silent at once. That says nothing against them, and a mark would
 * keep new requests from all of them.
 *
 * @param anyReceivedMs - time since data came from any endpoint, in milliseconds
 * @returns whether a silent endpoint is to blame for its silence
 */
export function isEndpointToBlame(anyReceivedMs: number): boolean {
  return anyReceivedMs <= LINK_SIGN_MS;
}
