import * as common from "@camphorcourse/common";

/** What a daemon last said of itself. */
export interface PeerState {
  readonly vm: string;
  readonly incarnation: string;
  readonly ready: boolean;
  readonly configurationRevision: number;
  /** Milliseconds for which the key-value service has not answered it. */
  readonly storeSilentMs: number;
  /** Whether it follows the key-value service closely, and need not be told what is there. */
  readonly followsClosely: boolean;
  /** Tokens that its prompts need read in a millisecond. */
  readonly readTokensPerMs: number;
  readonly heardAt: number;
}

/** Least silence after which a daemon counts as dead, in milliseconds; it speaks several times in that time. */
export const PEER_SILENT_MS = 1_300;

/** Pulses in the time after which a daemon counts as silent. */
const PULSES_UNTIL_SILENT = 2.5;

/** Silence of the key-value service from which a daemon needs its peers' word, in milliseconds. */
export const STORE_SILENT_MS = 2_600;

/** Time in which one telling of a daemon is expected to arrive, in milliseconds. */
const TELL_AGAIN_MS = 700;

/**
 * Time for which a daemon may be behind before it is told, in milliseconds: it
 * usually reads the change itself within that time, and half a second is left
 * of the bound for telling it.
 */
const OWN_READING_MS = 900;

/** Time for which a daemon that reads seldom may be behind before it is told, in milliseconds. */
const SELDOM_READING_MS = 100;

/** What the other daemons last said, and who needs to be told what. */
export class PeerBook {
  /** Silence after which a daemon counts as dead, in milliseconds. */
  #silentAfterMs = PEER_SILENT_MS;
  readonly #own: string;
  readonly #states = new Map<string, PeerState>();
  readonly #toldAt = new Map<string, number>();
  readonly #behindSince = new Map<string, number>();

  /** @param own - this daemon's VM */
  constructor(own: string) {
    this.#own = own;
  }

  /** @param intervalMs - time between two pulses, and between two looks at who is to be told, in milliseconds */
  followInterval(intervalMs: number): void {
    this.#silentAfterMs = Math.max(PEER_SILENT_MS, PULSES_UNTIL_SILENT * intervalMs);
  }

  /**
   * @param state - what a daemon said
   * @returns what it had said before, if it was heard before
   */
  hear(state: PeerState): PeerState | undefined {
    const before = this.#states.get(state.vm);
    this.#states.set(state.vm, state);
    return before;
  }

  /**
   * @param now - current instant in milliseconds
   * @returns daemons that speak
   */
  live(now: number): PeerState[] {
    return [...this.#states.values()].filter((state) => now - state.heardAt <= this.#silentAfterMs);
  }

  /**
   * @param now - current instant in milliseconds
   * @returns whether the key-value service answers none or few of those that speak: it is away, not one daemon
   */
  storeIsAway(now: number): boolean {
    const live = this.live(now);
    const silent = live.filter((state) => state.storeSilentMs > STORE_SILENT_MS);
    return silent.length > 0 && silent.length * 2 > live.length;
  }

  /**
   * Daemons whose address may be given to callers. One that has registered but
   * was never heard is given too: a daemon that has just started hears nobody.
   *
   * @param vm - a registered daemon
   * @param now - current instant in milliseconds
   * @returns whether callers may be sent there
   */
  mayTakeCallers(vm: string, now: number): boolean {
    const state = this.#states.get(vm);
    if (state === undefined) return true;
    if (now - state.heardAt <= this.#silentAfterMs) return state.ready;
    // Nobody is heard: it is this daemon that is cut off, and its silence says nothing of the others.
    return this.live(now).length === 0 && state.ready;
  }

  /**
   * Daemons that this one has to tell what it knows. Each is told by one of
   * those that reach the key-value service, chosen by hash, so that a change
   * doesn't go out as many times as there are daemons.
   *
   * @param configurationRevision - revision of the configuration here
   * @param storeSilentMs - milliseconds for which the service has not answered this daemon
   * @param now - current instant in milliseconds
   * @returns daemons to tell, whose telling is noted
   */
  toTell(configurationRevision: number, storeSilentMs: number, now: number): PeerState[] {
    const live = this.live(now);
    return live.filter((state) => {
      const behind = this.#isLongBehind(state, configurationRevision, now);
      const cutOff = state.storeSilentMs > STORE_SILENT_MS && storeSilentMs < STORE_SILENT_MS;
      if (!behind && !cutOff) return false;
      if (now - (this.#toldAt.get(state.vm) ?? Number.NEGATIVE_INFINITY) < TELL_AGAIN_MS) return false;
      if (!this.#isTeller(state, live, configurationRevision)) return false;
      this.#toldAt.set(state.vm, now);
      return true;
    });
  }

  #isLongBehind(state: PeerState, configurationRevision: number, now: number): boolean {
    if (state.configurationRevision >= configurationRevision) {
      this.#behindSince.delete(state.vm);
      return false;
    }
    const since = this.#behindSince.get(state.vm) ?? now;
    this.#behindSince.set(state.vm, since);
    return now - since >= (state.followsClosely ? OWN_READING_MS : SELDOM_READING_MS);
  }

  #isTeller(of: PeerState, live: readonly PeerState[], configurationRevision: number): boolean {
    const able = live
      .filter((state) => state.vm !== of.vm && state.storeSilentMs < STORE_SILENT_MS)
      .filter((state) => state.configurationRevision >= configurationRevision)
      .map((state) => state.vm);
    return common.rendezvousOrder(of.vm, [this.#own, ...able])[0] === this.#own;
  }
}
