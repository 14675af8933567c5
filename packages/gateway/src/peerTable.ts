import * as common from "@camphorcourse/common";
import * as serving from "@camphorcourse/serving";

/** The last state that a daemon reported. */
export interface PeerState {
  readonly vm: string;
  readonly incarnation: string;
  readonly dataCentre: string;
  readonly ready: boolean;
  /** Whether callers of its data centre are sent to it. */
  readonly active: boolean;
  /** Whether it is active or still has callers' requests in progress. */
  readonly dispatching: boolean;
  /** Whether it is cut off from all endpoints of a service that its peers reach. */
  readonly cutOff: boolean;
  /** Whether it can connect to no endpoint of some service, whatever its peers can. */
  readonly linkLost: boolean;
  /** Active daemons of its data centre, as it knows them. */
  readonly activeVms: readonly string[];
  /** Processor capacity of its VM and the busy part of it, in cores. */
  readonly capacity: number;
  readonly busyCores: number;
  /** Longest time until its next heartbeat, in milliseconds. */
  readonly nextWithinMs: number;
  readonly configurationRevision: number;
  /** Milliseconds for which the key-value service has not answered it. */
  readonly storeSilentMs: number;
  /** Whether it follows the key-value service closely and needs no news from peers. */
  readonly followsClosely: boolean;
  /** Number of prefill engines that its prompts keep busy. */
  readonly readingLoad: number;
  /** Events per millisecond that its callers' streams require. */
  readonly eventsPerMs: number;
  /** Unix time by its wall clock minus monotonic time of this daemon, in milliseconds; undefined if it sends none. */
  readonly clockOffsetMs?: number | undefined;
  /** Time until which it relies on the lease on the fleet's duties, in milliseconds; undefined if it doesn't hold it. */
  readonly dutyLeaseUntil?: number | undefined;
  /** Whether it forwards heartbeats of other regions to the daemons of its own. */
  readonly forwards?: boolean;
  /** Number of its last heartbeat among those that it sent to other regions; 0 for others. */
  readonly sequence?: number;
  /** Time at which its last heartbeat was received, in milliseconds. */
  readonly lastReceivedAt: number;
}

/** State of a daemon that may send news to others. */
export interface SenderState {
  /** Revision of the configuration in force. */
  readonly configurationRevision: number;
  /** Whether the key-value service answers it. */
  readonly storeAnswers: boolean;
  /** Whether it follows the key-value service closely. */
  readonly followsClosely: boolean;
}

/** Minimum silence after which a daemon counts as dead, in milliseconds. It sends several heartbeats in that time. */
export const PEER_SILENT_MS = 1_300;

/** Heartbeat intervals without a heartbeat after which a daemon counts as dead. */
const SILENT_AFTER_HEARTBEATS = 2.5;

/** Time without an answer from the key-value service after which a daemon depends on its peers, in milliseconds. */
export const STORE_SILENT_MS = 2_600;

/** Time within which sent news is expected to arrive, in milliseconds; only then is it sent again. */
const RESEND_AFTER_MS = 700;

/**
 * Time for which a close follower may be behind before it is sent news, in milliseconds. It usually reads the change
 * itself by then, and half a second of the limit is left for sending it. A daemon that rarely reads is sent news at the
 * first check: in a large fleet the next check is a second later.
 */
const OWN_READ_GRACE_MS = 900;

/**
 * Minimum time until news sent by one daemon shows in the receiver's heartbeat, in milliseconds; after it the next
 * daemon in the order sends too. If heartbeats are further apart, their interval counts, slightly reduced because
 * timers are imprecise.
 */
const NEXT_SENDER_MS = 500;
const HEARTBEATS_UNTIL_NEXT_SENDER = 0.9;

/**
 * Maximum number of daemons that send news to one daemon that stays behind. Two of them may fail, and an unreachable
 * daemon isn't sent news by the whole fleet.
 */
const MAX_SENDERS = 3;

/** Last reported states of the other daemons; selects the daemons that this one has to send news to. */
export class PeerTable {
  #nextSenderMs = NEXT_SENDER_MS;
  readonly #own: string;
  readonly #states = new Map<string, PeerState>();
  readonly #sentAt = new Map<string, number>();
  readonly #behindSince = new Map<string, number>();

  /** @param own - VM of this daemon */
  constructor(own: string) {
    this.#own = own;
  }

  /** @param intervalMs - time between two checks for daemons that are behind, in milliseconds */
  setHeartbeatInterval(intervalMs: number): void {
    this.#nextSenderMs = Math.max(NEXT_SENDER_MS, HEARTBEATS_UNTIL_NEXT_SENDER * intervalMs);
  }

  /**
   * Records the state that a daemon reported.
   *
   * @param state - the reported state
   * @returns its previous state, if there is one
   */
  record(state: PeerState): PeerState | undefined {
    const previous = this.#states.get(state.vm);
    this.#states.set(state.vm, state);
    if (previous !== undefined && previous.incarnation !== state.incarnation) {
      this.#behindSince.delete(state.vm);
      this.#sentAt.delete(state.vm);
    }
    return previous;
  }

  /**
   * @param now - current time in milliseconds
   * @returns states of the daemons that count as alive
   */
  live(now: number): PeerState[] {
    return [...this.#states.values()].filter((state) => isLive(state, now));
  }

  /**
   * @param vm - VM of a daemon
   * @param now - current time in milliseconds
   * @returns its last state, if it counts as alive
   */
  liveState(vm: string, now: number): PeerState | undefined {
    const state = this.#states.get(vm);
    return state !== undefined && isLive(state, now) ? state : undefined;
  }

  /**
   * @param now - current time in milliseconds
   * @returns whether more than half of the live dispatching daemons get no answer from the key-value service, so that
   *   the service is unreachable and not only a single daemon cut off
   */
  isStoreUnreachable(now: number): boolean {
    // Standby daemons don't call the key-value service.
    const asking = this.live(now).filter((state) => state.dispatching);
    const silent = asking.filter((state) => state.storeSilentMs > STORE_SILENT_MS);
    return silent.length > 0 && silent.length * 2 > asking.length;
  }

  /**
   * Decides whether a daemon's address may be given to callers. A registered daemon from which no heartbeat was ever
   * received counts as available, because a daemon that has just started has received no heartbeats yet.
   *
   * @param vm - VM of a registered daemon
   * @param now - current time in milliseconds
   * @returns whether callers may be sent there
   */
  mayTakeCallers(vm: string, now: number): boolean {
    const state = this.#states.get(vm);
    if (state === undefined) return true;
    if (isLive(state, now)) return state.ready;
    // If no daemon sends heartbeats, this daemon is cut off, and the silence says nothing about the others.
    return this.live(now).length === 0 && state.ready;
  }

  /**
   * Selects the daemons that this one has to send news to. The daemons that have the configuration and reach the
   * key-value service divide the receivers among themselves, in an order per receiver given by rendezvous hashing, so
   * that a change isn't sent as many times as there are daemons. If a receiver is still behind after the expected time,
   * the next daemon in its order sends too: the first one may be dead without this being noticed yet, or may not
   * receive its heartbeats, and all others would rely on it.
   *
   * @param sender - what this daemon knows
   * @param now - current time in milliseconds
   * @returns the daemons to send news to; the time of sending is recorded
   */
  selectReceivers(sender: SenderState, now: number): PeerState[] {
    const live = this.live(now);
    return live.filter((state) => {
      const overdueMs = this.#overdueMs(state, sender.configurationRevision, now);
      const cutOff = state.storeSilentMs > STORE_SILENT_MS && sender.storeAnswers;
      if (overdueMs < 0 && !cutOff) return false;
      if (now - (this.#sentAt.get(state.vm) ?? Number.NEGATIVE_INFINITY) < RESEND_AFTER_MS) return false;
      const allowedSenders = Math.min(MAX_SENDERS, 1 + Math.max(0, Math.floor(overdueMs / this.#nextSenderMs)));
      if (this.#sendersBefore(state, live, sender) >= allowedSenders) return false;
      this.#sentAt.set(state.vm, now);
      return true;
    });
  }

  /** Time for which news to a daemon has been overdue, in milliseconds; negative if it needs none. */
  #overdueMs(state: PeerState, configurationRevision: number, now: number): number {
    if (state.configurationRevision >= configurationRevision) {
      this.#behindSince.delete(state.vm);
      return Number.NEGATIVE_INFINITY;
    }
    const since = this.#behindSince.get(state.vm) ?? now;
    this.#behindSince.set(state.vm, since);
    return now - since - (state.followsClosely ? OWN_READ_GRACE_MS : 0);
  }

  /**
   * Number of daemons that come before this one in the order for a receiver. Close followers come first, as they learn
   * of a change first. Only daemons that receive the receiver's heartbeats count: dispatching daemons and, if the
   * receiver is on standby, the standby contacts of its data centre. If all daemons that have the change divided the
   * receivers among themselves, receivers would be reassigned to daemons that have just got it, and wait for their next
   * check every time. Close followers read a change at the same moment and count before their heartbeats show that they
   * have it; otherwise each of them would send it to the whole fleet.
   */
  #sendersBefore(receiver: PeerState, live: readonly PeerState[], sender: SenderState): number {
    // If the key-value service answers no daemon, all daemons that have the configuration divide the receivers.
    const candidates = live
      .filter(
        (state) =>
          receiver.dispatching ||
          (serving.isStandbyContact(state.vm, state.activeVms) && state.dataCentre === receiver.dataCentre),
      )
      .filter((state) => state.dispatching)
      .filter((state) => !sender.storeAnswers || state.storeSilentMs < STORE_SILENT_MS);
    const upToDate = candidates
      .filter((state) => state.vm !== receiver.vm)
      .filter((state) => state.configurationRevision >= sender.configurationRevision);
    const upToDateFollowers = upToDate.filter((state) => state.followsClosely).map((state) => state.vm);
    if (sender.followsClosely) {
      const closeFollowers = candidates
        .filter((state) => state.followsClosely && state.vm !== receiver.vm)
        .map((state) => state.vm);
      const sharing = sender.storeAnswers ? closeFollowers : upToDateFollowers;
      return common.rendezvousOrder(receiver.vm, [this.#own, ...sharing]).indexOf(this.#own);
    }
    const others = upToDate.filter((state) => !state.followsClosely).map((state) => state.vm);
    return upToDateFollowers.length + common.rendezvousOrder(receiver.vm, [this.#own, ...others]).indexOf(this.#own);
  }
}

function isLive(state: PeerState, now: number): boolean {
  return now - state.lastReceivedAt <= Math.max(PEER_SILENT_MS, SILENT_AFTER_HEARTBEATS * state.nextWithinMs);
}
