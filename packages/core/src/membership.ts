import type * as admission from "./admission.js";
import * as constants from "./constants.js";
import type * as engineCosts from "./engineCosts.js";

/** What a daemon writes about itself. */
export interface Registration {
  readonly vm: string;
  readonly dataCentre: string;
  readonly incarnation: string;
  readonly callerUrl: string;
  readonly peerUrl: string;
  readonly adminUrl: string;
  readonly leaving: boolean;
  /** Set just before a planned exit, when nothing runs any more. */
  readonly stopped?: boolean;
}

/** What the list of VMs says of one. */
export enum VmState {
  Live = "live",
  Leaving = "leaving",
  Gone = "gone",
}

/** What a peer said in its last heartbeat. */
export interface PeerReport {
  readonly vm: string;
  readonly incarnation: string;
  readonly leaving: boolean;
  readonly appliedRevision: number;
  readonly keyValueReachable: boolean;
  readonly shares: readonly EndpointShare[];
  readonly services: readonly ServiceShare[];
}

/** How much of one endpoint a daemon uses. */
export interface EndpointShare {
  readonly endpoint: string;
  readonly inFlight: number;
  readonly prefillTokens: number;
  readonly streams: number;
  /** Revision of the endpoint's order record that the daemon has applied. */
  readonly recordRevision: number;
}

/** One service's work at a daemon. */
export interface ServiceShare {
  readonly service: string;
  /** What waits in its queue. */
  readonly waiting: admission.WaitingWork;
  /** What has arrived since it started; the receiver takes differences. */
  readonly arrived: engineCosts.Demand;
  /** Requests that have arrived since it started. */
  readonly requests: number;
}

/** A daemon as this one knows it. */
export interface Member {
  registration: Registration;
  registered: boolean;
  lastSeenAt: number;
  report?: PeerReport;
}

/**
 * The daemons: registrations from the key-value service, heartbeats from the
 * daemons themselves, and the platform's list of VMs as a late third witness.
 */
export class Roster {
  readonly #self: string;
  readonly #members = new Map<string, Member>();
  readonly #suspects = new Set<string>();
  #lastVanishedAt = Number.NEGATIVE_INFINITY;
  #vmStates = new Map<string, VmState>();

  /** @param self - this daemon's VM, which is never listed as a peer */
  constructor(self: string) {
    this.#self = self;
  }

  /**
   * @param registration - a registration that was read
   * @param now - current time
   * @returns whether the daemon is new here, or a new incarnation
   */
  onRegistered(registration: Registration, now: number): boolean {
    // A new process, or the same one back from a pause: either way it answers for itself again.
    this.#suspects.delete(registration.vm);
    const present = this.#members.get(registration.vm);
    const fresh = present?.registration.incarnation !== registration.incarnation;
    if (present && fresh && !present.registration.stopped) this.#lastVanishedAt = now;
    if (present && !fresh) {
      present.registration = registration;
      present.registered = true;
      return false;
    }
    this.#members.set(registration.vm, { registration, registered: true, lastSeenAt: now });
    return true;
  }

  /**
   * The registration ended. The member stays while it is heard: when the
   * service loses all leases at once, the daemons are still there.
   *
   * @param vm - the VM
   */
  onUnregistered(vm: string): void {
    const member = this.#members.get(vm);
    if (member) member.registered = false;
  }

  /**
   * @param report - a heartbeat
   * @param now - current time
   */
  onHeartbeat(report: PeerReport, now: number): void {
    const member = this.#members.get(report.vm);
    if (!member || member.registration.incarnation !== report.incarnation) return;
    member.lastSeenAt = now;
    member.report = report;
  }

  /** @param states - the list of VMs */
  onVmList(states: ReadonlyMap<string, VmState>): void {
    this.#vmStates = new Map(states);
  }

  /**
   * Drops members that are neither registered nor heard.
   *
   * @param now - current time
   * @returns the VMs dropped
   */
  expire(now: number): string[] {
    const dropped: string[] = [];
    for (const [vm, member] of this.#members) {
      if (member.registered || this.#isHeard(member, now)) continue;
      this.#members.delete(vm);
      if (!member.registration.stopped) this.#onVanished(member, now);
      dropped.push(vm);
    }
    return dropped;
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
   * @returns the other daemons that were heard within the silence limit
   */
  livePeers(now: number): Member[] {
    return this.peers().filter((member) => this.#isHeard(member, now));
  }

  /**
   * @param vm - the VM
   * @returns whether the platform says that it is gone
   */
  isGone(vm: string): boolean {
    return this.#vmStates.get(vm) === VmState.Gone;
  }

  /**
   * Daemons that vanished without a planned stop. One may be paused or cut off
   * and still have requests at endpoints, so planned changes wait until the
   * platform lists its VM as gone or a new process runs there.
   *
   * @returns their VMs
   */
  lostVms(): string[] {
    return [...this.#suspects].filter((vm) => !this.isGone(vm));
  }

  /**
   * @param vm - the VM
   * @param now - current time
   * @returns whether it may be given to callers
   */
  isServing(vm: string, now: number): boolean {
    const member = this.#members.get(vm);
    if (!member || member.registration.leaving || member.report?.leaving) return false;
    const listed = this.#vmStates.get(vm);
    if (listed === VmState.Leaving || listed === VmState.Gone) return false;
    return this.#isHeard(member, now);
  }

  /**
   * @param now - current time
   * @returns whether a daemon ended without a planned stop so lately that its
   * requests may still run at the endpoints
   */
  hasRecentLoss(now: number): boolean {
    return now - this.#lastVanishedAt < constants.ORPHANED_REQUEST_MS;
  }

  #onVanished(member: Member, now: number): void {
    this.#suspects.add(member.registration.vm);
    this.#lastVanishedAt = now;
  }

  #isHeard(member: Member, now: number): boolean {
    return now - member.lastSeenAt < constants.PEER_TIMEOUT_MS;
  }
}
