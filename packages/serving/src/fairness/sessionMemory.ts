/** Time for which a rejected session is remembered, in milliseconds: callers return within a few seconds, some times. */
const MEMORY_MS = 30_000;

/** Sessions that are remembered at the same time. */
const MAX_SESSIONS = 2_000;

/** Sessions that one heartbeat carries. */
export const MAX_SESSIONS_PER_HEARTBEAT = 8;

/** Sessions that wait for a heartbeat. Callers return before later ones would be sent. */
const MAX_UNSENT = 64;

/** Heartbeats that carry a rejection, as each may be lost. */
const SENDS = 2;

/** Rejections after which a session is accepted first: its fourth attempt is the last that callers make. */
export const MAX_REJECTIONS = 3;

/** A session whose requests were rejected. */
export interface RejectedSession {
  /** Hash of the organisation and the session. */
  readonly session: bigint;
  readonly rejections: number;
  /** Instant of the first rejection, in milliseconds. */
  readonly firstAt: number;
}

interface Remembered {
  readonly rejections: number;
  readonly firstAt: number;
  readonly lastAt: number;
}

/**
 * Remembers sessions whose requests were rejected, so that a caller that returns keeps its place, whichever daemon it
 * returns to. It answers callers that all return after an outage: by chance alone, one in some of them would be rejected
 * each time that it returns.
 */
export class SessionMemory {
  /** Least recently used first. */
  readonly #sessions = new Map<bigint, Remembered>();
  /** Heartbeats that have yet to carry a session. */
  readonly #unsent = new Map<bigint, number>();

  /** @returns number of remembered sessions */
  get count(): number {
    return this.#sessions.size;
  }

  /**
   * @param session - hash of a session whose request is rejected
   * @param now - current instant in milliseconds
   */
  noteRejected(session: bigint, now: number): void {
    const before = this.#find(session, now);
    const rejections = (before?.rejections ?? 0) + 1;
    this.#remember(session, { rejections, firstAt: before?.firstAt ?? now, lastAt: now }, now);
    this.#unsent.delete(session);
    this.#unsent.set(session, SENDS);
    if (this.#unsent.size <= MAX_UNSENT) return;
    const [oldest] = this.#unsent.keys();
    if (oldest !== undefined) this.#unsent.delete(oldest);
  }

  /** @param session - hash of a session whose request is accepted */
  forget(session: bigint): void {
    this.#sessions.delete(session);
    this.#unsent.delete(session);
  }

  /**
   * @param session - hash of a session
   * @param now - current instant in milliseconds
   * @returns its remembered rejections, or undefined if there are none
   */
  find(session: bigint, now: number): RejectedSession | undefined {
    const found = this.#find(session, now);
    return found === undefined ? undefined : { session, rejections: found.rejections, firstAt: found.firstAt };
  }

  /**
   * @param record - a session that a peer has rejected
   * @param now - current instant in milliseconds
   */
  merge({ session, rejections, firstAt }: RejectedSession, now: number): void {
    if (now - firstAt >= MEMORY_MS) return;
    const own = this.#find(session, now);
    const merged = {
      rejections: Math.max(rejections, own?.rejections ?? 0),
      firstAt: Math.min(firstAt, own?.firstAt ?? firstAt),
      lastAt: Math.max(own?.lastAt ?? firstAt, firstAt),
    };
    this.#remember(session, merged, now);
  }

  /**
   * @param now - current instant in milliseconds
   * @returns sessions for the next heartbeat
   */
  takeUnsent(now: number): RejectedSession[] {
    const taken: RejectedSession[] = [];
    for (const [session, sends] of [...this.#unsent].slice(0, MAX_SESSIONS_PER_HEARTBEAT)) {
      this.#unsent.delete(session);
      const found = this.find(session, now);
      if (found === undefined) continue;
      taken.push(found);
      if (sends > 1) this.#unsent.set(session, sends - 1);
    }
    return taken;
  }

  #find(session: bigint, now: number): Remembered | undefined {
    const found = this.#sessions.get(session);
    if (found === undefined || now - found.lastAt < MEMORY_MS) return found;
    this.forget(session);
    return undefined;
  }

  #remember(session: bigint, remembered: Remembered, now: number): void {
    this.#sessions.delete(session);
    this.#sessions.set(session, remembered);
    for (const [oldest, { lastAt }] of this.#sessions) {
      if (this.#sessions.size <= MAX_SESSIONS && now - lastAt < MEMORY_MS) break;
      this.forget(oldest);
    }
  }
}
