import * as common from "@camphorcourse/common";
import * as serving from "@camphorcourse/serving";

/** What a daemon last said of itself. */
export interface PeerState {
  readonly vm: string;
  readonly incarnation: string;
  readonly dataCentre: string;
  readonly ready: boolean;
  /** Whether callers of its data centre are sent to it. */
  readonly active: boolean;
  /** Whether it takes callers, or has work of theirs. */
  readonly deciding: boolean;
  /** Daemons of its data centre that callers are sent to, as it knows them. */
  readonly activeVms: readonly string[];
  /** Processor capacity of its VM, and how much of it is busy, in cores. */
  readonly capacity: number;
  readonly busyCores: number;
  /** Longest time until it is heard again, in milliseconds. */
  readonly nextWithinMs: number;
  readonly configurationRevision: number;
  /** Milliseconds for which the key-value service has not answered it. */
  readonly storeSilentMs: number;
  /** Whether it follows the key-value service closely, and need not be told what is there. */
  readonly followsClosely: boolean;
  /** Prefill engines that reading its prompts keeps busy. */
  readonly readingLoad: number;
  /** Events that its callers' streams ask for in a millisecond. */
  readonly eventsPerMs: number;
  readonly heardAt: number;
}

/** What a daemon knows that may tell others. */
export interface Known {
  /** Revision of the configuration in force. */
  readonly configurationRevision: number;
  /** Whether the key-value service answers it. */
  readonly answered: boolean;
  /** Whether it follows the key-value service closely. */
  readonly followsClosely: boolean;
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
 * Time for which a daemon that follows closely may be behind before it is told, in
 * milliseconds: it usually reads the change itself within that time, and half a
 * second is left of the bound for telling it. One that reads seldom is told at the
 * first look: in a large fleet the next is a second later.
 */
const OWN_READING_MS = 900;

/**
 * Least time in which the telling of one daemon shows in a pulse of the other, in
 * milliseconds; then the next in the order tells. Where pulses are further apart
 * it is the time between two of them, a little less as timers don't run evenly.
 */
const NEXT_TELLER_MS = 500;
const PULSES_UNTIL_NEXT_TELLER = 0.9;

/** Daemons that tell one that stays behind: two may fail, and one that can't be reached isn't told by the whole fleet. */
const MOST_TELLERS = 3;

/** What the other daemons last said, and who needs to be told what. */
export class PeerTable {
  #nextTellerMs = NEXT_TELLER_MS;
  readonly #own: string;
  readonly #states = new Map<string, PeerState>();
  readonly #toldAt = new Map<string, number>();
  readonly #behindSince = new Map<string, number>();

  /** @param own - this daemon's VM */
  constructor(own: string) {
    this.#own = own;
  }

  /** @param intervalMs - time between two looks at who is to be told, in milliseconds */
  followInterval(intervalMs: number): void {
    this.#nextTellerMs = Math.max(NEXT_TELLER_MS, PULSES_UNTIL_NEXT_TELLER * intervalMs);
  }

  /**
   * @param state - what a daemon said
   * @returns what it had said before, if it was heard before
   */
  hear(state: PeerState): PeerState | undefined {
    const before = this.#states.get(state.vm);
    this.#states.set(state.vm, state);
    if (before !== undefined && before.incarnation !== state.incarnation) {
      this.#behindSince.delete(state.vm);
      this.#toldAt.delete(state.vm);
    }
    return before;
  }

  /**
   * @param now - current instant in milliseconds
   * @returns daemons that speak
   */
  live(now: number): PeerState[] {
    return [...this.#states.values()].filter((state) => isLive(state, now));
  }

  /**
   * @param vm - a daemon
   * @param now - current instant in milliseconds
   * @returns what it last said, if it speaks
   */
  liveState(vm: string, now: number): PeerState | undefined {
    const state = this.#states.get(vm);
    return state !== undefined && isLive(state, now) ? state : undefined;
  }

  /**
   * @param now - current instant in milliseconds
   * @returns whether the key-value service answers none or few of those that speak: it is away, not one daemon
   */
  isStoreUnreachable(now: number): boolean {
    // Those that stand by don't ask it.
    const asking = this.live(now).filter((state) => state.deciding);
    const silent = asking.filter((state) => state.storeSilentMs > STORE_SILENT_MS);
    return silent.length > 0 && silent.length * 2 > asking.length;
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
    if (isLive(state, now)) return state.ready;
    // Nobody is heard: it is this daemon that is cut off, and its silence says nothing of the others.
    return this.live(now).length === 0 && state.ready;
  }

  /**
   * Daemons that this one has to tell what it knows. Each is told by one of
   * those that know it and reach the key-value service, in an order given by
   * hash, so that a change doesn't go out as many times as there are daemons.
   * If it is still behind after the time of a telling, the next in the order
   * tells it: the first may be dead and not yet missed, or not hear it, and all
   * others would leave the telling to it.
   *
   * @param known - what this daemon knows
   * @param now - current instant in milliseconds
   * @returns daemons to tell, whose telling is noted
   */
  toTell(known: Known, now: number): PeerState[] {
    const live = this.live(now);
    return live.filter((state) => {
      const overdueMs = this.#overdueMs(state, known.configurationRevision, now);
      const cutOff = state.storeSilentMs > STORE_SILENT_MS && known.answered;
      if (overdueMs < 0 && !cutOff) return false;
      if (now - (this.#toldAt.get(state.vm) ?? Number.NEGATIVE_INFINITY) < TELL_AGAIN_MS) return false;
      const tellers = Math.min(MOST_TELLERS, 1 + Math.max(0, Math.floor(overdueMs / this.#nextTellerMs)));
      if (this.#tellersBefore(state, live, known) >= tellers) return false;
      this.#toldAt.set(state.vm, now);
      return true;
    });
  }

  /** Time for which a daemon should have been told, in milliseconds; negative if it need not be. */
  #overdueMs(state: PeerState, configurationRevision: number, now: number): number {
    if (state.configurationRevision >= configurationRevision) {
      this.#behindSince.delete(state.vm);
      return Number.NEGATIVE_INFINITY;
    }
    const since = this.#behindSince.get(state.vm) ?? now;
    this.#behindSince.set(state.vm, since);
    return now - since - (state.followsClosely ? OWN_READING_MS : 0);
  }

  /**
   * How many are to tell a daemon before this one does: first those that follow
   * closely, which know a change first. Only those that decide hear it, a few of its own data centre if it stands by.
   * Were all that know it to share the
   * telling out, it would pass on to each that was just told, and wait for its
   * next look each time. Those that follow closely read a change in the same
   * moment, and count before they are heard to have it: each of them would
   * otherwise tell the whole fleet.
   */
  #tellersBefore(of: PeerState, live: readonly PeerState[], known: Known): number {
    // Where the service answers nobody, those that know the configuration share the telling out among themselves.
    const answered = live
      .filter(
        (state) =>
          of.deciding || (serving.isStandbyContact(state.vm, state.activeVms) && state.dataCentre === of.dataCentre),
      )
      .filter((state) => state.deciding)
      .filter((state) => !known.answered || state.storeSilentMs < STORE_SILENT_MS);
    const able = answered
      .filter((state) => state.vm !== of.vm)
      .filter((state) => state.configurationRevision >= known.configurationRevision);
    const close = able.filter((state) => state.followsClosely).map((state) => state.vm);
    if (known.followsClosely) {
      const reading = answered.filter((state) => state.followsClosely && state.vm !== of.vm).map((state) => state.vm);
      const sharing = known.answered ? reading : close;
      return common.rendezvousOrder(of.vm, [this.#own, ...sharing]).indexOf(this.#own);
    }
    const others = able.filter((state) => !state.followsClosely).map((state) => state.vm);
    return close.length + common.rendezvousOrder(of.vm, [this.#own, ...others]).indexOf(this.#own);
  }
}

function isLive(state: PeerState, now: number): boolean {
  return now - state.heardAt <= Math.max(PEER_SILENT_MS, PULSES_UNTIL_SILENT * state.nextWithinMs);
}
