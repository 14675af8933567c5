import type * as admission from "./admission.js";
import * as constants from "./constants.js";
import type * as engineCosts from "./engineCosts.js";

/** A daemon's registration in the key-value service. */
export interface Registration {
  readonly vm: string;
  readonly dataCentre: string;
  readonly incarnation: string;
  readonly callerUrl: string;
  readonly peerUrl: string;
  readonly adminUrl: string;
  readonly leaving: boolean;
  /** Set at the end of a graceful shutdown, when no requests run any more. */
  readonly stopped?: boolean;
}

/** State of a VM in the platform's list of VMs. */
export enum VmState {
  Live = "live",
  Leaving = "leaving",
  Gone = "gone",
}

/** Content of a peer's heartbeat. */
export interface PeerReport {
  readonly vm: string;
  readonly incarnation: string;
  readonly leaving: boolean;
  readonly appliedRevision: number;
  readonly keyValueReachable: boolean;
  readonly shares: readonly EndpointShare[];
  readonly services: readonly ServiceShare[];
}

/** A daemon's requests at one endpoint. */
export interface EndpointShare {
  readonly endpoint: string;
  readonly inFlight: number;
  readonly prefillTokens: number;
  readonly streams: number;
  /** Revision of the endpoint's order record that the daemon has applied. */
  readonly recordRevision: number;
}

/** Load of one service at a daemon. */
export interface ServiceShare {
  readonly service: string;
  /** Work waiting in its queue. */
  readonly waiting: admission.WaitingWork;
  /** Demand that has arrived since the daemon started; the receiver computes differences. */
  readonly arrived: engineCosts.Demand;
  /** Requests that have arrived since the daemon started. */
  readonly requests: number;
}

/** What this daemon knows of another daemon. */
export interface Member {
  registration: Registration;
  registered: boolean;
  lastSeenAt: number;
  report?: PeerReport;
}

/**
 * The known daemons, from three sources: registrations in the key-value
 * service, heartbeats of the daemons, and the platform's list of VMs, which is
 * the slowest to change.
 */
export class Roster {
  readonly #self: string;
  readonly #members = new Map<string, Member>();
  readonly #lostVms = new Set<string>();
  #lastLossAt = Number.NEGATIVE_INFINITY;
  #vmStates = new Map<string, VmState>();

  /** @param self - this daemon's VM, which is never returned as a peer */
  constructor(self: string) {
    this.#self = self;
  }

  /**
   * @param registration - a registration that was read
   * @param now - current time
   * @returns whether the daemon is new or a new incarnation
   */
  onRegistered(registration: Registration, now: number): boolean {
    // A new process, or the same one after a pause; in both cases it reports its own requests again.
    this.#lostVms.delete(registration.vm);
    const present = this.#members.get(registration.vm);
    const isNew = present?.registration.incarnation !== registration.incarnation;
    if (present && isNew && !present.registration.stopped) this.#lastLossAt = now;
    if (present && !isNew) {
      present.registration = registration;
      present.registered = true;
      return false;
    }
    this.#members.set(registration.vm, { registration, registered: true, lastSeenAt: now });
    return true;
  }

  /**
   * The registration ended. The member is kept while its heartbeats arrive:
   * when the key-value service loses all leases at once, the daemons still run.
   *
   * @param vm - the VM
   */
  onUnregistered(vm: string): void {
    const member = this.#members.get(vm);
    if (member) member.registered = false;
  }

  /**
   * @param report - content of the heartbeat
   * @param now - current time
   */
  onHeartbeat(report: PeerReport, now: number): void {
    const member = this.#members.get(report.vm);
    if (!member || member.registration.incarnation !== report.incarnation) return;
    member.lastSeenAt = now;
    member.report = report;
  }

  /** @param states - state of each VM in the platform's list */
  onVmList(states: ReadonlyMap<string, VmState>): void {
    this.#vmStates = new Map(states);
  }

  /**
   * Removes members that are neither registered nor sending heartbeats.
   *
   * @param now - current time
   * @returns the VMs of the removed members
   */
  expire(now: number): string[] {
    const removed: string[] = [];
    for (const [vm, member] of this.#members) {
      if (member.registered || this.#isAlive(member, now)) continue;
      this.#members.delete(vm);
      if (!member.registration.stopped) this.#onLost(member, now);
      removed.push(vm);
    }
    return removed;
  }

  /**
   * @param vm - the VM
   * @returns the member
   */
  get(vm: string): Member | undefined {
    return this.#members.get(vm);
  }

  /** @returns the other daemons */
  peers(): Member[] {
    return [...this.#members.values()].filter((member) => member.registration.vm !== this.#self);
  }

  /**
   * @param now - current time
   * @returns the other daemons whose last heartbeat is within the peer timeout
   */
  livePeers(now: number): Member[] {
    return this.peers().filter((member) => this.#isAlive(member, now));
  }

  /**
   * @param vm - the VM
   * @returns whether the platform lists it as gone
   */
  isGone(vm: string): boolean {
    return this.#vmStates.get(vm) === VmState.Gone;
  }

  /**
   * Daemons that were lost without a graceful shutdown. Such a daemon may be
   * paused or isolated and still have requests at endpoints, so planned changes
   * wait until the platform lists its VM as gone or a daemon registers there.
   *
   * @returns their VMs
   */
  lostVms(): string[] {
    return [...this.#lostVms].filter((vm) => !this.isGone(vm));
  }

  /**
   * @param vm - the VM
   * @param now - current time
   * @returns whether callers may be sent to its daemon
   */
  isServing(vm: string, now: number): boolean {
    const member = this.#members.get(vm);
    if (!member || member.registration.leaving || member.report?.leaving) return false;
    const vmState = this.#vmStates.get(vm);
    if (vmState === VmState.Leaving || vmState === VmState.Gone) return false;
    return this.#isAlive(member, now);
  }

  /**
   * @param now - current time
   * @returns whether a daemon was lost, or replaced without a graceful shutdown,
   * so recently that its requests may still run at the endpoints
   */
  hasRecentLoss(now: number): boolean {
    return now - this.#lastLossAt < constants.ORPHANED_REQUEST_MS;
  }

  #onLost(member: Member, now: number): void {
    this.#lostVms.add(member.registration.vm);
    this.#lastLossAt = now;
  }

  #isAlive(member: Member, now: number): boolean {
    return now - member.lastSeenAt < constants.PEER_TIMEOUT_MS;
  }
}
